package cascade

import (
	"math/rand/v2"
	"time"
)

// Policy determines how an unrated answer of a weaker model is handled.
type Policy uint8

// The policies for unrated answers.
const (
	// StrongestOnly never delivers an unrated answer of a weaker model.
	StrongestOnly Policy = iota
	// ClassMean delivers it if the lower confidence bound of the class's mean
	// score reaches the threshold.
	ClassMean
)

// Hooks are called on events of a Decider, for metrics. Nil hooks are skipped.
// They are called with the Decider locked and must not call it.
type Hooks struct {
	// Step is called for each step.
	Step func(kind Kind, reason Reason)
	// Mode is called on each change of the mode of the rating service.
	Mode func(mode RaterMode)
	// Overflow is called when a contract or class shares its estimates with
	// others because MaxContracts or MaxClasses is reached.
	Overflow func()
}

// Options configure a Decider. Zero values select the defaults.
type Options struct {
	// Rand selects the requests that run a shadow and the answers that are
	// audited. Required.
	Rand *rand.Rand
	// Policy is applied to unrated answers; default StrongestOnly.
	Policy Policy
	// ExploreShare is the fraction of requests skipping the cheapest option that
	// also run it as a shadow, to detect when it has become cost-effective;
	// default 0.02.
	ExploreShare float64
	// AuditShare is approximately the fraction of delivered answers that are
	// rated afterwards; default 0.1. Answers that were not rated before they
	// were accepted are audited more often than others.
	AuditShare float64
	// Gain is the change of slack for one answer whose score differs from the
	// target by 1; default 0.004. It is higher for the first answers of a
	// contract.
	Gain float64
	// Margin is added to each target; default 0.002.
	Margin float64
	// MaxEstimateAge is how long ClassMean uses estimates without new ratings;
	// default 10 minutes.
	MaxEstimateAge time.Duration
	// MaxContracts limits the number of contracts with separate estimates;
	// default 1024.
	MaxContracts int
	// MaxClasses limits the number of classes with separate estimates in a
	// contract; default 64.
	MaxClasses int
	// Hooks are called on events; default none.
	Hooks Hooks
}

const (
	defaultExploreShare   = 0.02
	defaultAuditShare     = 0.1
	defaultGain           = 0.004
	defaultMargin         = 0.002
	defaultMaxEstimateAge = 10 * time.Minute
	defaultMaxContracts   = 1024
	defaultMaxClasses     = 64
)

func (o Options) withDefaults() Options {
	setDefault(&o.ExploreShare, defaultExploreShare)
	setDefault(&o.AuditShare, defaultAuditShare)
	setDefault(&o.Gain, defaultGain)
	setDefault(&o.Margin, defaultMargin)
	setDefault(&o.MaxEstimateAge, defaultMaxEstimateAge)
	setDefault(&o.MaxContracts, defaultMaxContracts)
	setDefault(&o.MaxClasses, defaultMaxClasses)
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
