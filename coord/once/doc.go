// Package once makes a non-idempotent request run at most once. Before a request is
// sent, the sender records a claim for its client account and idempotency key in a
// transactional table shared by all VMs.
//
// # Usage
//
// The caller of Claims.Claim may send the request only if the status is Claimed. It
// then ends the claim in one of three ways:
//
//   - Claim.Complete stores the result for callers that repeat the request;
//   - Claim.MarkUnknown records that the request may or may not have run;
//   - Claim.Abandon frees the key if the request certainly hasn't run.
//
// A periodic task, run by one VM at a time, must call Claims.Sweep to delete expired
// claims.
//
// # Guarantees
//
// Within the retention a key is granted again only if its earlier claim was abandoned
// or failed in a way that no request was sent for it. A request is therefore sent at
// most once per key, whatever writes and replies are lost and whichever VMs stop,
// provided that callers follow the rules above. The package doesn't guarantee that a
// request runs: if a VM fails between the claim and its end, the outcome remains
// unknown and the request isn't sent again.
//
// # Model
//
// A claim is a row that is inserted if the key is absent. The caller whose insert
// succeeds may send the request once; other callers get the status of the claim. The
// row contains a fingerprint of the request, so that a key that is reused for a
// different request is refused. After completion it also contains the result, which
// is returned to callers that repeat the request.
//
//	absent ──Claim──▶ running ──Complete──▶ done
//	   ▲                │  └──MarkUnknown──▶ unknown ──Complete──▶ done
//	   └────Abandon─────┘
//
// A claim that a failed VM left in the state running becomes unknown when the run
// limit has passed: the request may or may not have run, and the package never grants
// it again before the row expires.
//
// An insert whose reply was lost is resolved by reading the row back and comparing
// the claim ID. If that fails too, Claim returns ErrUnavailable: this attempt must
// not be sent. The row may have been created nevertheless. A later Claim through the
// same Claims value replaces it, because this VM knows that no request was sent for
// it. Other VMs report it as in progress and, after the run limit, as unknown.
//
// # Expiry
//
// Each row contains its creation time. Sweep deletes rows older than the retention
// plus the clock skew allowed between VMs. A repeated request would run again after
// that, so the retention must be longer than the time within which clients may repeat
// a request (the retry horizon); New checks this. Wall clocks of different VMs are
// compared only for expiry and to distinguish a claim in progress from an unknown
// one, never to decide that a request may run.
//
// # References
//
// The pattern follows "The Idempotency-Key HTTP Header Field"
// (draft-ietf-httpapi-idempotency-key-header) and Gray and Reuter, "Transaction
// Processing" (1993), on testable and non-testable actions.
package once
