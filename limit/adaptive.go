package limit

import "time"

// AdaptiveOptions set up an Adaptive limit.
type AdaptiveOptions struct {
	// Start, Min and Max bound the requests in flight.
	Start, Min, Max float64
	// Target is the time to the first token beyond which engines count as
	// overloaded.
	Target time.Duration
	// Decrease multiplies the limit at each sign of overload, 0 to 1.
	Decrease float64
	// Cooldown is the least time between two decreases.
	Cooldown time.Duration
}

const (
	defaultStart    = 64
	defaultMin      = 4
	defaultMax      = 4096
	defaultTarget   = time.Second
	defaultDecrease = 0.9
	defaultCooldown = 200 * time.Millisecond
	nearlyAll       = 0.8
)

// DefaultAdaptiveOptions returns the default options.
func DefaultAdaptiveOptions() AdaptiveOptions {
	return AdaptiveOptions{
		Start:    defaultStart,
		Min:      defaultMin,
		Max:      defaultMax,
		Target:   defaultTarget,
		Decrease: defaultDecrease,
		Cooldown: defaultCooldown,
	}
}

// Outcome is how a request that had passed a Gate went.
type Outcome struct {
	// FirstToken is the time to the first token; zero if there was none.
	FirstToken time.Duration
	// Rejected tells that an engine was too busy to take it.
	Rejected bool
}

// Adaptive is a limit on requests in flight that grows by one per round while
// it is used up and shrinks by a factor on signs of overload.
type Adaptive struct {
	opts    AdaptiveOptions
	limit   float64
	lowered time.Time
}

// NewAdaptive returns a limit at its start value.
func NewAdaptive(opts AdaptiveOptions) *Adaptive {
	return &Adaptive{opts: opts, limit: opts.Start}
}

// Limit returns the requests that may be in flight.
func (a *Adaptive) Limit() int { return int(a.limit) }

// Observe takes in an outcome that came while inFlight requests were running.
func (a *Adaptive) Observe(o Outcome, inFlight int, now time.Time) {
	if o.Rejected || o.FirstToken > a.opts.Target {
		a.lower(now)
		return
	}
	if o.FirstToken > 0 && float64(inFlight) >= nearlyAll*a.limit {
		a.limit = min(a.limit+1/a.limit, a.opts.Max)
	}
}

func (a *Adaptive) lower(now time.Time) {
	if now.Sub(a.lowered) < a.opts.Cooldown {
		return
	}
	a.lowered = now
	a.limit = max(a.limit*a.opts.Decrease, a.opts.Min)
}
