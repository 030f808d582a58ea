// Package limits admits the requests of callers: first against the limits of their
// client account, then through the gate of the requested model. It also exchanges the
// demand reports of the limiter between VMs.
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

// Limits implements entry.Limits with a limiter and one gate per model. It is safe
// for concurrent use.
type Limits struct {
	limiter   *limit.Limiter
	clock     clockwork.Clock
	gateGauge *prometheus.GaugeVec

	mu    sync.Mutex
	gates map[model.Name]*limit.Gate
}

// New returns a Limits whose gates are created on first use. It registers the gate
// metric with reg and panics if that fails.
func New(limiter *limit.Limiter, clock clockwork.Clock, reg prometheus.Registerer) *Limits {
	l := &Limits{
		limiter: limiter, clock: clock, gates: make(map[model.Name]*limit.Gate),
		gateGauge: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: "poplarshore", Name: "gate", Help: "Requests in flight, waiting and the limit of each model's gate.",
		}, []string{"model", "number"}),
	}
	reg.MustRegister(l.gateGauge)
	return l
}

// Admit implements entry.Limits. Requests without a group bypass the gates.
func (l *Limits) Admit(ctx context.Context, a entry.Admission) (entry.Ticket, error) {
	now := l.clock.Now()
	estimate := limit.Estimate{Tokens: float64(a.Tokens)}
	ticket, err := l.limiter.Admit(a.Client.Account, a.Client.Contract.Limits, estimate, now)
	if err != nil {
		return nil, err
	}
	if a.Group == "" {
		return &admitted{clock: l.clock, ticket: ticket}, nil
	}
	permit, err := l.gate(a.Group).Acquire(ctx, limit.Work{
		Account: a.Client.Account, Priority: a.Client.Contract.Priority,
		Deadline: a.Deadline, Cost: float64(a.Tokens),
	})
	if err != nil {
		ticket.Settle(0, l.clock.Now())
		return nil, err
	}
	return &admitted{clock: l.clock, ticket: ticket, permit: permit}, nil
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

// UpdateMetrics updates the metric of the gates.
func (l *Limits) UpdateMetrics() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, gate := range l.gates {
		stats := gate.Stats()
		l.gateGauge.WithLabelValues(string(name), "in_flight").Set(float64(stats.InFlight))
		l.gateGauge.WithLabelValues(string(name), "waiting").Set(float64(stats.Waiting))
		l.gateGauge.WithLabelValues(string(name), "limit").Set(float64(stats.Limit))
	}
}

// admitted implements entry.Ticket for an admitted request.
type admitted struct {
	clock  clockwork.Clock
	ticket *limit.Ticket
	// permit is nil for requests that bypass the gates.
	permit *limit.Permit
}

// Settle implements entry.Ticket: it settles the limits and releases the permit.
func (a *admitted) Settle(use entry.Usage) {
	a.ticket.Settle(float64(use.Tokens), a.clock.Now())
	if a.permit != nil {
		a.permit.Release(limit.Outcome{FirstToken: use.FirstToken, Rejected: use.Rejected})
	}
}

// Reporter sends the demand reports of this VM's limiter to the other VMs.
type Reporter struct {
	Limiter *limit.Limiter
	Peers   *peer.Client
	Clock   clockwork.Clock
	// MaxDelay is the timeout for sending a report to all VMs.
	MaxDelay time.Duration
}

// MaxReportPeers is the maximum number of other VMs with which reports are exchanged.
// Each VM reports to every other one, so the cost per VM grows with their number.
// Above this number no VM reports, which gives each an even share of the limits.
const MaxReportPeers = 32

// maxConcurrentReports is the maximum number of reports sent at a time.
const maxConcurrentReports = 16

// SendReports sends one report to every other VM, or none if there are more than
// MaxReportPeers. It returns when all have been sent or have failed.
func (r *Reporter) SendReports(ctx context.Context) {
	others := r.Peers.Peers()
	if len(others) > MaxReportPeers {
		return
	}
	report := r.Limiter.Report(r.Clock.Now())
	ctx, cancel := context.WithTimeout(ctx, r.MaxDelay)
	defer cancel()
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentReports)
	for _, id := range others {
		slots <- struct{}{}
		wg.Go(func() {
			// The error is ignored: the next report replaces a lost one.
			_ = r.Peers.SendLimitReport(ctx, vm.ID(id), report)
			<-slots
		})
	}
	wg.Wait()
}
