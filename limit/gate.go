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
	Adaptive AdaptiveOptions
	// Queue bounds the waiters.
	Queue int
	// Quantum is the cost that an account may start in one turn, in tokens.
	Quantum float64
	// Hold stands in for the holding time until one was measured.
	Hold  time.Duration
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
		Adaptive: DefaultAdaptiveOptions(),
		Queue:    defaultQueueLength,
		Quantum:  defaultQuantum,
		Hold:     defaultGateHold,
		Clock:    clock,
	}
}

// Gate bounds the requests in flight for one model on this VM and lets the rest
// wait their turn. It is safe for concurrent use.
type Gate struct {
	clock clockwork.Clock

	mu       sync.Mutex
	adaptive *Adaptive
	queue    *Queue
	inFlight int
	hold     time.Duration
}

// NewGate returns an open gate.
func NewGate(opts GateOptions) *Gate {
	return &Gate{
		clock:    opts.Clock,
		adaptive: NewAdaptive(opts.Adaptive),
		queue:    NewQueue(opts.Queue, opts.Quantum),
		hold:     opts.Hold,
	}
}

// Pass is a request that went through a Gate.
type Pass struct {
	gate    *Gate
	entered time.Time
	once    sync.Once
}

// Enter waits until the work may start. It returns a *refusal.Refusal when the
// queue is full, when the work would start after its deadline, or when ctx ends
// first; the last has ctx's error as its cause.
func (g *Gate) Enter(ctx context.Context, w Work) (*Pass, error) {
	waiter, err := g.join(w)
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

// join lets the work start (no waiter), puts it in the queue or refuses it.
func (g *Gate) join(w Work) (*Waiter, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.inFlight < g.adaptive.Limit() && g.queue.Len() == 0 {
		g.inFlight++
		return nil, nil
	}
	wait := g.wait(w.Priority)
	if g.clock.Now().Add(wait).After(w.Deadline) {
		return nil, refusal.New(refusal.Overloaded).After(wait)
	}
	waiter, evicted, ok := g.queue.Push(w)
	if !ok {
		return nil, refusal.New(refusal.QueueFull).After(wait)
	}
	waiter.verdict = make(chan error, 1)
	if evicted != nil {
		evicted.verdict <- refusal.New(refusal.QueueFull).After(g.wait(evicted.Priority))
	}
	return waiter, nil
}

// wait estimates how long work of a priority waits, by Little's law.
func (g *Gate) wait(priority int) time.Duration {
	turns := float64(g.queue.Before(priority)+1) / float64(g.adaptive.Limit())
	return time.Duration(turns * float64(g.hold))
}

// quit takes a waiter out after its caller went away or ran out of time.
func (g *Gate) quit(ctx context.Context, w *Waiter) (*Pass, error) {
	g.mu.Lock()
	removed := g.queue.Remove(w)
	wait := g.wait(w.Priority)
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
	g.adaptive.Observe(o, g.inFlight, now)
	g.inFlight--
	if o.FirstToken > 0 {
		g.hold += time.Duration(holdWeight * float64(now.Sub(entered)-g.hold))
	}
	for g.inFlight < g.adaptive.Limit() && g.queue.Len() > 0 {
		g.startNext(now)
	}
}

// startNext lets one waiter start and refuses those that it found too late.
func (g *Gate) startNext(now time.Time) {
	next, late := g.queue.Pop(now)
	for _, w := range late {
		w.verdict <- refusal.New(refusal.Overloaded).After(g.wait(w.Priority))
	}
	if next != nil {
		g.inFlight++
		next.verdict <- nil
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
	return State{InFlight: g.inFlight, Waiting: g.queue.Len(), Limit: g.adaptive.Limit()}
}
