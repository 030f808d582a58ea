// Package admission bounds, for each service, the requests that this VM has in flight while
// the service's upstreams are overloaded, and orders the others by rank and between client
// accounts (limit.WindowGate). It decides by what upstreams report and how they answer, and
// keeps all state in memory.
package admission

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/poplarshore/poplarshore/account"
	"github.com/poplarshore/poplarshore/limit"
	"github.com/poplarshore/poplarshore/refusal"
	"github.com/poplarshore/poplarshore/route"
)

const (
	// congestedPart is the part of the running requests from which as many waiting ones mean
	// congestion: a new request then waits for a quarter of the time that one runs.
	congestedPart = 0.25
	// lateFactor is by how much later than expected an answer begins that means congestion, if
	// it begins after the route's latency target too.
	lateFactor = 2
	// startupSpan is the time after the start of the process in which a service begins with a
	// limit, as nothing is known of its load and every caller may return at once.
	startupSpan = 10 * time.Second
	// minStartupLimit is the lowest such limit, in requests in flight.
	minStartupLimit = 2
	// logInterval is the least time between two log lines on the limit of a service.
	logInterval = 5 * time.Second
)

// headroom is the part of the limit by which requests of a rank may exceed it. Where a VM has
// few places, a request of the first rank need not wait for the end of a less urgent one.
var headroom = []float64{0.5, 0.2}

// Options configures Services.
type Options struct {
	Clock    clockwork.Clock
	Log      *slog.Logger
	Registry prometheus.Registerer
	// Room returns the number of requests that the upstreams of a service run at once, zero if
	// unknown, and the number of VMs that share them.
	Room func(service string) (slots, vms int)
}

// Services holds the gates of all services. It is safe for concurrent use.
type Services struct {
	opts      Options
	startedAt time.Time
	refused   *prometheus.CounterVec

	mu    sync.RWMutex
	gates map[string]*limit.WindowGate
}

// New returns Services without a limit. It registers its metrics with the registry and panics
// if that fails.
func New(opts Options) *Services {
	s := &Services{opts: opts, startedAt: opts.Clock.Now(), gates: make(map[string]*limit.WindowGate)}
	s.refused = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "poplarshore_admission_refused_total", Help: "Requests that were refused before they were sent, by service and reason."},
		[]string{"service", "reason"})
	opts.Registry.MustRegister(s.refused, &collector{services: s})
	return s
}

// Work describes a request to be admitted.
type Work struct {
	Account account.ID
	// Rank is the priority of the request; 0 is the most urgent.
	Rank int
	// Start is the time by which the request has to be sent for its answer to begin within the
	// latency target, and LatestStart that for the deadline. Once Start has passed, requests that
	// can be in time go first.
	Start, LatestStart time.Time
	// Tokens is the size of the request, and Bytes the memory that it takes while it waits.
	Tokens, Bytes int
}

// limitWork returns the work as the gate orders it.
func (w Work) limitWork(now time.Time) limit.Work {
	lw := limit.Work{Account: w.Account, Priority: -2 * w.Rank, Deadline: w.Start, Cost: float64(w.Tokens), Bytes: w.Bytes}
	if w.Start.Before(now) {
		lw.Priority--
		lw.Deadline = w.LatestStart
	}
	if w.Rank >= 0 && w.Rank < len(headroom) {
		lw.Headroom = headroom[w.Rank]
	}
	return lw
}

// Permit is the right of one request to use upstreams of a service. Release must be called
// exactly once unless the permit is the zero value.
type Permit struct{ limit.WindowPermit }

// Acquire waits until the request may be sent, at most until its start time. It returns a
// *refusal.Refusal if the request is refused or ctx ends first.
func (s *Services) Acquire(ctx context.Context, service string, w Work) (Permit, error) {
	p, err := s.gate(service).Acquire(ctx, w.limitWork(s.opts.Clock.Now()))
	if err != nil {
		s.refused.WithLabelValues(service, string(refusal.FromError(err).Reason)).Inc()
		return Permit{}, err
	}
	return Permit{p}, nil
}

// RetryAfter returns when a request that was refused may come back.
func (s *Services) RetryAfter(service string, w Work) time.Duration {
	return s.gate(service).RetryAfter(w.limitWork(s.opts.Clock.Now()))
}

// gate returns the gate of a service and creates it if there is none.
func (s *Services) gate(service string) *limit.WindowGate {
	s.mu.RLock()
	g := s.gates[service]
	s.mu.RUnlock()
	if g != nil {
		return g
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if g = s.gates[service]; g != nil {
		return g
	}
	g = limit.NewWindowGate(limit.DefaultWindowAdmissionOptions(), s.opts.Clock, s.logChange(service))
	if slots, vms := s.opts.Room(service); slots > 0 && s.opts.Clock.Since(s.startedAt) < startupSpan {
		g.BeginLimited(max(float64(slots)/float64(max(vms, 1)), minStartupLimit))
	}
	s.gates[service] = g
	return g
}

// logChange returns a function that logs when the limit of a service begins and ends.
func (s *Services) logChange(service string) func(limit.WindowStats) {
	var loggedAt time.Time
	return func(stats limit.WindowStats) {
		now := s.opts.Clock.Now()
		if now.Sub(loggedAt) < logInterval {
			return
		}
		loggedAt = now
		if stats.Limit == 0 {
			s.opts.Log.Info("limit on requests in flight for a service ended", "service", service)
			return
		}
		s.opts.Log.Info("limit on requests in flight for a service began", "service", service,
			"limit", stats.Limit, "in_flight", stats.InFlight)
	}
}

// ReportLoad reports the load of the upstream that an attempt was sent to.
func (p Permit) ReportLoad(l route.Load) {
	if float64(l.Waiting) > congestedPart*float64(l.Running) {
		p.Observe(limit.Congested)
		return
	}
	p.Observe(limit.Accepted)
}

// ReportRejected reports that an upstream turned the request away for want of room. It is no
// sign of overload if the load that the upstream reports, if any, shows free places.
func (p Permit) ReportRejected(l route.Load, hasLoad bool) {
	if hasLoad && l.Waiting == 0 && l.Running < l.Capacity {
		return
	}
	p.Observe(limit.Rejected)
}

// ReportFirst reports the time from the start of an attempt to the beginning of its answer,
// beside the expected one and the latency target of the route, zero for none. hasLoad tells
// whether the upstream reported its load.
func (p Permit) ReportFirst(took, expected, target time.Duration, hasLoad bool) {
	late := target > 0 && took > target && took > lateFactor*expected
	switch {
	case late:
		p.Observe(limit.Congested)
	case !hasLoad:
		p.Observe(limit.Accepted)
	}
}
