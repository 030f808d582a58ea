// Package limits admits requests: first within their client account's limits,
// then through the gate of the model they ask for.
package limits

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/poplarshore/poplarshore/internal/entry"
	"github.com/poplarshore/poplarshore/internal/peer"
	"github.com/poplarshore/poplarshore/limit"
	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/vm"
)

// Limits implements entry.Limits.
type Limits struct {
	limiter *limit.Limiter
	clock   clockwork.Clock
	gauge   *prometheus.GaugeVec

	mu    sync.Mutex
	gates map[model.Name]*limit.Gate
}

// New returns limits without gates.
func New(limiter *limit.Limiter, clock clockwork.Clock, reg prometheus.Registerer) *Limits {
	l := &Limits{
		limiter: limiter, clock: clock, gates: make(map[model.Name]*limit.Gate),
		gauge: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: "poplarshore", Name: "gate", Help: "Requests in flight, waiting and the limit of each model's gate.",
		}, []string{"model", "number"}),
	}
	reg.MustRegister(l.gauge)
	return l
}

// Admit implements entry.Limits.
func (l *Limits) Admit(ctx context.Context, a entry.Admission) (entry.Ticket, error) {
	now := l.clock.Now()
	estimate := limit.Estimate{Tokens: float64(a.Tokens)}
	ticket, err := l.limiter.Admit(a.Client.Account, a.Client.Contract.Limits, estimate, now)
	if err != nil {
		return nil, err
	}
	if a.Group == "" {
		return &held{clock: l.clock, ticket: ticket}, nil
	}
	pass, err := l.gate(a.Group).Enter(ctx, limit.Work{
		Account: a.Client.Account, Priority: a.Client.Contract.Priority,
		Deadline: a.Deadline, Cost: float64(a.Tokens),
	})
	if err != nil {
		ticket.Settle(0, l.clock.Now())
		return nil, err
	}
	return &held{clock: l.clock, ticket: ticket, pass: pass}, nil
}

func (l *Limits) gate(name model.Name) *limit.Gate {
	l.mu.Lock()
	defer l.mu.Unlock()
	gate := l.gates[name]
	if gate == nil {
		gate = limit.NewGate(limit.DefaultGateOptions(l.clock))
		l.gates[name] = gate
	}
	return gate
}

// Gauge writes the gates' numbers to the metrics.
func (l *Limits) Gauge() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, gate := range l.gates {
		state := gate.State()
		l.gauge.WithLabelValues(string(name), "in_flight").Set(float64(state.InFlight))
		l.gauge.WithLabelValues(string(name), "waiting").Set(float64(state.Waiting))
		l.gauge.WithLabelValues(string(name), "limit").Set(float64(state.Limit))
	}
}

// held is an admitted request.
type held struct {
	clock  clockwork.Clock
	ticket *limit.Ticket
	pass   *limit.Pass
}

// Settle implements entry.Ticket.
func (h *held) Settle(u entry.Use) {
	h.ticket.Settle(float64(u.Tokens), h.clock.Now())
	if h.pass != nil {
		h.pass.Leave(limit.Outcome{FirstToken: u.FirstToken, Rejected: u.Rejected})
	}
}

// Reporter tells the other VMs what client accounts ask of this one.
type Reporter struct {
	Limiter *limit.Limiter
	Peers   *peer.Client
	Clock   clockwork.Clock
	// MaxDelay is the time after which a report is given up.
	MaxDelay time.Duration
}

// MaxReported is the number of other VMs up to which reports are exchanged.
// Each VM tells every other one, so the cost of a VM grows with their number;
// beyond this one no VM reports, which leaves each an even share of the limits.
const MaxReported = 32

// reportsAtOnce bounds the reports under way at a time.
const reportsAtOnce = 16

// Round sends one report to every other VM, if they are not too many.
func (r *Reporter) Round(ctx context.Context) {
	others := r.Peers.Peers()
	if len(others) > MaxReported {
		return
	}
	report := r.Limiter.Report(r.Clock.Now())
	ctx, cancel := context.WithTimeout(ctx, r.MaxDelay)
	defer cancel()
	var wg sync.WaitGroup
	slots := make(chan struct{}, reportsAtOnce)
	for _, id := range others {
		slots <- struct{}{}
		wg.Go(func() {
			// A report that is lost is made up for by the next one.
			_ = r.Peers.Limits(ctx, vm.ID(id), report)
			<-slots
		})
	}
	wg.Wait()
}
