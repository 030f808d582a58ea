// Package once lets a non-idempotent request run at most once, by a claim per
// client account and idempotency key in a transactional table.
//
// # Model
//
// A claim is a row created by insert-if-absent before the request is sent on.
// Whoever created it may send the request once; everybody else is told how the
// claim stands. The row bears a fingerprint of the request, so that a key used
// again for another request is refused, and later the result, which is given to
// callers that repeat the request.
//
//	absent ──Claim──▶ running ──Complete──▶ done
//	   ▲                │  └──MarkUnknown──▶ unknown ──Complete──▶ done
//	   └────Abandon─────┘
//
// A claim that is left running by a VM that vanished is unknown: the request may
// or may not have run, and the package never hands it out again by itself.
//
// An insert whose reply was lost is settled by reading the row back and
// comparing the claim id. If that fails as well, Claim reports ErrUnavailable:
// this attempt was not run. The row may have been created all the same; a later
// Claim through the same Claims value takes it over, since it is known that no
// request was sent for it. Through another VM it shows as unknown.
//
// # Expiry
//
// Rows carry their creation time. Sweep deletes those older than the retention
// plus the clock skew allowed between VMs. After that the same key would run
// again, so the retention has to be longer than the time within which clients
// may repeat a request (the retry horizon), which New checks. Wall clocks of
// different VMs are compared for expiry and for telling a claim in progress
// from an unknown one, never to decide that a request may run.
//
// The pattern follows "The Idempotency-Key HTTP Header Field"
// (draft-ietf-httpapi-idempotency-key-header) and Gray and Reuter, "Transaction
// Processing" (1993), on testable and non-testable actions.
package once
