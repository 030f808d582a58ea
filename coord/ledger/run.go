package ledger

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/joomcode/errorx"
)

// Run commits segments, one at a time in the order of their sequence numbers. It retries a failed
// commit without limit, with exponential backoff. Run returns nil when ctx ends, and
// ErrIncarnationTaken when another process is found to use the incarnation; every waiting and later
// call of Append, Flush and Close then returns that error as well. Call Run once per Writer.
func (w *Writer) Run(ctx context.Context) error {
	for {
		b := w.nextBatch(ctx)
		if b == nil {
			return nil
		}
		if err := w.writeBatch(ctx, b); err != nil {
			return err
		}
		if ctx.Err() != nil {
			return nil
		}
	}
}

// nextBatch waits until the oldest batch is due and returns it, sealed. It returns nil when ctx has
// ended.
func (w *Writer) nextBatch(ctx context.Context) *batch {
	for ctx.Err() == nil {
		b, delay := w.dueBatch()
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

// dueBatch seals and returns the oldest batch if it is to be committed now. Otherwise it returns the
// time until then, or zero to wait for a wake-up.
func (w *Writer) dueBatch() (*batch, time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.batches) == 0 {
		w.flushRequested = false
		return nil, 0
	}
	b := w.batches[0]
	collecting := len(w.batches) == 1 && b.sealed == nil && !w.isFull(b, 0) && !b.final
	if collecting && !w.flushRequested {
		delay := w.opts.BatchPolicy.Delay(w.meanLatency, w.opts.Clock.Since(w.sealedAt))
		if delay > 0 {
			return nil, delay
		}
	}
	if !w.sealBatch(b) {
		return nil, 0
	}
	return b, 0
}

// sealBatch assigns the next sequence number to a batch and encodes its segment, which no longer
// changes. Batches must be sealed in order. It reports false if the segment can't be encoded. The
// caller holds w.mu.
func (w *Writer) sealBatch(b *batch) bool {
	if b.sealed != nil {
		return true
	}
	sealed, err := sealSegment(w.opts.Prefix, segment{
		Incarnation: w.opts.Incarnation,
		Sequence:    w.lastSequence + 1,
		Final:       b.final,
		Entries:     b.entries,
	})
	if err != nil {
		return false
	}
	w.lastSequence++
	w.sealedAt = w.opts.Clock.Now()
	b.sealed = &sealed
	return true
}

// writeBatch commits a batch, repeating failed attempts until ctx ends, and completes the calls that
// wait for it. Errors: ErrIncarnationTaken.
func (w *Writer) writeBatch(ctx context.Context, b *batch) error {
	for attempt := 0; ctx.Err() == nil; attempt++ {
		startedAt := w.opts.Clock.Now()
		err := w.tryCommit(ctx, b)
		if err == nil {
			w.completeBatch(b, w.opts.Clock.Since(startedAt))
			return nil
		}
		if errorx.IsOfType(err, ErrIncarnationTaken) {
			w.failAll(err)
			return err
		}
		w.opts.Observer.Observe(EventCommitRetry, 1)
		w.copyOverdueToPeer(ctx)
		w.backOff(ctx, attempt)
	}
	return nil
}

// tryCommit makes one attempt to commit a batch, of at most CallTimeout.
func (w *Writer) tryCommit(ctx context.Context, b *batch) error {
	ctx, cancel := withTimeout(ctx, w.opts.Clock, w.opts.CallTimeout)
	defer cancel()
	alreadyStored, err := commitSegment(ctx, w.opts.Objects, *b.sealed)
	if alreadyStored {
		w.opts.Observer.Observe(EventSettledByRead, 1)
	}
	return err
}

// completeBatch removes the oldest batch, which is committed, and completes the calls that wait for
// it.
func (w *Writer) completeBatch(b *batch, latency time.Duration) {
	w.mu.Lock()
	w.batches = w.batches[1:]
	w.backlogBytes -= b.bytes
	w.meanLatency = updateMean(w.meanLatency, latency)
	close(b.done)
	w.mu.Unlock()
	w.opts.Observer.Observe(EventCommitted, len(b.entries))
	w.opts.Observer.Persisted(latency, len(b.entries), len(b.sealed.Body))
}

// failAll stops the writer: every waiting and later call returns err. The batches stay, for
// Unwritten.
func (w *Writer) failAll(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failure = err
	for _, b := range w.batches {
		b.err = err
		close(b.done)
	}
	w.opts.Observer.Observe(EventIncarnationTaken, 1)
}

// copyOverdueToPeer copies the batches that have waited too long to the peer holder, oldest first. It
// stops at the first failure; the next retry of the commit continues from there.
func (w *Writer) copyOverdueToPeer(ctx context.Context) {
	if w.opts.PeerHolder == nil {
		return
	}
	for _, b := range w.overdueBatches() {
		if !w.copyToPeer(ctx, b) {
			return
		}
	}
}

// copyToPeer copies one batch to the peer holder and reports whether that succeeded.
func (w *Writer) copyToPeer(ctx context.Context, b *batch) bool {
	ctx, cancel := withTimeout(ctx, w.opts.Clock, w.opts.CallTimeout)
	defer cancel()
	if err := w.opts.PeerHolder.Hold(ctx, *b.sealed); err != nil {
		w.opts.Observer.Observe(EventHoldFailed, 1)
		return false
	}
	w.mu.Lock()
	b.heldByPeer = true
	w.mu.Unlock()
	w.opts.Observer.Observe(EventHeldByPeer, 1)
	return true
}

// overdueBatches seals and returns the batches to copy to the peer holder: all that have not been
// copied, once the oldest has waited for HoldAfter.
func (w *Writer) overdueBatches() []*batch {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.batches) == 0 || w.opts.Clock.Since(w.batches[0].openedAt) < w.opts.HoldAfter {
		return nil
	}
	var overdue []*batch
	for _, b := range w.batches {
		if !b.heldByPeer && w.sealBatch(b) {
			overdue = append(overdue, b)
		}
	}
	return overdue
}

// backOff waits before the next attempt: a random time between half of the delay and the delay,
// which doubles with each attempt from initialBackoff up to maxBackoff.
func (w *Writer) backOff(ctx context.Context, attempt int) {
	delay := min(initialBackoff<<min(attempt, 10), maxBackoff)
	delay = delay/2 + time.Duration(w.opts.Rand.Int64N(int64(delay/2)))
	select {
	case <-ctx.Done():
	case <-w.opts.Clock.After(delay):
	}
}

// withTimeout returns a context that is cancelled after d as measured by clock.
func withTimeout(ctx context.Context, clock clockwork.Clock, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	timer := clock.AfterFunc(d, cancel)
	return ctx, func() {
		timer.Stop()
		cancel()
	}
}
