package once

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"github.com/poplarshore/poplarshore/coord/store"
	"github.com/poplarshore/poplarshore/coord/store/deadline"
	"github.com/poplarshore/poplarshore/coord/store/settle"
)

// Claims grants claims to callers on one VM. Create it with New. It is safe for
// concurrent use.
//
// Claims keeps the IDs of claims that ended without a request being sent in memory
// only. All callers on a VM should share one Claims value, so that they can reuse
// such keys.
type Claims struct {
	table  store.Table
	owner  string
	opts   Options
	unsent *unsentClaims
}

// New returns a Claims that stores its rows in table. The owner is the name of the VM;
// it is stored in the rows for operators and has no other effect. Errors: ErrOptions.
func New(table store.Table, owner string, opts Options) (*Claims, error) {
	opts = opts.withDefaults()
	if err := opts.validate(); err != nil {
		return nil, err
	}
	return &Claims{table: table, owner: owner, opts: opts, unsent: newUnsentClaims(opts.MaxUnsentClaims)}, nil
}

// Status is the status of a key as seen by a caller of Claims.Claim. The zero value
// is not a valid status.
type Status int

// Statuses of a key.
const (
	// Claimed: this caller, and no other, may send the request once.
	Claimed Status = iota + 1
	// Done: the request has run and its result is stored.
	Done
	// Unknown: an earlier attempt may or may not have run the request. This package
	// never grants it again before the claim expires.
	Unknown
	// InProgress: an earlier attempt may still be running, since its run limit has
	// not passed. Repeat the call later.
	InProgress
)

// String returns the name of the status in snake case, or "invalid".
func (s Status) String() string {
	names := [...]string{"", "claimed", "done", "unknown", "in_progress"}
	if s <= 0 || int(s) >= len(names) {
		return "invalid"
	}
	return names[s]
}

// Outcome is the result of Claims.Claim.
type Outcome struct {
	Status Status
	// Claim is the granted claim. It is set only if Status is Claimed, and the
	// caller must end it.
	Claim *Claim
	// Result is the stored result, set only if Status is Done.
	Result []byte
	// ClaimedAt is the time of the earlier attempt's claim on the wall clock of the
	// VM that made it. It is the time of this call if a concurrent call replaced a
	// claim that was never sent, and zero if Status is Claimed.
	ClaimedAt time.Time
}

// Claim requests permission to send the request identified by key. The caller may
// send it, once, only if it gets the status Claimed without an error.
//
// The fingerprint identifies the content of the request, for instance a hash of its
// method, path and body, of 1 to 256 bytes. Calls with the same key but different
// fingerprints are refused. Options.StoreTimeout limits the store operations.
//
// Errors: ErrInvalidKey, ErrFingerprintMismatch, ErrUnavailable and ErrMalformedRow.
// After any error this attempt must not be sent; after the last two the status of
// earlier attempts is unknown.
func (c *Claims) Claim(ctx context.Context, key Key, fingerprint string) (Outcome, error) {
	if err := key.validate(fingerprint); err != nil {
		return Outcome{}, err
	}
	ctx, cancel := deadline.WithTimeout(ctx, c.opts.Clock, c.opts.StoreTimeout)
	defer cancel()
	candidate := row{
		ClaimID:     c.opts.NewID(),
		Owner:       c.owner,
		Fingerprint: fingerprint,
		Created:     c.opts.Clock.Now().UTC(),
		State:       stateRunning,
	}
	outcome, event, err := c.insertOrInspect(ctx, c.opts.Prefix+key.rowKey(), candidate)
	c.opts.Observer.OnceEvent(event)
	return outcome, err
}

// insertOrInspect inserts the candidate row, or returns the outcome for the row that
// already exists.
func (c *Claims) insertOrInspect(ctx context.Context, rowKey string, candidate row) (Outcome, Event, error) {
	value, err := candidate.encode()
	if err != nil {
		return Outcome{}, EventMalformed, err
	}
	stored, err := c.writer().Insert(ctx, rowKey, value)
	switch {
	case err == nil:
		return c.grantedOutcome(stored, candidate), EventClaimed, nil
	case errorx.IsOfType(err, store.ErrExists):
		return c.outcomeOfExisting(ctx, stored, candidate)
	default:
		return c.claimFailed(candidate, err)
	}
}

// outcomeOfExisting returns the outcome for the row that already exists. It replaces
// the row if this VM knows that no request was sent for it.
func (c *Claims) outcomeOfExisting(ctx context.Context, stored store.Row, candidate row) (Outcome, Event, error) {
	current, err := decode(stored)
	if err != nil {
		return Outcome{}, EventMalformed, err
	}
	if current.State != stateDone && c.unsent.contains(current.ClaimID) {
		return c.reclaim(ctx, stored, candidate)
	}
	if current.Fingerprint != candidate.Fingerprint {
		return Outcome{}, EventFingerprintMismatch,
			ErrFingerprintMismatch.New("key %q was already used for a different request", stored.Key)
	}
	outcome, event := c.outcomeOf(current)
	return outcome, event, nil
}

// outcomeOf returns the outcome for an existing claim of the same request.
func (c *Claims) outcomeOf(current row) (Outcome, Event) {
	switch {
	case current.State == stateDone:
		return Outcome{Status: Done, Result: current.Result, ClaimedAt: current.Created}, EventDone
	case current.State == stateRunning && c.isWithinRunLimit(current):
		return Outcome{Status: InProgress, ClaimedAt: current.Created}, EventInProgress
	default:
		return Outcome{Status: Unknown, ClaimedAt: current.Created}, EventUnknown
	}
}

// isWithinRunLimit reports whether a running claim may still be within its run limit,
// allowing for clock skew.
func (c *Claims) isWithinRunLimit(current row) bool {
	age := c.opts.Clock.Now().Sub(current.Created)
	return age < c.opts.RunLimit+c.opts.SkewMargin
}

// reclaim replaces a row for which this VM knows that no request was sent.
func (c *Claims) reclaim(ctx context.Context, stored store.Row, candidate row) (Outcome, Event, error) {
	value, err := candidate.encode()
	if err != nil {
		return Outcome{}, EventMalformed, err
	}
	written, err := c.writer().Update(ctx, stored.Key, value, stored.Version)
	switch {
	case err == nil:
		return c.grantedOutcome(written, candidate), EventReclaimed, nil
	case errorx.IsOfType(err, store.ErrConflict):
		return Outcome{Status: InProgress, ClaimedAt: candidate.Created}, EventInProgress, nil
	default:
		return c.claimFailed(candidate, err)
	}
}

func (c *Claims) grantedOutcome(written store.Row, candidate row) Outcome {
	claim := &Claim{claims: c, stored: written, row: candidate}
	return Outcome{Status: Claimed, Claim: claim}
}

// claimFailed returns the error for an attempt that must not be sent. The row of the
// attempt may exist nevertheless, so its claim ID is recorded as unsent.
func (c *Claims) claimFailed(candidate row, err error) (Outcome, Event, error) {
	c.recordUnsent(candidate.ClaimID)
	return Outcome{}, EventUnavailable, ErrUnavailable.Wrap(err, "claim could not be recorded; this attempt was not sent")
}

// recordUnsent records that no request was sent, or will be sent, for the claim.
func (c *Claims) recordUnsent(claimID string) {
	if c.unsent.add(claimID) {
		c.opts.Observer.OnceEvent(EventUnsentEvicted)
	}
}

func (c *Claims) writer() settle.Writer {
	return settle.Writer{Table: c.table, OnSettle: func(outcome settle.Outcome) {
		c.opts.Observer.OnceEvent(Event(outcome))
	}}
}
