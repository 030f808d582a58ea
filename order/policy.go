package order

import "time"

// Policy bounds the orders.
type Policy struct {
	// OrderTimeout bounds the sending of one order.
	OrderTimeout time.Duration
	// LongestOrder is the time from the sending of an order after which it has
	// either shown in the engine's state or never will. At least OrderTimeout.
	LongestOrder time.Duration
	// MaxAge is the age up to which an observed state is used.
	MaxAge time.Duration
	// UnloadDelay is how long an item has to be seen without requests in flight
	// before it is unloaded, and an engine before its role changes. It has to
	// cover the lag of the engine's report.
	UnloadDelay time.Duration
	// LoadsPerSecond is the pace of loads that the weight store allows.
	LoadsPerSecond float64
	// LoadBurst is the most loads started at once. At least 1.
	LoadBurst float64
	// MaxLoading is the most loads under way at once over all engines.
	MaxLoading int
	// BackoffMin and BackoffMax bound the wait after a failed order; it doubles
	// with each further failure.
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
		return ErrOptions.New("longest order %v has to be at least the order timeout %v, which is positive", p.LongestOrder, p.OrderTimeout)
	case p.MaxAge <= 0 || p.UnloadDelay < 0:
		return ErrOptions.New("age of states %v and unload delay %v have to be positive", p.MaxAge, p.UnloadDelay)
	case p.LoadsPerSecond <= 0 || p.LoadBurst < 1 || p.MaxLoading < 1:
		return ErrOptions.New("loads need a positive pace, a burst and a count of at least 1")
	case p.BackoffMin <= 0 || p.BackoffMax < p.BackoffMin:
		return ErrOptions.New("backoff %v to %v is no range", p.BackoffMin, p.BackoffMax)
	}
	return nil
}

// backoff returns the wait after the given number of failures in a row.
func (p Policy) backoff(failures int) time.Duration {
	wait := p.BackoffMin
	for range failures - 1 {
		wait = min(2*wait, p.BackoffMax)
	}
	return wait
}
