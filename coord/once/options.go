package once

import (
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/poplarshore/poplarshore/coord/store/settle"
)

// Options configures Claims. The zero value of a field selects its default. RunLimit,
// RetryHorizon, Retention, SkewMargin and Prefix should be the same on all VMs that
// share a table.
type Options struct {
	// RunLimit is the maximum time between a claim and the end of its request, which
	// callers should enforce. A claim without a result is reported as Unknown when
	// it is older than RunLimit + SkewMargin. Default 2 min.
	RunLimit time.Duration
	// RetryHorizon is the time within which clients may repeat a request with the
	// same key. Default 24 h.
	RetryHorizon time.Duration
	// Retention is how long a row is retained: Sweep deletes a row that is older than
	// Retention + SkewMargin. It must be at least
	// RetryHorizon + RunLimit + 2*SkewMargin. Default 3*RetryHorizon.
	Retention time.Duration
	// SkewMargin is the maximum difference between the wall clocks of two VMs.
	// Default 1 min.
	SkewMargin time.Duration
	// StoreTimeout limits each call of Claim, Complete, MarkUnknown and Abandon,
	// including its retries. Default 2 s.
	StoreTimeout time.Duration
	// MaxResultBytes is the maximum size of a result in bytes. Default 64 KiB.
	MaxResultBytes int
	// MaxUnsentClaims is the maximum number of claim IDs kept in memory for which no
	// request was sent. If the row of an evicted one exists, its key can't be claimed
	// again and is reported as InProgress, then Unknown. Default 4096.
	MaxUnsentClaims int
	// Prefix precedes the account and the idempotency key in the key of each row.
	// Default "once/".
	Prefix string
	// Clock is the clock of this VM. Default: the system clock.
	Clock clockwork.Clock
	// Observer receives events. Default: none.
	Observer Observer
	// NewID returns a claim ID that is globally unique, also across restarts.
	// Default: 128 random bits in hexadecimal.
	NewID func() string
}

// Defaults of Options.
const (
	defaultRunLimit          = 2 * time.Minute
	defaultRetryHorizon      = 24 * time.Hour
	defaultRetentionHorizons = 3 // default Retention, in multiples of RetryHorizon
	defaultSkewMargin        = time.Minute
	defaultStoreTimeout      = 2 * time.Second
	defaultMaxResultBytes    = 64 << 10 // bytes
	defaultMaxUnsentClaims   = 4096
	defaultPrefix            = "once/"
)

func (o Options) withDefaults() Options {
	setDefault(&o.RunLimit, defaultRunLimit)
	setDefault(&o.RetryHorizon, defaultRetryHorizon)
	setDefault(&o.Retention, defaultRetentionHorizons*o.RetryHorizon)
	setDefault(&o.SkewMargin, defaultSkewMargin)
	setDefault(&o.StoreTimeout, defaultStoreTimeout)
	setDefault(&o.MaxResultBytes, defaultMaxResultBytes)
	setDefault(&o.MaxUnsentClaims, defaultMaxUnsentClaims)
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
		return ErrOptions.New("durations must not be negative")
	}
	if o.MaxResultBytes < 0 || o.MaxUnsentClaims < 0 {
		return ErrOptions.New("maximum result size and number of unsent claims must not be negative")
	}
	minRetention := o.RetryHorizon + o.RunLimit + 2*o.SkewMargin
	if o.Retention < minRetention {
		return ErrOptions.New(
			"retention %v is shorter than the sum of retry horizon, run limit and twice the skew margin, %v",
			o.Retention, minRetention)
	}
	return nil
}
