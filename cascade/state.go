package cascade

import (
	"time"

	"github.com/poplarshore/poplarshore/contract"
	"github.com/poplarshore/poplarshore/model"
)

// overflowKey is the key shared by contracts, classes or models beyond their
// limit. It is neither a valid label nor a valid document identifier.
const overflowKey = "\x00"

// modelState holds the estimates of one model in one class of one contract.
type modelState struct {
	scores  scoreDistribution
	latency latencyEstimate
}

// classState holds the estimates of one class of one contract.
type classState struct {
	models map[model.Name]*modelState
}

// contractState holds the slack and the estimates of one contract.
type contractState struct {
	controller     slackController
	deliveredScore movingAverage
	classes        map[Class]*classState
}

// movingAverage is an exponentially weighted moving average.
type movingAverage struct {
	value       float64
	initialized bool
}

// averageSmoothing is the weight of a new value in a movingAverage.
const averageSmoothing = 1.0 / 512

func (a *movingAverage) add(x float64) {
	if !a.initialized {
		a.value, a.initialized = x, true
		return
	}
	a.value += (x - a.value) * averageSmoothing
}

// contract returns the state of a contract. Contracts beyond MaxContracts share
// one state.
func (d *Decider) contract(id contract.ID) *contractState {
	if c, ok := d.contracts[id]; ok {
		return c
	}
	if len(d.contracts) >= d.options.MaxContracts {
		d.reportOverflow()
		id = overflowKey
		if c, ok := d.contracts[id]; ok {
			return c
		}
	}
	c := &contractState{classes: make(map[Class]*classState)}
	d.contracts[id] = c
	return c
}

// class returns the state of a class. Classes of a contract beyond MaxClasses
// share one state.
func (d *Decider) class(c *contractState, class Class) *classState {
	if s, ok := c.classes[class]; ok {
		return s
	}
	if len(c.classes) >= d.options.MaxClasses {
		d.reportOverflow()
		class = overflowKey
		if s, ok := c.classes[class]; ok {
			return s
		}
	}
	s := &classState{models: make(map[model.Name]*modelState)}
	c.classes[class] = s
	return s
}

// model returns the state of a model. The configuration document limits the
// models of a class; models beyond maxModels share one state.
func (s *classState) model(name model.Name) *modelState {
	if m, ok := s.models[name]; ok {
		return m
	}
	if len(s.models) >= maxModels {
		name = overflowKey
		if m, ok := s.models[name]; ok {
			return m
		}
	}
	m := &modelState{}
	s.models[name] = m
	return m
}

// maxModels limits the number of models with separate estimates in a class.
const maxModels = 16

func (d *Decider) reportOverflow() {
	if d.options.Hooks.Overflow != nil {
		d.options.Hooks.Overflow()
	}
}

// Snapshot is the state of a contract for operators.
type Snapshot struct {
	// Slack is the score that may be given up to save the cost of one average
	// answer of the strongest model.
	Slack float64
	// Delivered is the estimated mean score of recent answers.
	Delivered float64
	// Classes is the number of classes with estimates.
	Classes int
	// TargetUnreachable reports that even the strongest model alone misses the
	// target.
	TargetUnreachable bool
}

// Snapshot returns the state of a contract, and false if there is none.
func (d *Decider) Snapshot(id contract.ID) (Snapshot, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c, ok := d.contracts[id]
	if !ok {
		return Snapshot{}, false
	}
	return Snapshot{
		Slack:             c.controller.slack,
		Delivered:         c.deliveredScore.value,
		Classes:           len(c.classes),
		TargetUnreachable: c.controller.slack <= minSlack,
	}, true
}

// Mode returns the current mode of the rating service.
func (d *Decider) Mode() RaterMode {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rater.mode
}

// fresh reports whether the latest rating is recent enough for ClassMean.
func (s *scoreDistribution) fresh(now time.Time, maxAge time.Duration) bool {
	return now.Sub(s.lastRatedAt) <= maxAge
}
