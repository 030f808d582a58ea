package engines

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/quarantine"
	"github.com/poplarshore/poplarshore/retry"
	"github.com/poplarshore/poplarshore/route"
	"github.com/poplarshore/poplarshore/upstream"
)

// Engine is this VM's view of one upstream: its entry, estimated load and recent
// failures. It is safe for concurrent use.
type Engine struct {
	directory *Directory
	current   atomic.Pointer[Entry]
	// identity is the part of the entry that selection uses.
	identity upstream.Upstream
	// hash is the hash of the ID, for rendezvous hashing.
	hash uint64
	// leaving is set once the entry or the upstream itself reports that the upstream is
	// leaving, and is never cleared: an upstream that returns is a new incarnation.
	leaving atomic.Bool

	mu sync.Mutex
	// inFlight is the number of this VM's requests on the upstream.
	inFlight int
	// report is the upstream's latest load report.
	report     route.Load
	reportedAt time.Time
	// remoteRequests is the number of requests from other senders, by the latest
	// report.
	remoteRequests int
	// fullUntil is until when a brittle upstream gets nothing new, as it rejected a request.
	fullUntil time.Time
	// pendingWork is the time for which this VM's requests without a response
	// yet are expected to keep the upstream busy.
	pendingWork time.Duration
	// pending holds this VM's requests without a response yet, oldest first.
	pending []*Attempt
	// lastReceivedAt is when the upstream last sent anything to this VM.
	lastReceivedAt time.Time
	// remoteWorkUntil is when the announced work from other VMs is expected to
	// be done.
	remoteWorkUntil time.Time
	// serviceTime is the smoothed time that a request occupies the upstream;
	// zero while unknown.
	serviceTime time.Duration
	// pausedUntil is until when the upstream asked this VM to send it nothing.
	pausedUntil time.Time
	// requestLimit is the number of requests per second that the upstream takes from all
	// VMs together; zero if it set no limit. limitNamedAt is when it last named one to this
	// VM, and limitedSends holds when this VM sent its latest requests under it.
	requestLimit float64
	limitNamedAt time.Time
	limitedSends []time.Time
	// silentUntil is until when the upstream is avoided because it was silent.
	silentUntil time.Time
	// failureRate is the smoothed share of requests that the upstream failed, 0
	// to 1.
	failureRate float64
}

func newEngine(e Entry, d *Directory) *Engine {
	engine := &Engine{directory: d, hash: route.HashID(e.ID)}
	engine.identity = upstream.Upstream{ID: e.ID, Domain: e.Domain, Service: e.Service, Capacity: e.Capacity}
	engine.set(e)
	return engine
}

func (e *Engine) set(entry Entry) {
	if entry.Leaving {
		e.leaving.Store(true)
	}
	e.current.Store(&entry)
}

func (e *Engine) entry() *Entry { return e.current.Load() }

// Upstream returns the part of the entry that selection uses.
func (e *Engine) Upstream() upstream.Upstream { return e.identity }

// ID returns the upstream's id.
func (e *Engine) ID() upstream.ID { return e.entry().ID }

// Incarnation identifies the upstream and its start.
func (e *Engine) Incarnation() quarantine.Incarnation {
	entry := e.entry()
	return quarantine.Incarnation{Upstream: entry.ID, Born: entry.Incarnation}
}

// Address returns the upstream's host:port.
func (e *Engine) Address() string { return e.entry().Address }

// Version returns the version of the upstream's software and weights.
func (e *Engine) Version() model.VersionID { return e.entry().Version }

// LinkLatency returns the one-way latency from this VM to the upstream.
func (e *Engine) LinkLatency() time.Duration { return e.directory.linkLatency(e.entry().Domain) }

// Leaving reports whether the upstream is draining and gets no new requests.
func (e *Engine) Leaving() bool { return e.leaving.Load() }

// MarkLeaving marks the upstream as leaving, as it reported itself.
func (e *Engine) MarkLeaving() {
	if !e.leaving.CompareAndSwap(false, true) {
		return
	}
	d := e.directory
	d.selfReports.WithLabelValues("leaving").Inc()
	d.log.Info("upstream reports that it is leaving", "upstream", e.ID(), "service", e.entry().Service)
}

// maxPause bounds the time for which an upstream may pause this VM.
const maxPause = time.Minute

// Pause sends no new requests to the upstream for the given time, because it asked for
// that. A shorter pause does not end a longer one.
func (e *Engine) Pause(d time.Duration) {
	d = min(d, maxPause)
	until := e.directory.clock.Now().Add(d)
	e.mu.Lock()
	extended := until.After(e.pausedUntil)
	if extended {
		e.pausedUntil = until
	}
	e.mu.Unlock()
	if extended {
		e.directory.selfReports.WithLabelValues("paused").Inc()
		e.directory.log.Info("upstream asks for a pause", "upstream", e.ID(), "pause_ms", d.Milliseconds())
	}
}

// Result describes how an attempt ended.
type Result struct {
	// Failed reports whether the attempt failed through the upstream's fault.
	Failed bool
	// Inconclusive reports whether the attempt says nothing about the upstream,
	// such as one cancelled by the caller.
	Inconclusive bool
	// Took is the time that the attempt occupied the upstream; zero if unknown.
	Took time.Duration
}

const (
	// ewmaWeight is the weight of the newest observation in the exponentially
	// weighted moving averages.
	ewmaWeight = 0.15
	// reportTTL is how long a load report is used.
	reportTTL = 3 * time.Second
	// maxHintedWork bounds the work that one announcement by another VM adds.
	maxHintedWork = 10 * time.Second
)

// Attempt is one request in flight on an upstream.
type Attempt struct {
	engine   *Engine
	permit   retry.Permit
	admitted bool
	// work is the request's share of the upstream's pending work; zero once a
	// part of the response arrived.
	work      time.Duration
	startedAt time.Time
}

// Begin registers an attempt in flight. Work is how long the upstream is expected
// to process the request before it responds. End must be called on the result. It
// returns nil if this VM's part of the upstream's limit has been used since the upstream
// was chosen.
func (e *Engine) Begin(work time.Duration) *Attempt {
	now := e.directory.clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.hasPlace(now) || !e.takeGrant(now) {
		return nil
	}
	a := &Attempt{engine: e, work: work, startedAt: now}
	a.permit, a.admitted = e.directory.breakers.Acquire(e.ID(), model.Ref{}, now)
	e.inFlight++
	e.pendingWork += work
	e.pending = append(e.pending, a)
	return a
}

// AddRemoteWork adds prefill work that another VM sent to the upstream.
func (e *Engine) AddRemoteWork(work time.Duration) {
	now := e.directory.clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.remoteWorkUntil.Before(now) {
		e.remoteWorkUntil = now
	}
	e.remoteWorkUntil = e.remoteWorkUntil.Add(min(work, maxHintedWork))
}

// SilencePenalty is for how long an upstream is avoided after a request to it timed out
// while nothing came from it.
const SilencePenalty = 3 * time.Second

// MarkSilent records that a request to the upstream timed out while nothing came from it.
// The upstream may have stopped responding. Without this it would look idle, above all under a load that
// fills the others. It adds to the cost of the upstream and not to its expected wait: it
// is used if there is no other, as this VM may itself have been frozen or cut off.
func (e *Engine) MarkSilent() {
	until := e.directory.clock.Now().Add(SilencePenalty)
	e.mu.Lock()
	defer e.mu.Unlock()
	if until.After(e.silentUntil) {
		e.silentUntil = until
	}
}

// forgetFailures forgets the upstream's recent failures and silence.
func (e *Engine) forgetFailures() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failureRate, e.silentUntil = 0, time.Time{}
}

// MarkReceived records that a part of the response arrived. The upstream is not silent any
// more.
func (a *Attempt) MarkReceived() {
	a.engine.mu.Lock()
	defer a.engine.mu.Unlock()
	a.engine.lastReceivedAt = a.engine.directory.clock.Now()
	a.engine.silentUntil = time.Time{}
	a.engine.clearPending(a)
}

// SinceLastReceived returns the time since the upstream last sent anything to
// this VM.
func (e *Engine) SinceLastReceived() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.directory.clock.Since(e.lastReceivedAt)
}

// clearPending removes an attempt from the pending work. The caller holds mu.
func (e *Engine) clearPending(a *Attempt) {
	e.pendingWork -= a.work
	a.work = 0
	if i := slices.Index(e.pending, a); i >= 0 {
		e.pending = slices.Delete(e.pending, i, i+1)
	}
}

// End records how the attempt ended. It must be called exactly once.
func (a *Attempt) End(r Result) {
	e := a.engine
	if a.admitted {
		e.recordBreaker(&a.permit, r)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inFlight--
	e.clearPending(a)
	if r.Inconclusive {
		return
	}
	failure := 0.0
	if r.Failed {
		failure = 1
	}
	e.failureRate += ewmaWeight * (failure - e.failureRate)
	if r.Took > 0 && !r.Failed {
		e.serviceTime += time.Duration(ewmaWeight * float64(r.Took-e.serviceTime))
	}
}

// recordBreaker reports the result of an attempt to the circuit breaker.
func (e *Engine) recordBreaker(permit *retry.Permit, r Result) {
	if r.Inconclusive {
		permit.Abandon()
		return
	}
	permit.Done(!r.Failed, e.directory.clock.Now())
}

// UpdateLoad stores the upstream's own load report.
func (e *Engine) UpdateLoad(l route.Load) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.report, e.reportedAt = l, e.directory.clock.Now()
	e.remoteRequests = max(l.Running+l.Waiting-e.inFlight, 0)
}

// pauseLeft returns how long the upstream's pause still lasts; zero or less if it is not
// paused.
func (e *Engine) pauseLeft(now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.pausedUntil.Sub(now)
}

// fillCandidate fills in the upstream as a candidate for selection. FirstToken is
// the expected wait plus the penalty for recent failures.
func (e *Engine) fillCandidate(c *route.Candidate, now time.Time) {
	d := e.directory
	entry := e.entry()
	e.mu.Lock()
	defer e.mu.Unlock()
	*c = route.Candidate{
		Upstream: &e.identity, Capacity: entry.Capacity, InFlight: e.inFlight,
		Loaded: true, Leaving: e.Leaving(), Paused: now.Before(e.pausedUntil), OverLimit: !e.hasGrant(now), NoPlace: !e.hasPlace(now), RequestDuration: e.serviceTime,
		BreakerOpen: !d.breakers.Ready(entry.ID, model.Ref{}, now),
		FirstToken:  time.Duration(e.failureRate * float64(d.opts.Placement.FailurePenalty)),
		LinkLatency: d.linkLatency(entry.Domain),
	}
	c.FirstToken += e.expectedWait(now) + max(e.silentUntil.Sub(now), 0)
	if now.Sub(e.reportedAt) < reportTTL {
		c.RemoteInFlight = e.remoteRequests
	}
	if d.opts.RegionOf(entry.Domain) != d.opts.Region {
		c.PricePerMB = d.opts.Placement.CrossRegionPrice
	}
}

// ExpectedWait returns how long a new request is expected to wait before the
// upstream starts to process it.
func (e *Engine) ExpectedWait() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.expectedWait(e.directory.clock.Now())
}

// Utilization returns the estimated number of requests on the upstream divided by
// its capacity; zero if the capacity is unknown.
func (e *Engine) Utilization() float64 {
	capacity := e.entry().Capacity
	if capacity <= 0 {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	requests := e.inFlight
	if e.directory.clock.Since(e.reportedAt) < reportTTL {
		requests += e.remoteRequests
	}
	return float64(requests) / float64(capacity)
}

// expectedWait returns how long a new request is expected to wait: for the work
// sent before it, or, if the oldest pending request has waited for longer than
// that, as long as that one. The caller holds mu.
func (e *Engine) expectedWait(now time.Time) time.Duration {
	wait := e.pendingWork + max(e.remoteWorkUntil.Sub(now), 0)
	if len(e.pending) > 0 {
		wait += max(now.Sub(e.pending[0].startedAt)-wait, 0)
	}
	return wait
}
