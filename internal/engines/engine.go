package engines

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/retry"
	"github.com/poplarshore/poplarshore/route"
	"github.com/poplarshore/poplarshore/upstream"
)

// Engine is one upstream as this VM sees it. It is safe for concurrent use.
type Engine struct {
	directory *Directory
	current   atomic.Pointer[Entry]
	placed    upstream.Upstream
	hash      uint64

	mu       sync.Mutex
	inFlight int
	report   route.Load
	reportAt time.Time
	// others counts the requests of other senders at the last report.
	others int
	// work is the time that own requests without an answer yet are expected
	// to keep the upstream busy before it answers another one.
	work time.Duration
	// waiting holds the own requests without an answer yet, oldest first.
	waiting []*Attempt
	// heardAt is when the upstream last sent anything.
	heardAt time.Time
	// busyUntil is when the heavy work that other VMs sent should be done.
	busyUntil time.Time
	// hold is the smoothed time that a request occupies the upstream.
	hold time.Duration
	// failing is the smoothed part of requests that it failed, 0 to 1.
	failing float64
}

func newEngine(e Entry, d *Directory) *Engine {
	out := &Engine{directory: d, hash: route.HashID(e.ID)}
	out.placed = upstream.Upstream{ID: e.ID, Domain: e.Domain, Service: e.Service, Capacity: e.Capacity}
	out.set(e)
	return out
}

func (e *Engine) set(entry Entry) { e.current.Store(&entry) }

func (e *Engine) entry() *Entry { return e.current.Load() }

// ID returns the upstream's id.
func (e *Engine) ID() upstream.ID { return e.entry().ID }

// Address returns the upstream's host:port.
func (e *Engine) Address() string { return e.entry().Address }

// Version returns the version of its software.
func (e *Engine) Version() model.VersionID { return e.entry().Version }

// Leaving tells that it gets no new work.
func (e *Engine) Leaving() bool { return e.entry().Leaving }

// MarkLeaving notes that the upstream said it is leaving.
func (e *Engine) MarkLeaving() {
	entry := *e.entry()
	entry.Leaving = true
	e.set(entry)
}

// Result is how an attempt ended.
type Result struct {
	// Failed tells that the upstream is to blame.
	Failed bool
	// Void attempts say nothing about the upstream.
	Void bool
	// Took is the time that the attempt occupied the upstream; zero is unknown.
	Took time.Duration
}

const (
	// smoothing is the weight of the newest observation.
	smoothing = 0.15
	// reportLife is how long a load report counts.
	reportLife = 3 * time.Second
	// maxBurden bounds what one hint can add.
	maxBurden = 10 * time.Second
)

// Attempt is one request in flight on an upstream.
type Attempt struct {
	engine   *Engine
	trial    retry.Trial
	admitted bool
	// work is what the request still adds to the upstream's work.
	work  time.Duration
	begun time.Time
}

// Begin counts an attempt in flight. Work is how long the upstream is expected
// to be busy with it before it answers.
func (e *Engine) Begin(work time.Duration) *Attempt {
	now := e.directory.clock.Now()
	a := &Attempt{engine: e, work: work, begun: now}
	a.trial, a.admitted = e.directory.breakers.Begin(e.ID(), model.Ref{}, now)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inFlight++
	e.work += work
	e.waiting = append(e.waiting, a)
	return a
}

// Burden notes heavy work that another VM sent to the upstream.
func (e *Engine) Burden(work time.Duration) {
	now := e.directory.clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.busyUntil.Before(now) {
		e.busyUntil = now
	}
	e.busyUntil = e.busyUntil.Add(min(work, maxBurden))
}

// Heard notes that the upstream sent a part of the answer.
func (a *Attempt) Heard() {
	a.engine.mu.Lock()
	defer a.engine.mu.Unlock()
	a.engine.heardAt = a.engine.directory.clock.Now()
	a.engine.answered(a)
}

// Silence returns how long the upstream has sent nothing to this VM.
func (e *Engine) Silence() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.directory.clock.Since(e.heardAt)
}

// answered takes an attempt off the work that waits.
func (e *Engine) answered(a *Attempt) {
	e.work -= a.work
	a.work = 0
	if i := slices.Index(e.waiting, a); i >= 0 {
		e.waiting = slices.Delete(e.waiting, i, i+1)
	}
}

// End takes in how the attempt ended. Call it once.
func (a *Attempt) End(r Result) {
	e := a.engine
	if a.admitted {
		e.judge(&a.trial, r)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inFlight--
	e.answered(a)
	if r.Void {
		return
	}
	bad := 0.0
	if r.Failed {
		bad = 1
	}
	e.failing += smoothing * (bad - e.failing)
	if r.Took > 0 && !r.Failed {
		e.hold += time.Duration(smoothing * float64(r.Took-e.hold))
	}
}

func (e *Engine) judge(trial *retry.Trial, r Result) {
	if r.Void {
		trial.Abandon()
		return
	}
	trial.Done(!r.Failed, e.directory.clock.Now())
}

// Report takes in the upstream's own word on its load.
func (e *Engine) Report(l route.Load) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.report, e.reportAt = l, e.directory.clock.Now()
	e.others = max(l.Running+l.Waiting-e.inFlight, 0)
}

// fill writes the upstream as a candidate.
func (e *Engine) fill(c *route.Candidate, now time.Time) {
	d := e.directory
	entry := e.entry()
	e.mu.Lock()
	defer e.mu.Unlock()
	*c = route.Candidate{
		Upstream: &e.placed, Capacity: entry.Capacity, InFlight: e.inFlight,
		Loaded: true, Leaving: entry.Leaving, RequestDuration: e.hold,
		BreakerOpen: !d.breakers.Ready(entry.ID, model.Ref{}, now),
		FirstToken:  time.Duration(e.failing * float64(d.opts.Placement.FailingCost)),
		LinkLatency: d.linkLatency(entry.Domain),
	}
	c.FirstToken += e.delay(now)
	if now.Sub(e.reportAt) < reportLife {
		c.RemoteInFlight = e.others
	}
	if d.opts.RegionOf(entry.Domain) != d.opts.Region {
		c.PricePerMB = d.opts.Placement.CrossRegionPrice
	}
}

// Delay returns how long another request is expected to wait for its answer.
func (e *Engine) Delay() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.delay(e.directory.clock.Now())
}

// Use returns the requests believed to be on the upstream over its capacity;
// zero if the capacity is unknown.
func (e *Engine) Use() float64 {
	capacity := e.entry().Capacity
	if capacity <= 0 {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	requests := e.inFlight
	if e.directory.clock.Since(e.reportAt) < reportLife {
		requests += e.others
	}
	return float64(requests) / float64(capacity)
}

// delay returns how long another request is expected to wait for its answer:
// for the work sent before it, and as much longer as the oldest request waits
// beyond what was expected.
func (e *Engine) delay(now time.Time) time.Duration {
	out := e.work + max(e.busyUntil.Sub(now), 0)
	if len(e.waiting) > 0 {
		out += max(now.Sub(e.waiting[0].begun)-out, 0)
	}
	return out
}
