package lease

import (
	"context"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"github.com/poplarshore/poplarshore/coord/store"
	"github.com/poplarshore/poplarshore/coord/store/deadline"
)

// Lease is one term as the holder of a job. It is safe for concurrent use.
type Lease struct {
	manager *Manager
	job     string
	fence   uint64

	writing sync.Mutex // one write to the row at a time

	mu      sync.Mutex
	version store.Version
	start   time.Time // before the last write that took effect was sent
	ended   bool
}

func newLease(m *Manager, job string, fence uint64, version store.Version, start time.Time) *Lease {
	return &Lease{manager: m, job: job, fence: fence, version: version, start: start}
}

// Job returns the job's name.
func (l *Lease) Job() string {
	return l.job
}

// Fence returns the fencing token, which is higher than that of every earlier
// term of the job.
func (l *Lease) Fence() uint64 {
	return l.fence
}

// Remaining returns how long the holder may still act, zero once the lease has
// ended. It is counted on the holder's own clock from before the last write was
// sent, less the margin.
func (l *Lease) Remaining() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.remaining()
}

// Check returns nil while the lease is held. Call it right before each act: a
// holder that was paused finds out here. Once it has failed it never succeeds
// again. Errors: ErrExpired.
func (l *Lease) Check() error {
	if l.Remaining() <= 0 {
		return ErrExpired.New("job %q, fencing token %d", l.job, l.fence)
	}
	return nil
}

// Renew extends the lease to a whole TTL from now.
// Errors: ErrExpired (final), ErrUnavailable (the lease runs on until it expires).
func (l *Lease) Renew(ctx context.Context) error {
	l.writing.Lock()
	defer l.writing.Unlock()
	if err := l.Check(); err != nil {
		return err
	}
	m := l.manager
	start := m.opts.Clock.Now()
	written, err := l.replace(ctx, m.nextRow(l.fence))
	switch {
	case err == nil:
		return l.extend(written.Version, start)
	case errorx.IsOfType(err, store.ErrConflict):
		l.end(EventLost)
		return ErrExpired.Wrap(err, "job %q was taken over", l.job)
	default:
		m.opts.Observer.LeaseEvent(l.job, EventUnavailable)
		return ErrUnavailable.Wrap(err, "renewal of job %q", l.job)
	}
}

// Release gives the job back, so that the next holder need not wait. The lease
// has ended for this holder whatever the result. A lease that ran out is given
// back too, if no other holder took it.
// Errors: ErrUnavailable (others have to wait for the TTL).
func (l *Lease) Release(ctx context.Context) error {
	l.writing.Lock()
	defer l.writing.Unlock()
	l.end("")
	next := l.manager.nextRow(l.fence)
	next.Holder = ""
	_, err := l.replace(ctx, next)
	switch {
	case err == nil:
		l.manager.opts.Observer.LeaseEvent(l.job, EventReleased)
		return nil
	case errorx.IsOfType(err, store.ErrConflict):
		return nil
	default:
		l.manager.opts.Observer.LeaseEvent(l.job, EventUnavailable)
		return ErrUnavailable.Wrap(err, "release of job %q", l.job)
	}
}

// replace writes the job's next row over the one that this term wrote last. An
// earlier renewal may have taken effect after it was given up: then the row is
// at an unexpected version but still of this term, and the write is sent anew.
func (l *Lease) replace(ctx context.Context, next row) (store.Row, error) {
	m := l.manager
	ctx, cancel := deadline.WithTimeout(ctx, m.opts.Clock, m.opts.StoreTimeout)
	defer cancel()
	written, err := m.write(ctx, l.job, next, l.last())
	if !errorx.IsOfType(err, store.ErrConflict) || written.Version == "" {
		return written, err
	}
	current, decodeErr := decode(written)
	if decodeErr != nil || current.free() || current.Fence != l.fence {
		return store.Row{}, err
	}
	return m.write(ctx, l.job, next, written)
}

// last returns the version of the row that this term is known to have written last.
func (l *Lease) last() store.Row {
	l.mu.Lock()
	defer l.mu.Unlock()
	return store.Row{Version: l.version}
}

// extend records a renewal, unless the lease ended while it was under way.
func (l *Lease) extend(version store.Version, start time.Time) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.version = version
	if l.remaining() <= 0 {
		return ErrExpired.New("job %q ended during its renewal", l.job)
	}
	l.start = start
	l.manager.opts.Observer.LeaseEvent(l.job, EventRenewed)
	return nil
}

// end ends the lease and records the event, if it was still held.
func (l *Lease) end(event Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.remaining() <= 0 {
		return
	}
	l.ended = true
	if event != "" {
		l.manager.opts.Observer.LeaseEvent(l.job, event)
	}
}

// remaining also marks the end, so that it stays an end. The caller holds mu.
func (l *Lease) remaining() time.Duration {
	if l.ended {
		return 0
	}
	opts := l.manager.opts
	left := opts.TTL - opts.Margin - elapsed(l.start, opts.Clock.Now())
	if left > 0 {
		return left
	}
	l.ended = true
	opts.Observer.LeaseEvent(l.job, EventExpired)
	return 0
}

// elapsed is the longer of the monotonic and the wall-clock time. A monotonic
// clock may stand still while a machine is suspended; a wall clock that jumps
// ahead only ends the lease early.
func elapsed(start, now time.Time) time.Duration {
	return max(now.Sub(start), now.Round(0).Sub(start.Round(0)))
}
