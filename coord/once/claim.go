package once

import (
	"context"
	"sync"

	"github.com/joomcode/errorx"

	"github.com/poplarshore/poplarshore/coord/store"
	"github.com/poplarshore/poplarshore/coord/store/deadline"
)

// Claim is the right to send one request once. It is safe for concurrent use.
// The contexts given to its methods should outlive the caller's request, as the
// result has to be kept also after the caller has gone.
type Claim struct {
	claims *Claims

	mu     sync.Mutex
	stored store.Row
	row    row
	closed bool
}

// Complete keeps the result for later callers with the same key. It may follow
// MarkUnknown, when the outcome became known later, and may be repeated after
// ErrUnavailable. Errors: ErrResultTooLarge, ErrUnavailable (others see the
// claim as in progress, then unknown), ErrLost, ErrClosed.
func (c *Claim) Complete(ctx context.Context, result []byte) error {
	if len(result) > c.claims.opts.MaxResult {
		c.claims.opts.Observer.OnceEvent(EventTooLarge)
		return ErrResultTooLarge.New("%d bytes, the limit is %d", len(result), c.claims.opts.MaxResult)
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

// MarkUnknown records at once that the outcome is unknown, which others would
// otherwise assume after the run limit. Errors: ErrUnavailable, ErrLost, ErrClosed
// (also if an earlier Complete that reported ErrUnavailable took effect).
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

// Abandon frees the key. Call it only if it is proven that the request was not
// run. Errors: ErrUnavailable (the key is free for this VM only), ErrLost, ErrClosed.
func (c *Claim) Abandon(ctx context.Context) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return ErrClosed.New("claim %q", c.row.ClaimID)
	}
	c.closed = true
	c.claims.forgo(c.row.ClaimID)
	ctx, cancel := c.bound(ctx)
	defer cancel()
	err := c.claims.writer().Delete(ctx, c.stored.Key, c.stored.Version)
	if err != nil {
		return c.fail(err)
	}
	c.claims.opts.Observer.OnceEvent(EventAbandoned)
	return nil
}

// replace writes the next row of this claim. The caller holds mu.
func (c *Claim) replace(ctx context.Context, next row) error {
	if c.closed {
		return ErrClosed.New("claim %q", c.row.ClaimID)
	}
	value, err := next.encode()
	if err != nil {
		return err
	}
	ctx, cancel := c.bound(ctx)
	defer cancel()
	written, err := c.claims.writer().Update(ctx, c.stored.Key, value, c.stored.Version)
	if errorx.IsOfType(err, store.ErrConflict) {
		written, err = c.rewrite(ctx, written, next, err)
	}
	if err != nil {
		return c.fail(err)
	}
	c.stored = written
	c.row = next
	return nil
}

// rewrite sends the write anew if the present row is still of this claim: an
// earlier write of it took effect after it was given up. A kept result stays.
func (c *Claim) rewrite(ctx context.Context, present store.Row, next row, conflict error) (store.Row, error) {
	if present.Version == "" {
		return store.Row{}, conflict
	}
	current, err := decode(present)
	if err != nil || current.ClaimID != c.row.ClaimID {
		return store.Row{}, conflict
	}
	if current.State == stateDone {
		return present, current.agrees(next)
	}
	value, err := next.encode()
	if err != nil {
		return store.Row{}, err
	}
	return c.claims.writer().Update(ctx, present.Key, value, present.Version)
}

func (c *Claim) fail(err error) error {
	if errorx.IsOfType(err, ErrClosed) {
		c.closed = true
		return err
	}
	if errorx.IsOfType(err, store.ErrConflict) {
		c.claims.opts.Observer.OnceEvent(EventLost)
		return ErrLost.Wrap(err, "claim %q", c.row.ClaimID)
	}
	c.claims.opts.Observer.OnceEvent(EventUnavailable)
	return ErrUnavailable.Wrap(err, "claim %q", c.row.ClaimID)
}

func (c *Claim) bound(ctx context.Context) (context.Context, context.CancelFunc) {
	return deadline.WithTimeout(ctx, c.claims.opts.Clock, c.claims.opts.StoreTimeout)
}
