package deadline

import (
	"time"

	"github.com/poplarshore/poplarshore/rollout"
	"github.com/poplarshore/poplarshore/rollout/shift"
)

// Rule decides on the next state of a shift.
type Rule interface {
	// Name names the rule in tables.
	Name() string
	next(s *simulation, vm int, now time.Duration) (shift.State, bool)
	share(s shift.State) float64
}

// Proof is the plan of package shift.
type Proof struct{ Plan shift.Plan }

// Name implements Rule.
func (Proof) Name() string { return "proof" }

func (p Proof) next(s *simulation, vm int, now time.Duration) (shift.State, bool) {
	return p.Plan.Next(s.state, now, s.evidence(vm, now))
}

func (p Proof) share(s shift.State) float64 { return p.Plan.Share(s) }

// TwoGoodAnswers is the baseline.
type TwoGoodAnswers struct{ Plan shift.Plan }

// Constants of the baseline: the fractions of the order's duration at which its steps are
// made, the share of the first one, the time from completion to the deadline, and the
// evidence from which it goes no further.
const (
	firstStep      = 0.505
	secondStep     = 0.921
	firstStepShare = 0.1165
	completionLead = 700 * time.Millisecond
	holdEvidence   = 1
)

// Name implements Rule.
func (TwoGoodAnswers) Name() string { return "two good answers" }

func (t TwoGoodAnswers) next(s *simulation, vm int, now time.Duration) (shift.State, bool) {
	state, e := s.state, s.evidence(vm, now)
	if v := t.Plan.Verdict(e); v.Bad {
		return shift.Revert(state, v), true
	}
	dueAt := []time.Duration{
		time.Duration(firstStep * float64(state.Order.Duration)),
		time.Duration(secondStep * float64(state.Order.Duration)),
		state.Order.Duration - completionLead,
	}[state.Step]
	if now < dueAt || state.Step > 0 && (s.ownGood(vm, now) < 2 || t.isSuspect(e)) {
		return state, false
	}
	if state.Step == 2 {
		state.Phase = shift.Complete
		return state, true
	}
	state.Step++
	return state, true
}

func (t TwoGoodAnswers) isSuspect(e shift.Evidence) bool {
	return rollout.Compare(e.New.Answers, e.Old.Answers, rollout.Counts{}, t.Plan.Tolerance, holdEvidence).Bad ||
		rollout.Compare(e.New.Paced, e.Old.Paced, rollout.Counts{}, t.Plan.Tolerance, holdEvidence).Bad
}

func (t TwoGoodAnswers) share(s shift.State) float64 {
	switch {
	case s.Phase == shift.Reverted || s.Step == 0:
		return 0
	case s.Step == 1:
		return firstStepShare
	}
	return 1
}
