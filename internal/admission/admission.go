// Package admission bounds, for each service, the requests that this VM has in flight while
// the service's upstreams are overloaded, and orders the others by rank and between client
// accounts (limit.WindowGate). It decides by what upstreams report and how they answer, and
// keeps all state in memory.
package admission

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/poplarshore/poplarshore/account"
	"github.com/poplarshore/poplarshore/limit"
	"github.com/poplarshore/poplarshore/refusal"
	"github.com/poplarshore/poplarshore/route"
)

const (
	// congestedPart is the ratio of waiting to running requests at an upstream above which it is
	// congested: a new request then waits for a quarter of the time that one runs.
	congestedPart = 0.25
	// lateFactor is the ratio of the time to the begin of an answer to the expected one above which
	// its upstream is congested, if the answer begins after the route's latency target too.
	lateFactor = 2
	// startupSpan is the time after the start of the process in which a service begins with a
	// limit, as nothing is known of its load and every caller may return at once.
	startupSpan = 10 * time.Second
	// minStartupLimit is the lowest such limit, in requests in flight.
	minStartupLimit = 2
	// logInterval is the least time between two log lines on the limit of a service.
	logInterval = 5 * time.Second
)

// headroom is the part of the limit by which requests of ranks 0 and 1 may exceed it. Where a VM
// has few places, a request of the first rank need not wait for the end of a less urgent one.
var headroom = []float64{0.5, 0.2}

// latePriority is subtracted from the priority of requests that can't be in time, so that they
// come after the others, whatever their rank: their value is a fraction of that of any request in
// time.
const latePriority = 1000

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

	mu       sync.RWMutex
	services map[string]*service
}

// service is what is known of one service.
type service struct {
	gate *limit.WindowGate
	// delays are the smoothed times by which answers begin later than the work of the prompt
	// takes, by rank, in nanoseconds. Ranks beyond the last one count as that.
	delays [maxRanks]atomic.Int64
}

const (
	// maxRanks is the number of ranks whose delays are kept apart.
	maxRanks = 4
	// delayWeight is the weight of the newest answer in the smoothed delay, and delayMargin the
	// multiple of the delay that a request in the queue leaves for the upstream: without it, the
	// requests that waited longest were sent just too late.
	delayWeight = 0.125
	delayMargin = 1.5
)

// delay returns the smoothed delay of a rank.
func (s *service) delay(rank int) *atomic.Int64 { return &s.delays[min(max(rank, 0), maxRanks-1)] }

// startMargin returns how long before a request has to be sent it should leave the queue: for the
// delay at the upstream, but at most half of the time left.
func (s *service) startMargin(rank int, left time.Duration) time.Duration {
	return min(time.Duration(delayMargin*float64(s.delay(rank).Load())), left/2)
}

// New returns Services without a limit. It registers its metrics with the registry and panics
// if that fails.
func New(opts Options) *Services {
	s := &Services{opts: opts, startedAt: opts.Clock.Now(), services: make(map[string]*service)}
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
	// can be in time go first, of any rank.
	Start, LatestStart time.Time
	// Tokens is the size of the request, and Bytes the memory that it takes while it waits.
	Tokens, Bytes int
}

// limitWork converts the work to that of the service's gate.
func (s *service) limitWork(w Work, now time.Time) limit.Work {
	lw := limit.Work{Account: w.Account, Priority: -w.Rank, Deadline: w.Start, Cost: float64(w.Tokens), Bytes: w.Bytes}
	if left := w.Start.Sub(now); left > 0 {
		lw.Deadline = w.Start.Add(-s.startMargin(w.Rank, left))
	} else {
		lw.Priority -= latePriority
		lw.Deadline = w.LatestStart
	}
	if w.Rank >= 0 && w.Rank < len(headroom) {
		lw.Headroom = headroom[w.Rank]
	}
	return lw
}

// Permit is the right of one request to use upstreams of a service. Release must be called
// exactly once unless the permit is the zero value, on which only Held may be called.
type Permit struct {
	limit.WindowPermit
	service *service
	rank    int
}

// Acquire waits until the request may be sent, at most until its start time. It returns a
// *refusal.Refusal if the request is refused or ctx ends first.
func (s *Services) Acquire(ctx context.Context, name string, w Work) (Permit, error) {
	known := s.service(name)
	p, err := known.gate.Acquire(ctx, known.limitWork(w, s.opts.Clock.Now()))
	if err != nil {
		s.refused.WithLabelValues(name, string(refusal.FromError(err).Reason)).Inc()
		return Permit{}, err
	}
	return Permit{WindowPermit: p, service: known, rank: w.Rank}, nil
}

// RetryAfter returns when a request that was refused may come back.
func (s *Services) RetryAfter(name string, w Work) time.Duration {
	known := s.service(name)
	return known.gate.RetryAfter(known.limitWork(w, s.opts.Clock.Now()))
}

// service returns what is known of a service, and creates it if there is nothing.
func (s *Services) service(name string) *service {
	s.mu.RLock()
	known := s.services[name]
	s.mu.RUnlock()
	if known != nil {
		return known
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if known = s.services[name]; known != nil {
		return known
	}
	opts := limit.DefaultWindowAdmissionOptions()
	opts.Window.Share = func() float64 { return s.share(name) }
	known = &service{gate: limit.NewWindowGate(opts, s.opts.Clock, s.logChange(name))}
	if share := s.share(name); share > 0 && s.opts.Clock.Since(s.startedAt) < startupSpan {
		known.gate.BeginLimited(max(share, minStartupLimit))
	}
	s.services[name] = known
	return known
}

// share returns this VM's even part of the requests that the upstreams of a service run at once;
// zero if unknown.
func (s *Services) share(name string) float64 {
	slots, vms := s.opts.Room(name)
	return float64(slots) / float64(max(vms, 1))
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

// ReportFirst reports the time from the start of an attempt to the beginning of its answer. The
// prompt was expected to take work, after a wait for earlier requests. target is the latency
// target of the route, zero for none. hasLoad tells whether the upstream reported its load. One of
// two reports at the same time may be lost from the smoothed delay.
func (p Permit) ReportFirst(took, wait, work, target time.Duration, hasLoad bool) {
	delay := p.service.delay(p.rank)
	old := delay.Load()
	delay.Store(old + int64(delayWeight*float64(int64(max(took-work, 0))-old)))
	late := target > 0 && took > target && took > lateFactor*(wait+work)
	switch {
	case late:
		p.Observe(limit.Congested)
	case !hasLoad:
		p.Observe(limit.Accepted)
	}
}
