package engines

import (
	"slices"
	"time"

	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/retry"
)

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
	// tokens is the memory that the request takes, in tokens, and stream the answer; nil
	// before it begins.
	tokens int
	stream *stream
	// expected is the expected processing time before the response, and received reports
	// whether a part of the response arrived.
	expected time.Duration
	received bool
}

// Begin registers an attempt in flight. Work is how long the upstream is expected
// to process the request before it responds. End must be called on the result. It
// returns nil if this VM's part of the upstream's limit has been used since the upstream
// was chosen, or if it takes no requests any more.
func (e *Engine) Begin(work time.Duration) *Attempt {
	now := e.directory.clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.TakesRequests() || !e.hasPlace(now) || !e.hasColdGrant(now) || !e.takeGrant(now) {
		return nil
	}
	e.recordSend(now)
	work = e.scaleWork(work, now)
	a := &Attempt{engine: e, work: work, startedAt: now, expected: work}
	a.permit, a.admitted = e.directory.breakers.Acquire(e.ID(), model.Ref{}, now)
	e.inFlight++
	e.pendingWork += work
	e.pending = append(e.pending, a)
	return a
}

// MarkReceived records that a part of the response arrived. The upstream is not silent any
// more.
func (a *Attempt) MarkReceived() {
	if first := a.markReceived(); first && a.engine.directory.slow != nil {
		a.observeSlowStart()
	}
}

// markReceived records that a part of the response arrived, and reports whether it is the first.
func (a *Attempt) markReceived() (first bool) {
	a.engine.mu.Lock()
	defer a.engine.mu.Unlock()
	first, a.received = !a.received, true
	a.engine.lastReceivedAt = a.engine.directory.clock.Now()
	a.engine.cold.Reach(a.startedAt, a.engine.lastReceivedAt)
	a.engine.silentUntil = time.Time{}
	a.engine.observeDelay(a, a.engine.lastReceivedAt)
	a.engine.clearPending(a)
	return first
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
	e.endStream(a)
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
