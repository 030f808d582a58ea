package limit

import "time"

// AdaptiveOptions configures an Adaptive limit.
type AdaptiveOptions struct {
	// Start is the initial limit on requests in flight; Min and Max bound the
	// limit as it adapts.
	Start, Min, Max float64
	// Target is the time to first token above which engines are considered
	// overloaded.
	Target time.Duration
	// Decrease is the factor applied to the limit on overload, 0 to 1.
	Decrease float64
	// Cooldown is the minimum time between two decreases.
	Cooldown time.Duration
}

// Defaults of AdaptiveOptions; limits are in requests in flight.
const (
	defaultStartLimit = 64
	defaultMinLimit   = 4
	defaultMaxLimit   = 4096
	defaultTarget     = time.Second
	defaultDecrease   = 0.9
	defaultCooldown   = 200 * time.Millisecond

	// minUtilization is the fraction of the limit that has to be in flight for
	// the limit to grow.
	minUtilization = 0.8
)

// DefaultAdaptiveOptions returns the default options.
func DefaultAdaptiveOptions() AdaptiveOptions {
	return AdaptiveOptions{
		Start:    defaultStartLimit,
		Min:      defaultMinLimit,
		Max:      defaultMaxLimit,
		Target:   defaultTarget,
		Decrease: defaultDecrease,
		Cooldown: defaultCooldown,
	}
}

// Outcome is the result of a request admitted by a Gate.
type Outcome struct {
	// FirstToken is the time to first token; zero if no token was received.
	FirstToken time.Duration
	// Rejected reports that an engine was too busy to accept the request.
	Rejected bool
}

// Adaptive is a concurrency limit with additive increase and multiplicative
// decrease: it grows by about one for each limit's worth of on-time responses
// while it is nearly exhausted, and shrinks by a factor on overload. It is not
// safe for concurrent use.
type Adaptive struct {
	opts        AdaptiveOptions
	limit       float64
	decreasedAt time.Time
}

// NewAdaptive returns an Adaptive at its start value.
func NewAdaptive(opts AdaptiveOptions) *Adaptive {
	return &Adaptive{opts: opts, limit: opts.Start}
}

// Limit returns the maximum number of requests in flight.
func (a *Adaptive) Limit() int { return int(a.limit) }

// Observe adjusts the limit by the outcome of a request that ended while
// inFlight requests were in flight.
func (a *Adaptive) Observe(o Outcome, inFlight int, now time.Time) {
	if o.Rejected || o.FirstToken > a.opts.Target {
		a.decrease(now)
		return
	}
	if o.FirstToken > 0 && float64(inFlight) >= minUtilization*a.limit {
		a.limit = min(a.limit+1/a.limit, a.opts.Max)
	}
}

func (a *Adaptive) decrease(now time.Time) {
	if now.Sub(a.decreasedAt) < a.opts.Cooldown {
		return
	}
	a.decreasedAt = now
	a.limit = max(a.limit*a.opts.Decrease, a.opts.Min)
}
