package retry

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/upstream"
)

// BreakerState is the state of a circuit breaker.
type BreakerState uint8

// The states of a circuit breaker.
const (
	// Closed admits all attempts.
	Closed BreakerState = iota
	// Open rejects all attempts.
	Open
	// HalfOpen admits a limited number of probes.
	HalfOpen
)

var stateNames = [...]string{"closed", "open", "half_open"}

// String returns the state's label in metrics.
func (s BreakerState) String() string { return stateNames[s] }

// BreakerOptions configure circuit breakers. DefaultBreakerOptions sets the
// defaults; zero values are not replaced by them.
type BreakerOptions struct {
	// Window is the time over which outcomes are counted; default 10 seconds.
	Window time.Duration
	// MinRequests is the minimum number of outcomes in the window for a breaker
	// to open; default 5.
	MinRequests int
	// ErrorRate is the fraction of failures from which a breaker opens, 0 to 1;
	// default 0.5.
	ErrorRate float64
	// VersionMinRequests and VersionErrorRate replace MinRequests and ErrorRate
	// for the breaker of a version, which should not open because of a single
	// bad upstream; defaults 10 and 0.9.
	VersionMinRequests int
	VersionErrorRate   float64
	// OpenFor is how long a breaker stays open at first; each failed probe
	// doubles the time. The default is 1 second.
	OpenFor time.Duration
	// MaxOpenFor limits that time; default 30 seconds.
	MaxOpenFor time.Duration
	// Probes is the maximum number of probes in flight in the half-open state
	// and the number of successful probes that closes the breaker; default 2.
	Probes int
	// ProbeLease is how long a probe without outcome counts as in flight;
	// default 10 seconds.
	ProbeLease time.Duration
	// OnChange, if set, is called on every change of state. It is called with
	// the breaker locked and must not call the breaker.
	OnChange func(key BreakerKey, s BreakerState)
}

const (
	defaultWindow             = 10 * time.Second
	defaultMinRequests        = 5
	defaultErrorRate          = 0.5
	defaultVersionMinRequests = 10
	defaultVersionErrorRate   = 0.9
	defaultOpenFor            = time.Second
	defaultMaxOpenFor         = 30 * time.Second
	defaultProbes             = 2
	defaultProbeLease         = 10 * time.Second
)

// DefaultBreakerOptions returns the default options.
func DefaultBreakerOptions() BreakerOptions {
	return BreakerOptions{
		Window:             defaultWindow,
		MinRequests:        defaultMinRequests,
		ErrorRate:          defaultErrorRate,
		VersionMinRequests: defaultVersionMinRequests,
		VersionErrorRate:   defaultVersionErrorRate,
		OpenFor:            defaultOpenFor,
		MaxOpenFor:         defaultMaxOpenFor,
		Probes:             defaultProbes,
		ProbeLease:         defaultProbeLease,
	}
}

// BreakerKey identifies a circuit breaker. With an empty Upstream it is that of
// a version over all upstreams; with an empty Ref it is that of a plain service
// on one upstream.
type BreakerKey struct {
	Upstream upstream.ID
	Ref      model.Ref
}

// breaker is a circuit breaker over a sliding window of outcomes.
type breaker struct {
	key  BreakerKey
	opts *BreakerOptions

	// state is a BreakerState; it changes under mu.
	state atomic.Uint32

	mu        sync.Mutex
	window    outcomeWindow
	openUntil time.Time
	openFor   time.Duration
	// probeStarts holds the start time of each probe in flight.
	probeStarts    []time.Time
	probeSuccesses int
	// generation is incremented on each change of state, so that outcomes of
	// attempts started before the change are ignored after it.
	generation uint64
}

func newBreaker(key BreakerKey, opts *BreakerOptions) *breaker {
	return &breaker{
		key:     key,
		opts:    opts,
		openFor: opts.OpenFor,
		window:  outcomeWindow{slotDuration: opts.Window / outcomeWindowSlots},
	}
}

// ready reports whether acquire would succeed, without changing the state.
func (b *breaker) ready(now time.Time) bool {
	if b.currentState() == Closed {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	switch b.currentState() {
	case Closed:
		return true
	case Open:
		return !now.Before(b.openUntil)
	}
	return b.probesInFlight(now) < b.opts.Probes
}

func (b *breaker) currentState() BreakerState { return BreakerState(b.state.Load()) }

// probesInFlight returns the number of probes whose lease has not expired.
func (b *breaker) probesInFlight(now time.Time) int {
	n := 0
	for _, startedAt := range b.probeStarts {
		if now.Sub(startedAt) < b.opts.ProbeLease {
			n++
		}
	}
	return n
}

// acquire admits one attempt and returns the generation it belongs to, or false
// if the breaker rejects it.
func (b *breaker) acquire(now time.Time) (uint64, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.currentState() == Open && !now.Before(b.openUntil) {
		b.setState(HalfOpen)
		b.probeStarts, b.probeSuccesses = nil, 0
	}
	switch b.currentState() {
	case Closed:
		return b.generation, true
	case Open:
		return 0, false
	}
	return b.generation, b.acquireProbe(now)
}

// acquireProbe admits a probe unless the maximum number is in flight. It removes
// probes whose lease has expired.
func (b *breaker) acquireProbe(now time.Time) bool {
	if b.probesInFlight(now) >= b.opts.Probes {
		return false
	}
	active := b.probeStarts[:0]
	for _, startedAt := range b.probeStarts {
		if now.Sub(startedAt) < b.opts.ProbeLease {
			active = append(active, startedAt)
		}
	}
	b.probeStarts = append(active, now)
	return true
}

// recordOutcome records the outcome of an attempt admitted in the generation. The
// outcome is ignored if the state has changed since.
func (b *breaker) recordOutcome(generation uint64, startedAt time.Time, success bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if generation != b.generation {
		return
	}
	switch b.currentState() {
	case Closed:
		b.recordClosed(success, now)
	case HalfOpen:
		b.removeProbe(startedAt)
		b.recordProbe(success, now)
	}
}

func (b *breaker) recordClosed(success bool, now time.Time) {
	b.window.add(success, now)
	if success {
		return
	}
	sum := b.window.sum(now)
	n := sum.successes + sum.failures
	minRequests, errorRate := b.threshold()
	if n >= minRequests && float64(sum.failures) >= errorRate*float64(n) {
		b.open(now)
	}
}

// threshold returns the minimum number of outcomes and the error rate at which
// the breaker opens.
func (b *breaker) threshold() (int, float64) {
	if b.key.Upstream == "" {
		return b.opts.VersionMinRequests, b.opts.VersionErrorRate
	}
	return b.opts.MinRequests, b.opts.ErrorRate
}

func (b *breaker) recordProbe(success bool, now time.Time) {
	if !success {
		b.openFor = min(2*b.openFor, b.opts.MaxOpenFor)
		b.open(now)
		return
	}
	b.probeSuccesses++
	if b.probeSuccesses >= b.opts.Probes {
		b.openFor = b.opts.OpenFor
		b.window.clear()
		b.setState(Closed)
	}
}

func (b *breaker) removeProbe(startedAt time.Time) {
	for i, t := range b.probeStarts {
		if t.Equal(startedAt) {
			b.probeStarts = append(b.probeStarts[:i], b.probeStarts[i+1:]...)
			return
		}
	}
}

func (b *breaker) open(now time.Time) {
	b.openUntil = now.Add(b.openFor)
	b.setState(Open)
}

func (b *breaker) setState(s BreakerState) {
	b.state.Store(uint32(s))
	b.generation++
	if b.opts.OnChange != nil {
		b.opts.OnChange(b.key, s)
	}
}

// abandon releases an attempt that has no outcome.
func (b *breaker) abandon(generation uint64, startedAt time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if generation == b.generation && b.currentState() == HalfOpen {
		b.removeProbe(startedAt)
	}
}
