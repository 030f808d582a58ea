package lease

import (
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/poplarshore/poplarshore/coord/store/settle"
)

// Options sets the times of a Manager. The zero value of a field means its default.
type Options struct {
	// TTL is the time a silent holder keeps its job. Default 10 s.
	TTL time.Duration
	// Margin is how long before TTL the holder regards its lease as ended. It
	// has to cover the drift between two clocks over TTL. Default TTL/5.
	Margin time.Duration
	// RenewEvery is the time between renewals, and between attempts to acquire.
	// Default (TTL-Margin)/4.
	RenewEvery time.Duration
	// StoreTimeout bounds one acquire, renewal or release with all its
	// retries. Default RenewEvery.
	StoreTimeout time.Duration
	// Eligible tells whether this holder should contend for the job now, for
	// instance by IsCandidate. A lease that is held is not given up for it.
	// Default always.
	Eligible func(job string) bool
	// Prefix is put before the job to form the row's key. Default "lease/".
	Prefix string
	// Clock is the clock of this holder. Default the machine's clock.
	Clock clockwork.Clock
	// Observer is told of events. Default none.
	Observer Observer
	// NewID returns an id that no other write has, also after a restart.
	// Default 128 random bits.
	NewID func() string
	// Jitter returns a number in [0, 1) that spreads attempts in time.
	// Default a randomly seeded generator.
	Jitter func() float64
}

const (
	defaultTTL          = 10 * time.Second
	marginsPerTTL       = 5
	renewalsPerLease    = 4
	defaultPrefix       = "lease/"
	jitterPerRenewEvery = 4 // attempts are spread over a quarter of RenewEvery
)

func (o Options) withDefaults() Options {
	if o.TTL == 0 {
		o.TTL = defaultTTL
	}
	if o.Margin == 0 {
		o.Margin = o.TTL / marginsPerTTL
	}
	if o.RenewEvery == 0 {
		o.RenewEvery = (o.TTL - o.Margin) / renewalsPerLease
	}
	if o.StoreTimeout == 0 {
		o.StoreTimeout = o.RenewEvery
	}
	if o.Prefix == "" {
		o.Prefix = defaultPrefix
	}
	return o.withPorts()
}

func (o Options) withPorts() Options {
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
		return ErrOptions.New("margin %v has to lie between 0 and the TTL %v", o.Margin, o.TTL)
	}
	if o.RenewEvery <= 0 || o.RenewEvery >= o.TTL-o.Margin {
		return ErrOptions.New("renewal every %v has to come before the end after %v", o.RenewEvery, o.TTL-o.Margin)
	}
	if o.StoreTimeout <= 0 {
		return ErrOptions.New("store timeout %v has to be positive", o.StoreTimeout)
	}
	return nil
}
