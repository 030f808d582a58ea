package once

import (
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/poplarshore/poplarshore/coord/store/settle"
)

// Options sets the times and bounds of Claims. The zero value of a field means
// its default.
type Options struct {
	// RunLimit is the longest time a request may run. An older claim without
	// result is unknown. Default 2 min.
	RunLimit time.Duration
	// RetryHorizon is the time within which clients may repeat a request under
	// the same key. Default 24 h.
	RetryHorizon time.Duration
	// Retention is the time that a row is kept. It has to be at least
	// RetryHorizon + RunLimit + 2*SkewMargin. Default three times RetryHorizon.
	Retention time.Duration
	// SkewMargin is the most by which wall clocks of two VMs differ. Default 1 min.
	SkewMargin time.Duration
	// StoreTimeout bounds one operation with all its retries. Default 2 s.
	StoreTimeout time.Duration
	// MaxResult is the largest result kept, in bytes. Default 64 KiB.
	MaxResult int
	// MaxUnsent is how many claims left without sending the request are
	// remembered. Default 4096.
	MaxUnsent int
	// Prefix is put before the row's key. Default "once/".
	Prefix string
	// Clock is this VM's clock. Default the machine's clock.
	Clock clockwork.Clock
	// Observer is told of events. Default none.
	Observer Observer
	// NewID returns an id that no other claim has, also after a restart.
	// Default 128 random bits.
	NewID func() string
}

const (
	defaultRunLimit     = 2 * time.Minute
	defaultRetryHorizon = 24 * time.Hour
	retentionHorizons   = 3
	defaultSkewMargin   = time.Minute
	defaultStoreTimeout = 2 * time.Second
	defaultMaxResult    = 64 << 10 // bytes
	defaultMaxUnsent    = 4096
	defaultPrefix       = "once/"
)

func (o Options) withDefaults() Options {
	setDefault(&o.RunLimit, defaultRunLimit)
	setDefault(&o.RetryHorizon, defaultRetryHorizon)
	setDefault(&o.Retention, retentionHorizons*o.RetryHorizon)
	setDefault(&o.SkewMargin, defaultSkewMargin)
	setDefault(&o.StoreTimeout, defaultStoreTimeout)
	setDefault(&o.MaxResult, defaultMaxResult)
	setDefault(&o.MaxUnsent, defaultMaxUnsent)
	setDefault(&o.Prefix, defaultPrefix)
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.Observer == nil {
		o.Observer = noObserver{}
	}
	if o.NewID == nil {
		o.NewID = settle.NewID
	}
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func (o Options) validate() error {
	if o.RunLimit < 0 || o.RetryHorizon < 0 || o.SkewMargin < 0 || o.StoreTimeout < 0 {
		return ErrOptions.New("times have to be positive")
	}
	if o.MaxResult < 0 || o.MaxUnsent < 0 {
		return ErrOptions.New("bounds have to be positive")
	}
	least := o.RetryHorizon + o.RunLimit + 2*o.SkewMargin
	if o.Retention < least {
		return ErrOptions.New("retention %v is less than retry horizon, run limit and twice the skew margin, %v", o.Retention, least)
	}
	return nil
}
