package lease

import (
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/poplarshore/poplarshore/coord/store/settle"
)

// Options configures a Manager. The zero value of a field selects its default.
type Options struct {
	// TTL is how long a job stays reserved for a holder that has stopped renewing.
	// It is stored in the row in whole milliseconds. At most one hour. Default 10 s.
	TTL time.Duration
	// Margin is how long before the end of the TTL the holder treats its lease as
	// ended. It must cover the drift between any two clocks over one TTL and be less
	// than TTL. Default TTL/5.
	Margin time.Duration
	// RenewInterval is the time between renewals in Run, and the minimum time between
	// its attempts to acquire. It must be less than TTL-Margin.
	// Default (TTL-Margin)/4.
	RenewInterval time.Duration
	// StoreTimeout limits each acquisition, renewal and release, including its
	// retries. Default RenewInterval.
	StoreTimeout time.Duration
	// Eligible reports whether this holder should contend for job now, for instance
	// by calling IsCandidate. Run calls it before each attempt to acquire. A lease
	// that is held is kept even if Eligible becomes false. Default: always true.
	Eligible func(job string) bool
	// Prefix precedes the job name in the key of the job's row. Default "lease/".
	Prefix string
	// Clock is the clock of this holder. Default: the system clock.
	Clock clockwork.Clock
	// Observer receives events. Default: none.
	Observer Observer
	// NewID returns an ID for a write that is globally unique, also across restarts.
	// Default: 128 random bits in hexadecimal.
	NewID func() string
	// Jitter returns a number in [0, 1). Run multiplies it by RenewInterval/4 and adds
	// the product to the delay before the next attempt to acquire.
	// Default: a randomly seeded generator.
	Jitter func() float64
}

// Defaults of Options, and the jitter of attempts to acquire.
const (
	defaultTTL              = 10 * time.Second
	defaultMarginDivisor    = 5
	defaultRenewalsPerLease = 4
	defaultPrefix           = "lease/"
	jitterDivisor           = 4 // the maximum jitter is RenewInterval/jitterDivisor
)

func (o Options) withDefaults() Options {
	if o.TTL == 0 {
		o.TTL = defaultTTL
	}
	if o.Margin == 0 {
		o.Margin = o.TTL / defaultMarginDivisor
	}
	if o.RenewInterval == 0 {
		o.RenewInterval = (o.TTL - o.Margin) / defaultRenewalsPerLease
	}
	if o.StoreTimeout == 0 {
		o.StoreTimeout = o.RenewInterval
	}
	if o.Prefix == "" {
		o.Prefix = defaultPrefix
	}
	return o.withDefaultDependencies()
}

// withDefaultDependencies sets the function and interface fields that are nil.
func (o Options) withDefaultDependencies() Options {
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.Observer == nil {
		o.Observer = noObserver{}
	}
	if o.NewID == nil {
		o.NewID = settle.NewID
	}
	if o.Eligible == nil {
		o.Eligible = func(string) bool { return true }
	}
	if o.Jitter == nil {
		o.Jitter = rand.Float64
	}
	return o
}

func (o Options) validate() error {
	if o.TTL <= 0 || o.Margin <= 0 || o.Margin >= o.TTL {
		return ErrOptions.New("margin %v must be greater than 0 and less than the TTL %v", o.Margin, o.TTL)
	}
	if o.TTL > maxTTL {
		return ErrOptions.New("the TTL %v must be at most %v", o.TTL, maxTTL)
	}
	if o.RenewInterval <= 0 || o.RenewInterval >= o.TTL-o.Margin {
		return ErrOptions.New("renew interval %v must be greater than 0 and less than TTL minus margin, %v",
			o.RenewInterval, o.TTL-o.Margin)
	}
	if o.StoreTimeout <= 0 {
		return ErrOptions.New("store timeout %v must be greater than 0", o.StoreTimeout)
	}
	return nil
}
