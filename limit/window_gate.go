package limit

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/poplarshore/poplarshore/refusal"
)

// WindowGate bounds the requests in flight for one service on this VM while there are signs
// of overload, and queues the others. It wraps a WindowAdmission and is safe for concurrent
// use.
type WindowGate struct {
	clock clockwork.Clock
	// onChange is called with the gate locked when a limit begins or ends.
	onChange func(WindowStats)

	mu        sync.Mutex
	admission *WindowAdmission
	limited   bool
}

// NewWindowGate returns a WindowGate without a limit. onChange is called when a limit begins
// or ends, and must not call the gate; nil is not called.
func NewWindowGate(opts WindowAdmissionOptions, clock clockwork.Clock, onChange func(WindowStats)) *WindowGate {
	return &WindowGate{clock: clock, onChange: onChange, admission: NewWindowAdmission(opts, rand.Float64)}
}

// WindowPermit is the right of one request to be in flight. Release must be called exactly
// once. The zero value is no permit.
type WindowPermit struct {
	gate       *WindowGate
	acquiredAt time.Time
}

// BeginLimited sets a limit that grows fast; see Window.Begin.
func (g *WindowGate) BeginLimited(limit float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.admission.BeginLimited(limit, g.clock.Now())
	g.reportChange()
}

// Acquire blocks until the work may start, at most until its deadline. It returns a
// *refusal.Refusal when the queue is full, when the work is not expected to start by its
// deadline, or when ctx ends first; in the last case the cause is ctx.Err().
func (g *WindowGate) Acquire(ctx context.Context, w Work) (WindowPermit, error) {
	now := g.clock.Now()
	waiter, err := g.offer(w, now)
	if err != nil {
		return WindowPermit{}, err
	}
	if waiter == nil {
		return WindowPermit{gate: g, acquiredAt: now}, nil
	}
	timer := g.clock.NewTimer(waiter.Deadline.Sub(now))
	defer timer.Stop()
	select {
	case err := <-waiter.result:
		return g.result(err)
	case <-timer.Chan():
		return g.cancel(waiter, nil)
	case <-ctx.Done():
		return g.cancel(waiter, ctx.Err())
	}
}

// result converts the result of a waiter.
func (g *WindowGate) result(err error) (WindowPermit, error) {
	if err != nil {
		return WindowPermit{}, err
	}
	return WindowPermit{gate: g, acquiredAt: g.clock.Now()}, nil
}

// offer starts or queues the work, and starts what else may start. The waiter is nil if the work
// has started.
func (g *WindowGate) offer(w Work, now time.Time) (*Waiter, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	waiter, evicted, err := g.admission.Offer(w, now)
	for _, victim := range evicted {
		victim.result <- refusal.New(refusal.QueueFull).WithRetryAfter(g.admission.RetryAfter(victim.Work))
	}
	if waiter != nil {
		waiter.result = make(chan error, 1)
		g.start(now)
	}
	g.reportChange()
	return waiter, err
}

// start starts the waiters that may start now and refuses the late ones. The caller holds mu.
func (g *WindowGate) start(now time.Time) {
	started, late := g.admission.Start(now)
	for _, w := range late {
		w.result <- refusal.New(refusal.Overloaded).WithRetryAfter(g.admission.RetryAfter(w.Work))
	}
	for _, w := range started {
		w.result <- nil
	}
}

// reportChange reports that a limit began or ended. The caller holds mu.
func (g *WindowGate) reportChange() {
	limited := g.admission.window.Active()
	if limited == g.limited {
		return
	}
	g.limited = limited
	if g.onChange != nil {
		g.onChange(g.admission.Stats())
	}
}

// cancel removes a waiter that waited in vain. If the waiter has left the queue already, its
// result stands.
func (g *WindowGate) cancel(w *Waiter, cause error) (WindowPermit, error) {
	g.mu.Lock()
	removed := g.admission.Cancel(w)
	retryAfter := g.admission.RetryAfter(w.Work)
	g.mu.Unlock()
	if !removed {
		return g.result(<-w.result)
	}
	return WindowPermit{}, refusal.Wrap(refusal.Overloaded, cause).WithRetryAfter(retryAfter)
}

// Stats returns the current numbers for metrics.
func (g *WindowGate) Stats() WindowStats {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admission.Stats()
}

// RetryAfter returns when refused work may come back.
func (g *WindowGate) RetryAfter(w Work) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admission.RetryAfter(w)
}

// Held reports whether there is a permit.
func (p WindowPermit) Held() bool { return p.gate != nil }

// Limited reports whether the gate sets a limit now.
func (p WindowPermit) Limited() bool {
	p.gate.mu.Lock()
	defer p.gate.mu.Unlock()
	return p.gate.limited
}

// Observe reports what an attempt of the request tells of its upstream. The permit must be held,
// as for Limited and Release.
func (p WindowPermit) Observe(s Signal) {
	g := p.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.admission.Observe(s, now)
	g.start(now)
	g.reportChange()
}

// Release gives the place back and starts queued requests. served reports whether an upstream
// served the request.
func (p WindowPermit) Release(served bool) {
	g := p.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.admission.Done(now.Sub(p.acquiredAt), served)
	g.start(now)
	g.reportChange()
}
