package order

import "time"

// Policy sets the timeouts and rate limits of orders.
type Policy struct {
	// OrderTimeout is the timeout for sending one order.
	OrderTimeout time.Duration
	// LongestOrder is the time after sending by which an order is either visible in the
	// engine's state or will never be applied. At least OrderTimeout.
	LongestOrder time.Duration
	// MaxAge is the maximum age of an observed state that is used.
	MaxAge time.Duration
	// UnloadDelay is the time without requests in flight after which an item may be
	// unloaded, and the role of an engine changed. It must cover the delay of the
	// engine's reports.
	UnloadDelay time.Duration
	// LoadsPerSecond is the rate of loads that the weight store allows.
	LoadsPerSecond float64
	// LoadBurst is the maximum number of loads started at once. At least 1.
	LoadBurst float64
	// MaxLoading is the maximum number of loads in progress on all engines together.
	MaxLoading int
	// BackoffMin and BackoffMax bound the delay after a failed order. It starts at
	// BackoffMin and doubles with each consecutive failure.
	BackoffMin, BackoffMax time.Duration
}

// DefaultPolicy returns a policy for small deployments.
func DefaultPolicy() Policy {
	return Policy{
		OrderTimeout:   2 * time.Second,
		LongestOrder:   10 * time.Second,
		MaxAge:         5 * time.Second,
		UnloadDelay:    5 * time.Second,
		LoadsPerSecond: 0.5,
		LoadBurst:      2,
		MaxLoading:     4,
		BackoffMin:     time.Second,
		BackoffMax:     time.Minute,
	}
}

func (p Policy) validate() error {
	switch {
	case p.OrderTimeout <= 0 || p.LongestOrder < p.OrderTimeout:
		return ErrOptions.New("longest order %v must be at least the order timeout %v, which must be positive",
			p.LongestOrder, p.OrderTimeout)
	case p.MaxAge <= 0 || p.UnloadDelay < 0:
		return ErrOptions.New("maximum age %v of states must be positive and unload delay %v must not be negative",
			p.MaxAge, p.UnloadDelay)
	case p.LoadsPerSecond <= 0 || p.LoadBurst < 1 || p.MaxLoading < 1:
		return ErrOptions.New("load rate must be positive, load burst and maximum number of loads at least 1")
	case p.BackoffMin <= 0 || p.BackoffMax < p.BackoffMin:
		return ErrOptions.New("backoff range %v to %v is empty or does not start above zero", p.BackoffMin, p.BackoffMax)
	}
	return nil
}

// backoff returns the delay after the given number of consecutive failures.
func (p Policy) backoff(failures int) time.Duration {
	wait := p.BackoffMin
	for range failures - 1 {
		wait = min(2*wait, p.BackoffMax)
	}
	return wait
}
