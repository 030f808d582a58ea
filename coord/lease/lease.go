package lease

import (
	"context"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"github.com/poplarshore/poplarshore/coord/store"
	"github.com/poplarshore/poplarshore/coord/store/deadline"
)

// Lease is a time-limited grant of a job to one holder, returned by Manager.Acquire.
// A Lease that has ended never becomes valid again. It is safe for concurrent use.
type Lease struct {
	manager *Manager
	job     string
	fence   uint64

	writeMu sync.Mutex // serializes writes to the row

	mu         sync.Mutex
	version    store.Version
	validSince time.Time // clock reading before the last successful write was sent
	ended      bool
}

func newLease(m *Manager, job string, fence uint64, version store.Version, validSince time.Time) *Lease {
	return &Lease{manager: m, job: job, fence: fence, version: version, validSince: validSince}
}

// Job returns the name of the job.
func (l *Lease) Job() string {
	return l.job
}

// Fence returns the fencing token. It is higher than the token of every earlier
// Lease of the job, and the same for the lifetime of this one. Send it with writes
// to resources that reject lower tokens.
func (l *Lease) Fence() uint64 {
	return l.fence
}

// Remaining returns how long the lease stays valid unless it is renewed, and zero
// once it has ended. The time is counted on the holder's own clock: TTL minus
// Margin, from before the last successful write was sent.
func (l *Lease) Remaining() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.remaining()
}

// Check returns nil while the lease is valid. Call it immediately before each side
// effect: this is where a holder that was paused detects that its lease has ended.
// Check accesses no storage. After the first error every later call fails as well.
// Errors: ErrExpired.
func (l *Lease) Check() error {
	if l.Remaining() <= 0 {
		return ErrExpired.New("lease on job %q with fencing token %d has ended", l.job, l.fence)
	}
	return nil
}

// Renew extends the lease, so that Remaining is again TTL minus Margin, counted from
// before the write was sent. Other holders wait for a full TTL after the renewal.
// Options.StoreTimeout limits its store operations. Errors: ErrExpired (permanent; the
// lease had ended, ended during the call or was taken over), ErrUnavailable (the
// lease remains valid for Remaining; Renew may be repeated).
func (l *Lease) Renew(ctx context.Context) error {
	l.writeMu.Lock()
	defer l.writeMu.Unlock()
	if err := l.Check(); err != nil {
		return err
	}
	m := l.manager
	sentAt := m.opts.Clock.Now()
	written, err := l.replaceRow(ctx, m.nextRow(l.fence))
	switch {
	case err == nil:
		return l.extend(written.Version, sentAt)
	case errorx.IsOfType(err, store.ErrConflict):
		l.end(EventLost)
		return ErrExpired.Wrap(err, "job %q was taken over by another holder", l.job)
	default:
		m.opts.Observer.LeaseEvent(l.job, EventUnavailable)
		return ErrUnavailable.Wrap(err, "renew lease on job %q", l.job)
	}
}

// Release ends the lease and marks the job as free, so that another holder can
// acquire it at once. The lease has ended locally whatever the result, so all side
// effects must be complete before the call. An expired lease is released as well,
// provided that no other holder has acquired the job; otherwise Release does
// nothing and returns nil. Options.StoreTimeout limits its store operations.
// Errors: ErrUnavailable (other holders may have to wait for the TTL).
func (l *Lease) Release(ctx context.Context) error {
	l.writeMu.Lock()
	defer l.writeMu.Unlock()
	l.end("")
	next := l.manager.nextRow(l.fence)
	next.Holder = ""
	_, err := l.replaceRow(ctx, next)
	switch {
	case err == nil:
		l.manager.opts.Observer.LeaseEvent(l.job, EventReleased)
		return nil
	case errorx.IsOfType(err, store.ErrConflict):
		return nil
	default:
		l.manager.opts.Observer.LeaseEvent(l.job, EventUnavailable)
		return ErrUnavailable.Wrap(err, "release lease on job %q", l.job)
	}
}

// replaceRow replaces the row that this lease wrote last. An earlier renewal may
// have taken effect after it was reported as failed. The row then has an unexpected
// version but still carries this lease's fencing token, and the write is repeated
// against that version.
func (l *Lease) replaceRow(ctx context.Context, next row) (store.Row, error) {
	m := l.manager
	ctx, cancel := deadline.WithTimeout(ctx, m.opts.Clock, m.opts.StoreTimeout)
	defer cancel()
	written, err := m.write(ctx, l.job, next, l.lastWritten())
	if !errorx.IsOfType(err, store.ErrConflict) || written.Version == "" {
		return written, err
	}
	current, decodeErr := decode(written)
	if decodeErr != nil || current.isReleased() || current.Fence != l.fence {
		return store.Row{}, err
	}
	return m.write(ctx, l.job, next, written)
}

// lastWritten returns a row with the version of the last write of this lease that
// is known to have taken effect.
func (l *Lease) lastWritten() store.Row {
	l.mu.Lock()
	defer l.mu.Unlock()
	return store.Row{Version: l.version}
}

// extend records a renewal sent at sentAt. It returns ErrExpired if the lease ended
// while the renewal was in progress.
func (l *Lease) extend(version store.Version, sentAt time.Time) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.version = version
	if l.remaining() <= 0 {
		return ErrExpired.New("lease on job %q ended while its renewal was in progress", l.job)
	}
	l.validSince = sentAt
	l.manager.opts.Observer.LeaseEvent(l.job, EventRenewed)
	return nil
}

// end ends the lease. If the lease was still valid and the event isn't empty, it
// reports the event.
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

// remaining implements Remaining. It marks an expired lease as ended, so that the
// lease stays ended even if a clock reading goes backwards. The caller must hold mu.
func (l *Lease) remaining() time.Duration {
	if l.ended {
		return 0
	}
	opts := l.manager.opts
	remaining := opts.TTL - opts.Margin - elapsed(l.validSince, opts.Clock.Now())
	if remaining > 0 {
		return remaining
	}
	l.ended = true
	opts.Observer.LeaseEvent(l.job, EventExpired)
	return 0
}

// elapsed returns the longer of the elapsed monotonic and wall-clock time. A
// monotonic clock may stop while the machine is suspended; a wall clock that jumps
// forward only ends the lease early.
func elapsed(since, now time.Time) time.Duration {
	return max(now.Sub(since), now.Round(0).Sub(since.Round(0)))
}
