package cascade

import (
	"math/rand/v2"
	"time"
)

// Policy says what becomes of an unrated answer of a weaker model.
type Policy uint8

// The policies for unrated answers.
const (
	// StrongestOnly never delivers an unrated answer of a weaker model.
	StrongestOnly Policy = iota
	// ClassMean delivers it if the class's lower confidence bound passes.
	ClassMean
)

// Hooks count what the decider does. Nil hooks are skipped.
type Hooks struct {
	// Step is called for each step.
	Step func(kind Kind, reason Reason)
	// Mode is called at each change of the rater's mode.
	Mode func(mode RaterMode)
	// Overflow is called when a contract or class shares its estimates with
	// others because the bound on memory is reached.
	Overflow func()
}

// Options configure a Decider. Zero values stand for the defaults.
type Options struct {
	// Rand draws which requests explore and are audited. Required.
	Rand *rand.Rand
	// Policy is applied to unrated answers; default StrongestOnly.
	Policy Policy
	// ExploreShare is the part of skipping requests that also run the
	// cheapest option, to notice when it has become worth it; default 0.02.
	ExploreShare float64
	// AuditShare is about the part of delivered answers that are rated
	// afterwards; default 0.1. Answers that were not rated before they were
	// accepted are audited more often than others.
	AuditShare float64
	// Gain is the controller's change of slack for one request that misses
	// the target by 1; default 0.004.
	Gain float64
	// Margin is added to each target; default 0.002.
	Margin float64
	// MaxEstimateAge is how long ClassMean trusts estimates without new
	// ratings; default 10 minutes.
	MaxEstimateAge time.Duration
	// MaxContracts bounds the contracts with estimates of their own; default 1024.
	MaxContracts int
	// MaxClasses bounds the classes with estimates of their own in a contract;
	// default 64.
	MaxClasses int
	Hooks      Hooks
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
