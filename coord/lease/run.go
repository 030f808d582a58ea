package lease

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
)

// Func is the work of a job, run by Manager.Run while l is valid. It must call
// l.Check immediately before each side effect and return when ctx is cancelled.
//
// The ctx is cancelled when the lease ends, with an error of type ErrExpired as its
// cause, and when the context given to Run is cancelled. In the latter case the lease
// is renewed until Func returns, so that Func can finish its work in an orderly way.
type Func func(ctx context.Context, l *Lease) error

// Run repeats Acquire until job is acquired, runs fn while it renews the lease every
// Options.RenewInterval, and releases the lease when fn has returned. If the lease
// ends while fn is running, Run waits for fn to return, discards its error and
// contends for the job again.
//
// Run returns the error of fn if fn returned while the lease was valid or after ctx
// was cancelled, and nil if ctx was cancelled while it contended. It returns
// ErrMalformedRow for a row that cannot be decoded, which only an operator can
// repair. Other errors of Acquire are reported to the Observer and retried.
//
// Only one Lease of a job is valid at a time, but a Func that ignores ctx and Check
// may still be running when another holder starts (EventOverrun).
func (m *Manager) Run(ctx context.Context, job string, fn Func) error {
	for ctx.Err() == nil {
		if !m.opts.Eligible(job) {
			m.sleep(ctx, m.retryDelay())
			continue
		}
		l, err := m.Acquire(ctx, job)
		if errorx.IsOfType(err, ErrMalformedRow) {
			return err
		}
		if err != nil {
			m.sleep(ctx, m.retryDelay())
			continue
		}
		finished, err := m.runTerm(ctx, l, fn)
		if finished {
			return err
		}
	}
	return nil
}

// runTerm runs fn under one lease. It returns true with the error of fn if Run should
// return, and false if the lease ended early and Run should contend again.
func (m *Manager) runTerm(ctx context.Context, l *Lease, fn Func) (bool, error) {
	runCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stopWatching := m.cancelOnExpiry(l, cancel)
	defer stopWatching()
	done := make(chan error, 1)
	go func() { done <- fn(runCtx, l) }()
	err := m.renewUntilDone(l, done, cancel)
	held := l.Check() == nil
	m.release(ctx, l)
	return held || ctx.Err() != nil, err
}

// cancelOnExpiry starts a goroutine that cancels the context of fn when the lease
// ends, even while a renewal is blocked in the store. It returns a function that
// stops the goroutine.
func (m *Manager) cancelOnExpiry(l *Lease, cancel context.CancelCauseFunc) func() {
	stopped := make(chan struct{})
	go func() {
		for l.Check() == nil {
			timer := m.opts.Clock.NewTimer(l.Remaining())
			select {
			case <-stopped:
				timer.Stop()
				return
			case <-timer.Chan():
			}
		}
		cancel(l.Check())
	}()
	return func() { close(stopped) }
}

// renewUntilDone renews the lease until fn returns or the lease ends. It waits for fn
// in both cases and returns the error of fn.
func (m *Manager) renewUntilDone(l *Lease, done <-chan error, cancel context.CancelCauseFunc) error {
	ticker := m.opts.Clock.NewTicker(m.opts.RenewInterval)
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

// awaitOverrun waits for fn to return after its lease has ended. If fn is still
// running one Margin later, it may overlap with the next holder, which is reported as
// EventOverrun.
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

// release releases the lease, even if ctx was cancelled.
func (m *Manager) release(ctx context.Context, l *Lease) {
	// The lease reports a failed release to the observer. Other holders then wait
	// for the TTL.
	_ = l.Release(context.WithoutCancel(ctx))
}

// sleep waits until d has elapsed or ctx is cancelled.
func (m *Manager) sleep(ctx context.Context, d time.Duration) {
	timer := m.opts.Clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.Chan():
	}
}

// retryDelay returns the time until the next attempt to acquire, with jitter so that
// contenders don't all access the store at the same time.
func (m *Manager) retryDelay() time.Duration {
	jitter := m.opts.Jitter() / jitterDivisor
	return m.opts.RenewInterval + time.Duration(jitter*float64(m.opts.RenewInterval))
}
