package lease

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
)

// Func is the work of a job. Its context is cancelled at the end of the lease,
// with the lease's error as cause, and at a planned stop, during which the lease
// is still renewed. It has to call Check on the lease right before each act.
type Func func(ctx context.Context, l *Lease) error

// Run contends for the job until it is acquired, runs fn while renewing the
// lease, and releases it once fn has returned. After a lost lease it contends
// anew, when fn has returned. Run returns the error of fn if fn returned while
// the lease was held or after ctx was cancelled, and nil if ctx was cancelled
// while it contended. It returns ErrRow for a row that only an operator can mend.
func (m *Manager) Run(ctx context.Context, job string, fn Func) error {
	for ctx.Err() == nil {
		if !m.opts.Eligible(job) {
			m.pause(ctx, m.spread())
			continue
		}
		l, err := m.Acquire(ctx, job)
		if errorx.IsOfType(err, ErrRow) {
			return err
		}
		if err != nil {
			m.pause(ctx, m.spread())
			continue
		}
		finished, err := m.serve(ctx, l, fn)
		if finished {
			return err
		}
	}
	return nil
}

// serve runs fn for one term and reports whether the job is finished.
func (m *Manager) serve(ctx context.Context, l *Lease, fn Func) (bool, error) {
	runCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := m.cancelAtEnd(l, cancel)
	defer stop()
	done := make(chan error, 1)
	go func() { done <- fn(runCtx, l) }()
	err := m.renewUntil(l, done, cancel)
	held := l.Check() == nil
	m.release(ctx, l)
	return held || ctx.Err() != nil, err
}

// cancelAtEnd cancels fn's context when the lease ends, even while a renewal hangs.
func (m *Manager) cancelAtEnd(l *Lease, cancel context.CancelCauseFunc) func() {
	ended := make(chan struct{})
	go func() {
		for l.Check() == nil {
			timer := m.opts.Clock.NewTimer(l.Remaining())
			select {
			case <-ended:
				timer.Stop()
				return
			case <-timer.Chan():
			}
		}
		cancel(l.Check())
	}()
	return func() { close(ended) }
}

// renewUntil renews the lease until fn is done or the lease has ended, and
// returns fn's error.
func (m *Manager) renewUntil(l *Lease, done <-chan error, cancel context.CancelCauseFunc) error {
	ticker := m.opts.Clock.NewTicker(m.opts.RenewEvery)
	defer ticker.Stop()
	for {
		select {
		case err := <-done:
			return err
		case <-ticker.Chan():
		}
		err := l.Renew(context.Background())
		if errorx.IsOfType(err, ErrExpired) {
			cancel(err)
			return m.awaitOverrun(l, done)
		}
	}
}

// awaitOverrun waits for fn after the end of its lease. A function that still
// runs a margin later may overlap with the next holder and is counted.
func (m *Manager) awaitOverrun(l *Lease, done <-chan error) error {
	timer := m.opts.Clock.NewTimer(m.opts.Margin)
	defer timer.Stop()
	select {
	case err := <-done:
		return err
	case <-timer.Chan():
	}
	m.opts.Observer.LeaseEvent(l.job, EventOverrun)
	return <-done
}

// release gives the lease back, also when ctx was cancelled.
func (m *Manager) release(ctx context.Context, l *Lease) {
	// A failed release was counted by the lease; others wait for its TTL.
	_ = l.Release(context.WithoutCancel(ctx))
}

// pause waits for d or the end of ctx.
func (m *Manager) pause(ctx context.Context, d time.Duration) {
	timer := m.opts.Clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.Chan():
	}
}

// spread returns the time to the next attempt.
func (m *Manager) spread() time.Duration {
	share := m.opts.Jitter() / jitterPerRenewEvery
	return m.opts.RenewEvery + time.Duration(share*float64(m.opts.RenewEvery))
}
