package limit

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/poplarshore/poplarshore/refusal"
)

// GateOptions configures a Gate.
type GateOptions struct {
	AdmissionOptions
	Clock clockwork.Clock
}

// Defaults of AdmissionOptions. The queue length is in requests, the quantum in
// tokens.
const (
	defaultMaxQueued          = 1024
	defaultQuantum            = 1024
	defaultInitialServiceTime = 2 * time.Second
)

// DefaultGateOptions returns the default options.
func DefaultGateOptions(clock clockwork.Clock) GateOptions {
	return GateOptions{
		AdmissionOptions: AdmissionOptions{
			Adaptive:           DefaultAdaptiveOptions(),
			MaxQueued:          defaultMaxQueued,
			Quantum:            defaultQuantum,
			InitialServiceTime: defaultInitialServiceTime,
		},
		Clock: clock,
	}
}

// Gate bounds the requests in flight for one model on this VM and queues the
// others. It wraps an Admission and is safe for concurrent use.
type Gate struct {
	clock clockwork.Clock

	mu        sync.Mutex
	admission *Admission
}

// NewGate returns a Gate with no requests in flight.
func NewGate(opts GateOptions) *Gate {
	return &Gate{clock: opts.Clock, admission: NewAdmission(opts.AdmissionOptions)}
}

// Permit is the right of one request to be in flight, granted by Gate.Acquire. It
// must be released when the request ends.
type Permit struct {
	gate       *Gate
	acquiredAt time.Time
	once       sync.Once
}

// Acquire blocks until the work may start. It returns a *refusal.Refusal when the
// queue is full, when the work is not expected to complete by its deadline, or when
// ctx ends first; in the last case the cause is ctx.Err().
func (g *Gate) Acquire(ctx context.Context, w Work) (*Permit, error) {
	waiter, err := g.offer(w)
	if err != nil {
		return nil, err
	}
	if waiter == nil {
		return g.newPermit(), nil
	}
	select {
	case err := <-waiter.result:
		return g.result(err)
	case <-ctx.Done():
		return g.cancel(ctx, waiter)
	}
}

func (g *Gate) newPermit() *Permit { return &Permit{gate: g, acquiredAt: g.clock.Now()} }

func (g *Gate) result(err error) (*Permit, error) {
	if err != nil {
		return nil, err
	}
	return g.newPermit(), nil
}

func (g *Gate) offer(w Work) (*Waiter, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	waiter, evicted, err := g.admission.Offer(w, g.clock.Now())
	if waiter != nil {
		waiter.result = make(chan error, 1)
	}
	if evicted != nil {
		g.refuse(evicted, refusal.QueueFull)
	}
	return waiter, err
}

func (g *Gate) refuse(w *Waiter, reason refusal.Reason) {
	w.result <- refusal.New(reason).WithRetryAfter(g.admission.EstimateWait(w.Work))
}

// cancel removes a waiter after its context was cancelled or timed out. If the
// waiter has left the queue already, its result stands.
func (g *Gate) cancel(ctx context.Context, w *Waiter) (*Permit, error) {
	g.mu.Lock()
	removed := g.admission.Cancel(w)
	wait := g.admission.EstimateWait(w.Work)
	g.mu.Unlock()
	if !removed {
		return g.result(<-w.result)
	}
	return nil, refusal.Wrap(refusal.Overloaded, ctx.Err()).WithRetryAfter(wait)
}

// Release ends the request, reports its outcome to the gate and starts queued
// requests. Only the first call has an effect.
func (p *Permit) Release(o Outcome) {
	p.once.Do(func() { p.gate.release(p.acquiredAt, o) })
}

func (g *Gate) release(acquiredAt time.Time, o Outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	started, late := g.admission.Done(now.Sub(acquiredAt), o, now)
	for _, w := range late {
		g.refuse(w, refusal.Overloaded)
	}
	for _, w := range started {
		w.result <- nil
	}
}

// GateStats are the current numbers of a Gate, in requests.
type GateStats struct {
	InFlight int
	Waiting  int
	Limit    int
}

// Stats returns the current numbers for metrics.
func (g *Gate) Stats() GateStats {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admission.Stats()
}
