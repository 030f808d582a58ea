package shift

import (
	"time"

	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/rollout"
)

// Order is what operators ask for.
type Order struct {
	// ID names the order; a later one of the same service has a higher ID.
	ID       int64           `json:"id"`
	Service  string          `json:"service"`
	To       model.VersionID `json:"to"`
	Duration time.Duration   `json:"duration"`
}

// Phase tells how far a shift is.
type Phase string

// The phases.
const (
	Active   Phase = "active"
	Complete Phase = "complete"
	Reverted Phase = "reverted"
)

// State is the row of a shift.
type State struct {
	Order Order `json:"order"`
	Phase Phase `json:"phase"`
	// Step is the number of steps taken; without any the new version gets nothing.
	Step int `json:"step"`
	// Started is when the order was first seen, on the shared clock.
	Started time.Duration `json:"started"`
	// Verdict is why the shift was reverted.
	Verdict rollout.Verdict `json:"verdict,omitzero"`
}

// Ended tells whether the shift takes no further step.
func (s State) Ended() bool { return s.Phase != Active }

// Step is a share of the sessions from a part of the time on.
type Step struct {
	// At is the part of the order's duration, 0 to 1.
	At float64
	// Share is the part of the sessions that get the new version, 0 to 1.
	Share float64
}

// Plan says how shifts go.
type Plan struct {
	// Steps grow in time and share; the last one has share 1.
	Steps []Step
	// Lead is how long before the deadline a shift completes.
	Lead time.Duration
	// MinFresh is the least number of the VM's own good answers of the new
	// version on which it takes a further step.
	MinFresh int64
	// Evidence is the strength of evidence that reverts a shift, Suspicion that
	// at which no further step is taken.
	Evidence, Suspicion float64
	// Tolerance is how much worse the new version may be.
	Tolerance rollout.Tolerance
}

const (
	// DefaultExposure is the part of a service's requests, 0 to 1, that a bad
	// version may get between the order and the deadline.
	DefaultExposure = 0.15
	// exposureUsed is the part of the bound that a plan makes use of; bursts of
	// traffic late in a shift need the rest.
	exposureUsed = 0.85
	// wholePart is the part of that for the time in which the new version gets
	// all sessions.
	wholePart = 0.62
	// firstStepAt is the part of an order's time at which sessions begin to move.
	firstStepAt = 0.505
)

// DefaultPlan returns the plan for the default exposure.
func DefaultPlan() Plan { return PlanWithin(DefaultExposure) }

// PlanWithin returns a plan by which a new version gets at most the given part
// of the requests between the order and the deadline, even if it is never found
// bad: some kinds of failure show only under load, or late.
func PlanWithin(exposure float64) Plan {
	whole := exposure * exposureUsed * wholePart
	first := exposure * exposureUsed * (1 - wholePart) / (1 - whole - firstStepAt)
	return Plan{
		Steps:     []Step{{At: firstStepAt, Share: first}, {At: 1 - whole, Share: 1}},
		Lead:      700 * time.Millisecond,
		MinFresh:  2,
		Evidence:  3,
		Suspicion: 1,
		Tolerance: rollout.Tolerance{Errors: 0.02, Slow: 0.1},
	}
}

// Seen is what was seen of a version. Not every answer shows its pace, so that
// the two are counted apart.
type Seen struct {
	// Answers counts the answers and which of them were errors.
	Answers rollout.Counts `json:"answers"`
	// Paced counts the answers that showed their pace and which were slow.
	Paced rollout.Counts `json:"paced"`
}

// Add returns the sum of both.
func (s Seen) Add(o Seen) Seen {
	return Seen{Answers: s.Answers.Add(o.Answers), Paced: s.Paced.Add(o.Paced)}
}

// Bad returns the number of errors and slow answers.
func (s Seen) Bad() int64 { return s.Answers.Errors + s.Paced.Slow }

// Evidence is what is known of both versions.
type Evidence struct {
	// Fresh and Old are what was seen of the new and the replaced version.
	Fresh, Old Seen
	// Good is the number of the new version's whole answers at a usual pace that
	// this VM saw itself.
	Good int64
}

// Begin returns the state of an order that was just seen.
func Begin(o Order, now time.Duration) State {
	return State{Order: o, Phase: Active, Started: now}
}

// Revert returns the state after a verdict against the new version.
func Revert(s State, v rollout.Verdict) State {
	s.Phase, s.Verdict = Reverted, v
	return s
}

// Next returns the state that follows, and whether it differs. Now is on the
// shared clock.
func (p Plan) Next(s State, now time.Duration, e Evidence) (State, bool) {
	if s.Ended() {
		return s, false
	}
	if v := p.Verdict(e); v.Bad {
		return Revert(s, v), true
	}
	elapsed := now - s.Started
	if s.Step == len(p.Steps) {
		if elapsed >= s.Order.Duration-p.Lead && p.trusted(e) {
			s.Phase = Complete
			return s, true
		}
		return s, false
	}
	if elapsed < p.due(s) || s.Step > 0 && !p.trusted(e) {
		return s, false
	}
	s.Step++
	return s, true
}

// Verdict tells whether the evidence shows that the new version is bad.
func (p Plan) Verdict(e Evidence) rollout.Verdict {
	return p.compare(e, p.Evidence)
}

func (p Plan) compare(e Evidence, strength float64) rollout.Verdict {
	v := rollout.Compare(e.Fresh.Answers, e.Old.Answers, rollout.Counts{}, p.Tolerance, strength)
	if v.Bad {
		return v
	}
	return rollout.Compare(e.Fresh.Paced, e.Old.Paced, rollout.Counts{}, p.Tolerance, strength)
}

// trusted tells whether a VM may take a further step on its evidence: silence
// is not health, and neither is a suspicion.
func (p Plan) trusted(e Evidence) bool {
	if e.Good < p.MinFresh {
		return false
	}
	return !p.compare(e, p.Suspicion).Bad
}

// due returns the time after the start at which the next step may be taken.
func (p Plan) due(s State) time.Duration {
	return time.Duration(p.Steps[s.Step].At * float64(s.Order.Duration))
}

// Share returns the part of the sessions that get the new version.
func (p Plan) Share(s State) float64 {
	switch {
	case s.Phase == Complete:
		return 1
	case s.Phase == Reverted || s.Step == 0:
		return 0
	}
	return p.Steps[min(s.Step, len(p.Steps))-1].Share
}

// Fresh tells whether a session gets the new version. Position is the hash of
// the session's key, 0 to 1; it is the same on all VMs.
func (p Plan) Fresh(s State, position float64) bool {
	return position < p.Share(s)
}
