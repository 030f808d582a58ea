package limit

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/poplarshore/poplarshore/refusal"
)

// GateOptions set up a Gate.
type GateOptions struct {
	AdmissionOptions
	Clock clockwork.Clock
}

const (
	defaultQueueLength = 1024
	defaultQuantum     = 1024
	defaultGateHold    = 2 * time.Second
)

// DefaultGateOptions returns the default options.
func DefaultGateOptions(clock clockwork.Clock) GateOptions {
	return GateOptions{
		AdmissionOptions: AdmissionOptions{
			Adaptive: DefaultAdaptiveOptions(),
			Queue:    defaultQueueLength,
			Quantum:  defaultQuantum,
			Hold:     defaultGateHold,
		},
		Clock: clock,
	}
}

// Gate bounds the requests in flight for one model on this VM and lets the rest
// wait their turn. It is an Admission that is safe for concurrent use.
type Gate struct {
	clock clockwork.Clock

	mu        sync.Mutex
	admission *Admission
}

// NewGate returns an open gate.
func NewGate(opts GateOptions) *Gate {
	return &Gate{clock: opts.Clock, admission: NewAdmission(opts.AdmissionOptions)}
}

// Pass is a request that went through a Gate.
type Pass struct {
	gate    *Gate
	entered time.Time
	once    sync.Once
}

// Enter waits until the work may start. It returns a *refusal.Refusal when the
// queue is full, when the work would not be done by its deadline, or when ctx
// ends first; the last has ctx's error as its cause.
func (g *Gate) Enter(ctx context.Context, w Work) (*Pass, error) {
	waiter, err := g.offer(w)
	if err != nil {
		return nil, err
	}
	if waiter == nil {
		return g.pass(), nil
	}
	select {
	case err := <-waiter.verdict:
		return g.answer(err)
	case <-ctx.Done():
		return g.quit(ctx, waiter)
	}
}

func (g *Gate) pass() *Pass { return &Pass{gate: g, entered: g.clock.Now()} }

func (g *Gate) answer(err error) (*Pass, error) {
	if err != nil {
		return nil, err
	}
	return g.pass(), nil
}

func (g *Gate) offer(w Work) (*Waiter, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	waiter, evicted, err := g.admission.Offer(w, g.clock.Now())
	if waiter != nil {
		waiter.verdict = make(chan error, 1)
	}
	if evicted != nil {
		g.refuse(evicted, refusal.QueueFull)
	}
	return waiter, err
}

func (g *Gate) refuse(w *Waiter, reason refusal.Reason) {
	w.verdict <- refusal.New(reason).After(g.admission.Wait(w.Work))
}

// quit takes a waiter out after its caller went away or ran out of time.
func (g *Gate) quit(ctx context.Context, w *Waiter) (*Pass, error) {
	g.mu.Lock()
	removed := g.admission.Quit(w)
	wait := g.admission.Wait(w.Work)
	g.mu.Unlock()
	if !removed {
		return g.answer(<-w.verdict)
	}
	return nil, refusal.Because(refusal.Overloaded, ctx.Err()).After(wait)
}

// Leave ends the request and lets the next ones start. Only the first call counts.
func (p *Pass) Leave(o Outcome) {
	p.once.Do(func() { p.gate.leave(p.entered, o) })
}

func (g *Gate) leave(entered time.Time, o Outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	started, late := g.admission.Done(now.Sub(entered), o, now)
	for _, w := range late {
		g.refuse(w, refusal.Overloaded)
	}
	for _, w := range started {
		w.verdict <- nil
	}
}

// State is a gate's numbers for metrics.
type State struct {
	InFlight int
	Waiting  int
	Limit    int
}

// State returns the gate's numbers.
func (g *Gate) State() State {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admission.State()
}
