package engines

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/poplarshore/poplarshore/slowstart"
)

// startFloor is added to the expected time of the first part of an answer, so that short
// answers are not compared by differences of a few milliseconds.
const startFloor = 50 * time.Millisecond

// slowStarts holds how fast the upstreams of each service answer that are not new. Its mutex is
// locked before that of an engine.
type slowStarts struct {
	mu    sync.Mutex
	peers map[string]*slowstart.Peers
}

// newSlowStarts returns nil if slow starts are off.
func newSlowStarts(d *Directory) *slowStarts {
	if !d.opts.SlowStart {
		return nil
	}
	return &slowStarts{peers: make(map[string]*slowstart.Peers)}
}

// slowStartGauge returns the gauge of the upstreams in a slow start.
func slowStartGauge(d *Directory) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "poplarshore_slow_start_upstreams",
		Help: "Upstreams that this VM sends fewer requests than their peers because they have started or recovered.",
	}, func() float64 {
		d.mu.RLock()
		defer d.mu.RUnlock()
		n := 0
		for _, e := range d.byID {
			if e.inSlowStart() {
				n++
			}
		}
		return float64(n)
	})
}

func (e *Engine) inSlowStart() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.window.Active()
}

// beginSlowStart begins a slow start, if these are on.
func (e *Engine) beginSlowStart(cause string) {
	if e.directory.slow == nil {
		return
	}
	e.mu.Lock()
	began := !e.window.Active()
	e.window.Begin(e.directory.clock.Now())
	e.mu.Unlock()
	if began {
		e.directory.log.Info("slow start of upstream begins", "upstream", e.ID(), "service", e.entry().Service, "cause", cause)
	}
}

// limitsSlowStarts reports whether upstreams in a slow start get fewer requests: not if they
// are most of the service's.
func (d *Directory) limitsSlowStarts(engines []*Engine) bool {
	if d.slow == nil {
		return false
	}
	n := 0
	for _, e := range engines {
		if e.inSlowStart() {
			n++
		}
	}
	return n > 0 && !slowstart.MostAreNew(n, len(engines))
}

// slowStartCost returns the cost of a further request to the upstream by its window: a service
// time if it exceeds the window by a whole window. It is a cost and no refusal, so that no
// upstream is left idle while the others are overloaded.
func (e *Engine) slowStartCost() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Duration(e.window.Excess(e.inFlight) * float64(e.directory.opts.Placement.DefaultServiceTime))
}

// observeSlowStart records when the first part of an answer came, for the upstream's slow start or
// as one of the peers.
func (a *Attempt) observeSlowStart() {
	e := a.engine
	d := e.directory
	now := d.clock.Now()
	relative := float64(now.Sub(a.startedAt)) / float64(a.expected+2*e.LinkLatency()+startFloor)
	service := e.entry().Service
	d.slow.mu.Lock()
	peers := d.slow.peers[service]
	if peers == nil {
		peers = &slowstart.Peers{}
		d.slow.peers[service] = peers
	}
	isNew := e.inSlowStart()
	if !isNew {
		peers.Observe(relative, now)
	}
	slow := peers.IsSlow(relative, now)
	d.slow.mu.Unlock()
	if !isNew {
		return
	}
	usual := d.usualInFlight(service)
	e.mu.Lock()
	ended := e.window.Answer(slow, usual, a.startedAt, now)
	e.mu.Unlock()
	if ended {
		d.log.Info("slow start of upstream ends", "upstream", e.ID(), "service", service)
	}
}

// usualInFlight returns the mean number of requests that this VM has in flight at an upstream of
// the service that is not in a slow start, rounded up.
func (d *Directory) usualInFlight(service string) int {
	sum, n := 0, 0
	for _, e := range d.ForService(service) {
		e.mu.Lock()
		if !e.window.Active() {
			sum += e.inFlight
			n++
		}
		e.mu.Unlock()
	}
	return (sum + n - 1) / max(n, 1)
}

// rejectSlowStart records that the upstream rejected a request of this VM.
func (e *Engine) rejectSlowStart() {
	now := e.directory.clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.window.Reject(now, now)
}
