package once

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"github.com/poplarshore/poplarshore/coord/store"
	"github.com/poplarshore/poplarshore/coord/store/deadline"
	"github.com/poplarshore/poplarshore/coord/store/settle"
)

// Claims grants claims to one VM. It is safe for concurrent use.
type Claims struct {
	table  store.Table
	owner  string
	opts   Options
	unsent *unsent
}

// New returns claims for the owner, a name of the VM shown to operators.
// Errors: ErrOptions.
func New(table store.Table, owner string, opts Options) (*Claims, error) {
	opts = opts.withDefaults()
	if err := opts.validate(); err != nil {
		return nil, err
	}
	return &Claims{table: table, owner: owner, opts: opts, unsent: newUnsent(opts.MaxUnsent)}, nil
}

// Status is how a claim stands.
type Status int

// The statuses.
const (
	// Claimed: the caller alone may send the request, once.
	Claimed Status = iota + 1
	// Done: the request has run; its result is kept.
	Done
	// Unknown: an earlier attempt may or may not have run the request. It is
	// never run again by itself.
	Unknown
	// InProgress: another attempt is younger than the run limit.
	InProgress
)

// String returns the status in lower case.
func (s Status) String() string {
	names := [...]string{"", "claimed", "done", "unknown", "in_progress"}
	if s <= 0 || int(s) >= len(names) {
		return "invalid"
	}
	return names[s]
}

// Outcome is the answer to Claim.
type Outcome struct {
	Status Status
	// Claim is the handle, set only if Status is Claimed.
	Claim *Claim
	// Result is the kept result, set only if Status is Done.
	Result []byte
	// Since is when the earlier attempt was claimed, by that VM's wall clock.
	// It is zero if Status is Claimed.
	Since time.Time
}

// Claim asks for the right to send the request. Only after the status Claimed
// may the caller send it. The fingerprint stands for the whole request.
// Errors: ErrKey, ErrFingerprint, ErrUnavailable (this attempt was not run;
// earlier attempts are unknown), ErrRow (likewise).
func (c *Claims) Claim(ctx context.Context, key Key, fingerprint string) (Outcome, error) {
	if err := key.validate(fingerprint); err != nil {
		return Outcome{}, err
	}
	ctx, cancel := deadline.WithTimeout(ctx, c.opts.Clock, c.opts.StoreTimeout)
	defer cancel()
	fresh := row{
		ClaimID:     c.opts.NewID(),
		Owner:       c.owner,
		Fingerprint: fingerprint,
		Created:     c.opts.Clock.Now().UTC(),
		State:       stateRunning,
	}
	outcome, event, err := c.claim(ctx, c.opts.Prefix+key.path(), fresh)
	c.opts.Observer.OnceEvent(event)
	return outcome, err
}

// claim inserts the fresh row or tells how the present one stands.
func (c *Claims) claim(ctx context.Context, path string, fresh row) (Outcome, Event, error) {
	value, err := fresh.encode()
	if err != nil {
		return Outcome{}, EventMalformed, err
	}
	stored, err := c.writer().Insert(ctx, path, value)
	switch {
	case err == nil:
		return c.granted(stored, fresh), EventClaimed, nil
	case errorx.IsOfType(err, store.ErrExists):
		return c.answer(ctx, stored, fresh)
	default:
		return c.failed(fresh, err)
	}
}

// answer tells how the row that holds the key stands.
func (c *Claims) answer(ctx context.Context, stored store.Row, fresh row) (Outcome, Event, error) {
	current, err := decode(stored)
	if err != nil {
		return Outcome{}, EventMalformed, err
	}
	if current.State != stateDone && c.unsent.has(current.ClaimID) {
		return c.reclaim(ctx, stored, fresh)
	}
	if current.Fingerprint != fresh.Fingerprint {
		return Outcome{}, EventFingerprint, ErrFingerprint.New("key %q was used for another request", stored.Key)
	}
	outcome, event := c.judge(current)
	return outcome, event, nil
}

// judge tells how a claim of the same request stands.
func (c *Claims) judge(current row) (Outcome, Event) {
	switch {
	case current.State == stateDone:
		return Outcome{Status: Done, Result: current.Result, Since: current.Created}, EventDone
	case current.State == stateRunning && c.young(current):
		return Outcome{Status: InProgress, Since: current.Created}, EventInProgress
	default:
		return Outcome{Status: Unknown, Since: current.Created}, EventUnknown
	}
}

// young reports whether a running claim may still be within its run limit.
func (c *Claims) young(current row) bool {
	age := c.opts.Clock.Now().Sub(current.Created)
	return age < c.opts.RunLimit+c.opts.SkewMargin
}

// reclaim takes over a row whose request this VM knows was never sent.
func (c *Claims) reclaim(ctx context.Context, stored store.Row, fresh row) (Outcome, Event, error) {
	value, err := fresh.encode()
	if err != nil {
		return Outcome{}, EventMalformed, err
	}
	written, err := c.writer().Update(ctx, stored.Key, value, stored.Version)
	switch {
	case err == nil:
		return c.granted(written, fresh), EventReclaimed, nil
	case errorx.IsOfType(err, store.ErrConflict):
		return Outcome{Status: InProgress, Since: fresh.Created}, EventInProgress, nil
	default:
		return c.failed(fresh, err)
	}
}

func (c *Claims) granted(written store.Row, fresh row) Outcome {
	claim := &Claim{claims: c, stored: written, row: fresh}
	return Outcome{Status: Claimed, Claim: claim}
}

// failed reports an attempt that was not run. Its row may exist all the same.
func (c *Claims) failed(fresh row, err error) (Outcome, Event, error) {
	c.forgo(fresh.ClaimID)
	return Outcome{}, EventUnavailable, ErrUnavailable.Wrap(err, "this attempt was not run")
}

// forgo remembers that no request was sent for the claim.
func (c *Claims) forgo(claimID string) {
	if c.unsent.add(claimID) {
		c.opts.Observer.OnceEvent(EventForgotten)
	}
}

func (c *Claims) writer() settle.Writer {
	return settle.Writer{Table: c.table, OnSettle: func(outcome settle.Outcome) {
		c.opts.Observer.OnceEvent(Event(outcome))
	}}
}
