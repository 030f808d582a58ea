package ledger

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/joomcode/errorx"
)

// Run writes segments, one at a time in order of their sequence, until ctx ends
// or another process turns out to use the incarnation (ErrTaken).
func (w *Writer) Run(ctx context.Context) error {
	for {
		b := w.nextBatch(ctx)
		if b == nil {
			return nil
		}
		if err := w.write(ctx, b); err != nil {
			return err
		}
		if ctx.Err() != nil {
			return nil
		}
	}
}

// nextBatch returns the oldest batch, sealed, once it is due; nil when ctx ended.
func (w *Writer) nextBatch(ctx context.Context) *batch {
	for ctx.Err() == nil {
		b, delay := w.due()
		if b != nil {
			return b
		}
		var timer <-chan time.Time
		if delay > 0 {
			timer = w.opts.Clock.After(delay)
		}
		select {
		case <-ctx.Done():
		case <-w.wake:
		case <-timer:
		}
	}
	return nil
}

// due returns the oldest batch if it is to be written now, and otherwise how
// long to wait; zero stands for until woken.
func (w *Writer) due() (*batch, time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.batches) == 0 {
		w.urgent = false
		return nil, 0
	}
	b := w.batches[0]
	open := len(w.batches) == 1 && b.sealed == nil && !w.full(b, 0) && !b.final
	if open && !w.urgent {
		delay := w.opts.Pace.Delay(w.mean, w.opts.Clock.Since(w.sealedAt))
		if delay > 0 {
			return nil, delay
		}
	}
	if !w.seal(b) {
		return nil, 0
	}
	return b, 0
}

// seal fixes a batch's bytes. Batches are sealed in their order.
func (w *Writer) seal(b *batch) bool {
	if b.sealed != nil {
		return true
	}
	sealed, err := seal(w.opts.Prefix, segment{
		Incarnation: w.opts.Incarnation,
		Sequence:    w.sequence + 1,
		Final:       b.final,
		Entries:     b.entries,
	})
	if err != nil {
		return false
	}
	w.sequence++
	w.sealedAt = w.opts.Clock.Now()
	b.sealed = &sealed
	return true
}

// write commits a batch, however long that takes, and releases its callers.
func (w *Writer) write(ctx context.Context, b *batch) error {
	for attempt := 0; ctx.Err() == nil; attempt++ {
		started := w.opts.Clock.Now()
		err := w.try(ctx, b)
		if err == nil {
			w.release(b, w.opts.Clock.Since(started))
			return nil
		}
		if errorx.IsOfType(err, ErrTaken) {
			w.fail(err)
			return err
		}
		w.opts.Observer.Observe(EventCommitRetry, 1)
		w.leaveCopies(ctx)
		w.backOff(ctx, attempt)
	}
	return nil
}

func (w *Writer) try(ctx context.Context, b *batch) error {
	ctx, cancel := withTimeout(ctx, w.opts.Clock, w.opts.CallTimeout)
	defer cancel()
	settled, err := commit(ctx, w.opts.Objects, *b.sealed)
	if settled {
		w.opts.Observer.Observe(EventSettledByRead, 1)
	}
	return err
}

func (w *Writer) release(b *batch, latency time.Duration) {
	w.mu.Lock()
	w.batches = w.batches[1:]
	w.bytes -= b.bytes
	w.mean = average(w.mean, latency)
	close(b.done)
	w.mu.Unlock()
	w.opts.Observer.Observe(EventCommitted, len(b.entries))
	w.opts.Observer.Persisted(latency, len(b.entries), len(b.sealed.Body))
}

// fail releases every caller with err; the entries stay for Unwritten.
func (w *Writer) fail(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.broken = err
	for _, b := range w.batches {
		b.err = err
		close(b.done)
	}
	w.opts.Observer.Observe(EventTaken, 1)
}

// leaveCopies gives the custodian what has waited too long.
func (w *Writer) leaveCopies(ctx context.Context) {
	if w.opts.Custodian == nil {
		return
	}
	for _, b := range w.overdue() {
		if !w.leaveCopy(ctx, b) {
			return
		}
	}
}

func (w *Writer) leaveCopy(ctx context.Context, b *batch) bool {
	ctx, cancel := withTimeout(ctx, w.opts.Clock, w.opts.CallTimeout)
	defer cancel()
	if err := w.opts.Custodian.Hold(ctx, *b.sealed); err != nil {
		w.opts.Observer.Observe(EventHoldFailed, 1)
		return false
	}
	w.mu.Lock()
	b.held = true
	w.mu.Unlock()
	w.opts.Observer.Observe(EventHeld, 1)
	return true
}

// overdue seals and returns the batches to leave with the custodian: all of
// them, once the oldest has waited longer than HoldAfter.
func (w *Writer) overdue() []*batch {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.batches) == 0 || w.opts.Clock.Since(w.batches[0].since) < w.opts.HoldAfter {
		return nil
	}
	var out []*batch
	for _, b := range w.batches {
		if !b.held && w.seal(b) {
			out = append(out, b)
		}
	}
	return out
}

func (w *Writer) backOff(ctx context.Context, attempt int) {
	delay := min(firstBackoff<<min(attempt, 10), maxBackoff)
	delay = delay/2 + time.Duration(w.opts.Rand.Int64N(int64(delay/2)))
	select {
	case <-ctx.Done():
	case <-w.opts.Clock.After(delay):
	}
}

// withTimeout cancels the returned context after d by the given clock.
func withTimeout(ctx context.Context, clock clockwork.Clock, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	timer := clock.AfterFunc(d, cancel)
	return ctx, func() {
		timer.Stop()
		cancel()
	}
}
