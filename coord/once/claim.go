package once

import (
	"context"
	"sync"

	"github.com/joomcode/errorx"

	"github.com/poplarshore/poplarshore/coord/store"
	"github.com/poplarshore/poplarshore/coord/store/deadline"
)

// Claim is the permission to send one request once, returned by Claims.Claim. Its
// holder must end it with Complete, MarkUnknown or Abandon. It is safe for concurrent
// use.
//
// The methods should get a context that isn't cancelled with the client's request,
// since the outcome has to be recorded even if the client disconnects.
// Options.StoreTimeout limits the store operations of each call.
type Claim struct {
	claims *Claims

	mu     sync.Mutex
	stored store.Row
	row    row
	closed bool
}

// Complete stores the result, which later calls with the same key get with the status
// Done. It closes the claim. It may follow MarkUnknown if the outcome becomes known
// later, and may be repeated with the same result after ErrUnavailable.
// Errors: ErrResultTooLarge, ErrUnavailable (unless the write still takes effect,
// other callers get InProgress and after the run limit Unknown), ErrClaimLost,
// ErrClaimClosed.
func (c *Claim) Complete(ctx context.Context, result []byte) error {
	if len(result) > c.claims.opts.MaxResultBytes {
		c.claims.opts.Observer.OnceEvent(EventResultTooLarge)
		return ErrResultTooLarge.New("result has %d bytes, maximum is %d", len(result), c.claims.opts.MaxResultBytes)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	next := c.row
	next.State = stateDone
	next.Result = result
	if err := c.replace(ctx, next); err != nil {
		return err
	}
	c.closed = true
	c.claims.opts.Observer.OnceEvent(EventCompleted)
	return nil
}

// MarkUnknown records that the request may or may not have run, so that other callers
// get Unknown at once instead of after the run limit. The claim stays open for
// Complete. Errors: ErrUnavailable, ErrClaimLost, ErrClaimClosed (also if an earlier
// Complete that returned ErrUnavailable took effect; its result is retained).
func (c *Claim) MarkUnknown(ctx context.Context) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := c.row
	next.State = stateUnknown
	if err := c.replace(ctx, next); err != nil {
		return err
	}
	c.claims.opts.Observer.OnceEvent(EventMarkedUnknown)
	return nil
}

// Abandon deletes the claim, so that the key can be claimed again. Call it only if it
// is certain that the request has not run and will not run. It closes the claim
// whatever the result. Errors: ErrUnavailable (the key may be free only for later
// calls through the same Claims value), ErrClaimLost, ErrClaimClosed.
func (c *Claim) Abandon(ctx context.Context) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return ErrClaimClosed.New("claim %q was already completed or abandoned", c.row.ClaimID)
	}
	c.closed = true
	c.claims.recordUnsent(c.row.ClaimID)
	ctx, cancel := c.withStoreTimeout(ctx)
	defer cancel()
	err := c.claims.writer().Delete(ctx, c.stored.Key, c.stored.Version)
	if err != nil {
		return c.recordFailure(err)
	}
	c.claims.opts.Observer.OnceEvent(EventAbandoned)
	return nil
}

// replace writes the next row of this claim. The caller must hold mu.
func (c *Claim) replace(ctx context.Context, next row) error {
	if c.closed {
		return ErrClaimClosed.New("claim %q was already completed or abandoned", c.row.ClaimID)
	}
	value, err := next.encode()
	if err != nil {
		return err
	}
	ctx, cancel := c.withStoreTimeout(ctx)
	defer cancel()
	written, err := c.claims.writer().Update(ctx, c.stored.Key, value, c.stored.Version)
	if errorx.IsOfType(err, store.ErrConflict) {
		written, err = c.retryAfterConflict(ctx, written, next, err)
	}
	if err != nil {
		return c.recordFailure(err)
	}
	c.stored = written
	c.row = next
	return nil
}

// retryAfterConflict repeats a write that failed with a conflict if the existing row
// still belongs to this claim: an earlier write of the claim took effect after it was
// reported as failed. A stored result is never replaced.
func (c *Claim) retryAfterConflict(ctx context.Context, existing store.Row, next row,
	conflict error) (store.Row, error) {
	if existing.Version == "" {
		return store.Row{}, conflict
	}
	current, err := decode(existing)
	if err != nil || current.ClaimID != c.row.ClaimID {
		return store.Row{}, conflict
	}
	if current.State == stateDone {
		return existing, current.checkSameResult(next)
	}
	value, err := next.encode()
	if err != nil {
		return store.Row{}, err
	}
	return c.claims.writer().Update(ctx, existing.Key, value, existing.Version)
}

// recordFailure reports the event of a failed write and returns err as an error of
// this package. The caller must hold mu.
func (c *Claim) recordFailure(err error) error {
	if errorx.IsOfType(err, ErrClaimClosed) {
		c.closed = true
		return err
	}
	if errorx.IsOfType(err, store.ErrConflict) {
		c.claims.opts.Observer.OnceEvent(EventLost)
		return ErrClaimLost.Wrap(err, "row no longer belongs to claim %q", c.row.ClaimID)
	}
	c.claims.opts.Observer.OnceEvent(EventUnavailable)
	return ErrUnavailable.Wrap(err, "write row of claim %q", c.row.ClaimID)
}

func (c *Claim) withStoreTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return deadline.WithTimeout(ctx, c.claims.opts.Clock, c.claims.opts.StoreTimeout)
}
