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

// The states.
const (
	// Closed lets work through.
	Closed BreakerState = iota
	// Open lets nothing through.
	Open
	// HalfOpen lets a few probes through.
	HalfOpen
)

var stateNames = [...]string{"closed", "open", "half_open"}

// String returns the state's label in metrics.
func (s BreakerState) String() string { return stateNames[s] }

// BreakerOptions set up circuit breakers.
type BreakerOptions struct {
	// Window is the time over which outcomes are counted.
	Window time.Duration
	// MinRequests is the least number of outcomes that can open a breaker.
	MinRequests int
	// ErrorRate opens a breaker when it is reached, 0 to 1.
	ErrorRate float64
	// VersionMinRequests and VersionErrorRate stand in their place for the
	// breaker of a version, which should not open for one bad upstream.
	VersionMinRequests int
	VersionErrorRate   float64
	// OpenFor is how long a breaker stays open at first; each failed probe
	// doubles it.
	OpenFor time.Duration
	// MaxOpenFor bounds that time.
	MaxOpenFor time.Duration
	// Probes is the number of probes in flight when half open, and the number
	// of successes that closes the breaker.
	Probes int
	// ProbeLease is how long a probe without outcome holds its place.
	ProbeLease time.Duration
	// OnChange, if set, is told of every change of state. It is called with
	// the breaker locked and must not call back.
	OnChange func(key BreakerKey, s BreakerState)
}

const (
	defaultWindow      = 10 * time.Second
	defaultMinRequests = 5
	defaultErrorRate   = 0.5
	defaultVersionMin  = 10
	defaultVersionRate = 0.9
	defaultOpenFor     = time.Second
	defaultMaxOpenFor  = 30 * time.Second
	defaultProbes      = 2
	defaultProbeLease  = 10 * time.Second
)

// DefaultBreakerOptions returns the default options.
func DefaultBreakerOptions() BreakerOptions {
	return BreakerOptions{
		Window:             defaultWindow,
		MinRequests:        defaultMinRequests,
		ErrorRate:          defaultErrorRate,
		VersionMinRequests: defaultVersionMin,
		VersionErrorRate:   defaultVersionRate,
		OpenFor:            defaultOpenFor,
		MaxOpenFor:         defaultMaxOpenFor,
		Probes:             defaultProbes,
		ProbeLease:         defaultProbeLease,
	}
}

// BreakerKey names a circuit breaker. With an empty Upstream it is the
// version's, over all upstreams; with an empty Ref it is a plain service's.
type BreakerKey struct {
	Upstream upstream.ID
	Ref      model.Ref
}

// breaker is a circuit breaker over a window of outcomes.
type breaker struct {
	key  BreakerKey
	opts *BreakerOptions

	// state is a BreakerState; it changes under mu.
	state atomic.Uint32

	mu      sync.Mutex
	window  window
	until   time.Time
	openFor time.Duration
	// probes holds when each probe in flight began.
	probes []time.Time
	passed int
	// period counts changes of state, so that outcomes of work begun before
	// one do not count after it.
	period uint64
}

func newBreaker(key BreakerKey, opts *BreakerOptions) *breaker {
	return &breaker{
		key:     key,
		opts:    opts,
		openFor: opts.OpenFor,
		window:  window{slot: opts.Window / windowSlots},
	}
}

// ready tells whether begin would succeed; it changes nothing.
func (b *breaker) ready(now time.Time) bool {
	if b.load() == Closed {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	switch b.load() {
	case Closed:
		return true
	case Open:
		return !now.Before(b.until)
	}
	return b.running(now) < b.opts.Probes
}

func (b *breaker) load() BreakerState { return BreakerState(b.state.Load()) }

// running counts the probes whose lease has not ended.
func (b *breaker) running(now time.Time) int {
	n := 0
	for _, begun := range b.probes {
		if now.Sub(begun) < b.opts.ProbeLease {
			n++
		}
	}
	return n
}

// begin lets one attempt through and returns the period it belongs to.
func (b *breaker) begin(now time.Time) (uint64, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.load() == Open && !now.Before(b.until) {
		b.change(HalfOpen)
		b.probes, b.passed = nil, 0
	}
	switch b.load() {
	case Closed:
		return b.period, true
	case Open:
		return 0, false
	}
	return b.period, b.beginProbe(now)
}

func (b *breaker) beginProbe(now time.Time) bool {
	if b.running(now) >= b.opts.Probes {
		return false
	}
	kept := b.probes[:0]
	for _, begun := range b.probes {
		if now.Sub(begun) < b.opts.ProbeLease {
			kept = append(kept, begun)
		}
	}
	b.probes = append(kept, now)
	return true
}

// done takes in an outcome of work begun in the period.
func (b *breaker) done(period uint64, begun time.Time, good bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if period != b.period {
		return
	}
	switch b.load() {
	case Closed:
		b.doneClosed(good, now)
	case HalfOpen:
		b.endProbe(begun)
		b.doneProbe(good, now)
	}
}

func (b *breaker) doneClosed(good bool, now time.Time) {
	b.window.add(good, now)
	if good {
		return
	}
	sum := b.window.sum(now)
	n := sum.good + sum.bad
	least, rate := b.threshold()
	if n >= least && float64(sum.bad) >= rate*float64(n) {
		b.open(now)
	}
}

// threshold returns the least number of outcomes and the error rate that open
// the breaker.
func (b *breaker) threshold() (int, float64) {
	if b.key.Upstream == "" {
		return b.opts.VersionMinRequests, b.opts.VersionErrorRate
	}
	return b.opts.MinRequests, b.opts.ErrorRate
}

func (b *breaker) doneProbe(good bool, now time.Time) {
	if !good {
		b.openFor = min(2*b.openFor, b.opts.MaxOpenFor)
		b.open(now)
		return
	}
	b.passed++
	if b.passed >= b.opts.Probes {
		b.openFor = b.opts.OpenFor
		b.window.clear()
		b.change(Closed)
	}
}

func (b *breaker) endProbe(begun time.Time) {
	for i, t := range b.probes {
		if t.Equal(begun) {
			b.probes = append(b.probes[:i], b.probes[i+1:]...)
			return
		}
	}
}

func (b *breaker) open(now time.Time) {
	b.until = now.Add(b.openFor)
	b.change(Open)
}

func (b *breaker) change(s BreakerState) {
	b.state.Store(uint32(s))
	b.period++
	if b.opts.OnChange != nil {
		b.opts.OnChange(b.key, s)
	}
}

// abandon takes back an attempt that has no outcome.
func (b *breaker) abandon(period uint64, begun time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if period == b.period && b.load() == HalfOpen {
		b.endProbe(begun)
	}
}
