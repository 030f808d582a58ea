package cascade

import (
	"time"

	"github.com/poplarshore/poplarshore/contract"
	"github.com/poplarshore/poplarshore/model"
)

// overflow is the key that contracts or classes share beyond the bound. No
// valid label or document identifier equals it.
const overflow = "\x00"

// modelState is what is known of one model in one class of one contract.
type modelState struct {
	scores  scores
	latency latency
}

type classState struct {
	models map[model.Name]*modelState
}

type contractState struct {
	control   control
	delivered average
	classes   map[Class]*classState
}

// average is a moving mean.
type average struct {
	value float64
	set   bool
}

const averageGain = 1.0 / 512

func (a *average) add(x float64) {
	if !a.set {
		a.value, a.set = x, true
		return
	}
	a.value += (x - a.value) * averageGain
}

func (d *Decider) contract(id contract.ID) *contractState {
	if c, ok := d.contracts[id]; ok {
		return c
	}
	if len(d.contracts) >= d.options.MaxContracts {
		d.overflowed()
		id = overflow
		if c, ok := d.contracts[id]; ok {
			return c
		}
	}
	c := &contractState{classes: make(map[Class]*classState)}
	d.contracts[id] = c
	return c
}

func (d *Decider) class(c *contractState, class Class) *classState {
	if s, ok := c.classes[class]; ok {
		return s
	}
	if len(c.classes) >= d.options.MaxClasses {
		d.overflowed()
		class = overflow
		if s, ok := c.classes[class]; ok {
			return s
		}
	}
	s := &classState{models: make(map[model.Name]*modelState)}
	c.classes[class] = s
	return s
}

// model returns the state of a model. The models of a class are bounded by the
// document; beyond maxModels they share one state.
func (s *classState) model(name model.Name) *modelState {
	if m, ok := s.models[name]; ok {
		return m
	}
	if len(s.models) >= maxModels {
		name = overflow
		if m, ok := s.models[name]; ok {
			return m
		}
	}
	m := &modelState{}
	s.models[name] = m
	return m
}

const maxModels = 16

func (d *Decider) overflowed() {
	if d.options.Hooks.Overflow != nil {
		d.options.Hooks.Overflow()
	}
}

// Snapshot is what operators see of a contract.
type Snapshot struct {
	// Slack is the score given up for the cost of one strongest answer.
	Slack float64
	// Delivered is the estimated mean score of recent answers.
	Delivered float64
	// Classes is the number of classes with estimates.
	Classes int
	// Unreachable says that even the strongest model alone misses the target.
	Unreachable bool
}

// Snapshot returns the state of a contract, and whether it has any.
func (d *Decider) Snapshot(id contract.ID) (Snapshot, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c, ok := d.contracts[id]
	if !ok {
		return Snapshot{}, false
	}
	return Snapshot{
		Slack:       c.control.slack,
		Delivered:   c.delivered.value,
		Classes:     len(c.classes),
		Unreachable: c.control.slack <= minSlack,
	}, true
}

// Mode returns the mode of the rating service.
func (d *Decider) Mode() RaterMode {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rater.mode
}

// trusted tells whether the estimate is fresh enough for ClassMean.
func (s *scores) trusted(now time.Time, maxAge time.Duration) bool {
	return now.Sub(s.seen) <= maxAge
}
