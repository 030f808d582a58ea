package shift

import (
	"maps"
	"slices"
	"time"

	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/rollout"
)

// Order is an operators' request to move a service to a version.
type Order struct {
	// ID identifies the order. Later orders for the same service have higher IDs, or
	// belong to a later era of the store.
	ID  int64 `json:"id"`
	Era int64 `json:"era,omitzero"`

	Service  string          `json:"service"`
	To       model.VersionID `json:"to"`
	Duration time.Duration   `json:"duration"`
}

// After reports whether o was written after p.
func (o Order) After(p Order) bool {
	if o.Era != p.Era {
		return o.Era > p.Era
	}
	return o.ID > p.ID
}

// SameRequest reports whether o and p request the same. They may still be different
// orders.
func (o Order) SameRequest(p Order) bool {
	return o.Service == p.Service && o.To == p.To && o.Duration == p.Duration
}

// Phase is the state of a shift.
type Phase string

// Phases of a shift: in progress, complete, or reverted to the old version.
const (
	Active   Phase = "active"
	Complete Phase = "complete"
	Reverted Phase = "reverted"
)

// State is the row of a shift.
type State struct {
	Order Order `json:"order"`
	Phase Phase `json:"phase"`
	// Step is the number of steps made so far. At 0 no session gets the new
	// version, at lastStep all do.
	Step int `json:"step"`
	// Share is the fraction of sessions that get the new version since the last step, 0 to
	// 1.
	Share float64 `json:"share,omitzero"`
	// Started is when the VM that wrote the first state received the order, and Stepped when the last step was made, on
	// the shared clock.
	Started time.Duration `json:"started"`
	Stepped time.Duration `json:"stepped,omitzero"`
	// Verdict is why the shift was reverted, if it was. It is the zero value if the version
	// was not shown to be good by the deadline.
	Verdict rollout.Verdict `json:"verdict,omitzero"`
	// Withdrawn holds the versions of earlier shifts of the service that did not complete.
	Withdrawn Withdrawn `json:"withdrawn,omitzero"`
}

// maxWithdrawn is the number of withdrawn versions that a state remembers. The upstreams of a reverted version
// leave within seconds, so that only those of the last few shifts may still run.
const maxWithdrawn = 4

// Withdrawn is a list of withdrawn versions, the latest one first; unused places are empty.
type Withdrawn [maxWithdrawn]model.VersionID

// Contains reports whether a version is in the list.
func (w Withdrawn) Contains(v model.VersionID) bool {
	return v != "" && slices.Contains(w[:], v)
}

// with returns the list with a version added at its begin.
func (w Withdrawn) with(v model.VersionID) Withdrawn {
	added := Withdrawn{v}
	copy(added[1:], slices.DeleteFunc(w[:], func(other model.VersionID) bool { return other == v }))
	return added
}

// without returns the list without a version.
func (w Withdrawn) without(v model.VersionID) Withdrawn {
	var rest Withdrawn
	copy(rest[:], slices.DeleteFunc(w[:], func(other model.VersionID) bool { return other == v }))
	return rest
}

// Ended reports whether the shift is complete or reverted.
func (s State) Ended() bool { return s.Phase != Active }

// Ahead reports whether s has progressed further than other, a state of the same order.
func (s State) Ahead(other State) bool {
	if s.Ended() != other.Ended() {
		return s.Ended()
	}
	return !s.Ended() && s.Step > other.Step
}

// Plan holds the limits for new versions.
type Plan struct {
	// Exposure bounds the requests that a version gets before it is known to be good.
	Exposure Exposure
	// StepProof is the evidence that the new version is good, as a natural logarithm, from
	// which a step after the first is made. CompletionProof is that from which the shift
	// completes. A good version is worse than the old one by less than Margin.
	StepProof, CompletionProof float64
	Margin                     rollout.Tolerance
	// RevertEvidence is the evidence against the new version, as a natural
	// logarithm, from which a shift is reverted. HoldEvidence is that from which
	// no further step is made.
	RevertEvidence, HoldEvidence float64
	// Tolerance is how much worse the new version may be.
	Tolerance rollout.Tolerance
}

// DefaultPlan returns the plan for DefaultExposure.
func DefaultPlan() Plan { return PlanWithin(DefaultExposure) }

// PlanWithin returns a plan under which a new version gets no more requests than the
// bound allows. That holds even if the version is never found bad, because some failures
// appear only under load or late.
func PlanWithin(bound Exposure) Plan {
	return Plan{
		Exposure:        bound,
		StepProof:       0.5,
		CompletionProof: 2,
		Margin:          rollout.Tolerance{Errors: 0.2, Slow: 0.3},
		RevertEvidence:  3,
		HoldEvidence:    1,
		Tolerance:       rollout.Tolerance{Errors: 0.02, Slow: 0.1},
	}
}

// Observations holds the results observed for a version. Whether an answer is slow
// can be determined only for some answers, so these are counted separately.
type Observations struct {
	// Answers counts all answers, and the errors among them.
	Answers rollout.Counts `json:"answers"`
	// Started counts the answers with a prompt whose time to the first event could be judged, and the late ones
	// among them. VMs of an earlier build write none.
	Started rollout.Counts `json:"started,omitzero"`
	// Paced counts the answers whose speed could be judged by the time between events, or as a whole if they
	// have no prompt, and the slow ones among them.
	Paced rollout.Counts `json:"paced"`
}

// Add returns the sum of s and o.
func (s Observations) Add(o Observations) Observations {
	return Observations{Answers: s.Answers.Add(o.Answers), Started: s.Started.Add(o.Started), Paced: s.Paced.Add(o.Paced)}
}

// Sub returns s minus other.
func (s Observations) Sub(other Observations) Observations {
	return Observations{Answers: s.Answers.Sub(other.Answers), Started: s.Started.Sub(other.Started), Paced: s.Paced.Sub(other.Paced)}
}

// Failures returns the number of errors, late first events and slow answers.
func (s Observations) Failures() int64 { return s.Answers.Errors + s.Started.Slow + s.Paced.Slow }

// Evidence holds the observations of both versions.
type Evidence struct {
	// New and Old are the observations of the new and the replaced version by the same
	// VMs from the first step on. Before is what the same VMs observed of the replaced
	// version before that.
	New, Old, Before Observations
	// Overdue is the number of attempts in progress on the new version that will be slow
	// if they succeed, and OldOverdue that on the replaced one. They may fail for another
	// reason than their version.
	Overdue, OldOverdue int64
	// Routes holds the answers and the errors among them by route: what is bad on one route is few errors among all answers.
	Routes map[string]Comparison
	// RequestRate is the number of requests for the service per second since the order,
	// from all VMs; zero if it is not known.
	RequestRate float64
}

// Comparison holds counts of both versions that are compared with each other, as those of Evidence.
type Comparison struct {
	New    rollout.Counts `json:"new,omitzero"`
	Old    rollout.Counts `json:"old,omitzero"`
	Before rollout.Counts `json:"before,omitzero"`
}

// Add returns the sum of c and o.
func (c Comparison) Add(o Comparison) Comparison {
	return Comparison{New: c.New.Add(o.New), Old: c.Old.Add(o.Old), Before: c.Before.Add(o.Before)}
}

// comparisons returns what is compared: all answers, times to the first event, speeds, and the answers on each route, by name.
func (e Evidence) comparisons() []Comparison {
	all := []Comparison{
		{e.New.Answers, e.Old.Answers, e.Before.Answers},
		{e.New.Started, e.Old.Started, e.Before.Started},
		{e.New.Paced, e.Old.Paced, e.Before.Paced},
	}
	for _, name := range slices.Sorted(maps.Keys(e.Routes)) {
		all = append(all, e.Routes[name])
	}
	return all
}

// Begin returns the first state of an order. Now is on the shared clock.
func Begin(o Order, now time.Duration) State {
	return State{Order: o, Phase: Active, Started: now}
}

// Follow returns the first state of an order that follows the shift s of the same service. A version whose shift
// did not complete is withdrawn, as those that were before, unless the order names it.
func (s State) Follow(o Order, now time.Duration) State {
	next := Begin(o, now)
	next.Withdrawn = s.Withdrawn.without(o.To)
	if (s.Phase == Active || s.Phase == Reverted) && s.Order.To != o.To {
		next.Withdrawn = next.Withdrawn.with(s.Order.To)
	}
	return next
}

// IsWithdrawn reports whether a version was withdrawn by the shift, which has ended, or before it.
func (s State) IsWithdrawn(v model.VersionID) bool {
	return s.Withdrawn.Contains(v) || s.Phase == Reverted && v == s.Order.To
}

// IsRepeatedBy reports whether an order, received at the given time on the shared clock, is the order of s written
// once more: it requests the same before the shift's deadline, or what the shift has completed.
func (s State) IsRepeatedBy(o Order, at time.Duration) bool {
	return o.After(s.Order) && o.SameRequest(s.Order) && (s.Phase == Complete || at < s.Started+s.Order.Duration)
}

// SameShift reports whether s and other are states of one shift, whose order may have been written twice.
func (s State) SameShift(other State) bool {
	return s.Order.SameRequest(other.Order) && s.Started == other.Started
}

// Revert returns the state after the new version was given up, with the verdict on it.
func Revert(s State, v rollout.Verdict) State {
	s.Phase, s.Verdict = Reverted, v
	return s
}

// Next returns the next state and whether it differs from s. Now is on the shared
// clock. A version that is not shown to be good by the deadline is reverted, because
// there is no way back from a shift that is complete.
func (p Plan) Next(s State, now time.Duration, e Evidence) (State, bool) {
	if s.Ended() {
		return s, false
	}
	if v := p.Verdict(e); v.Bad {
		return Revert(s, v), true
	}
	switch {
	case p.mayComplete(s, now, e):
		s.Phase = Complete
	case now >= p.schedule(s, e).revertAfter:
		return Revert(s, rollout.Verdict{}), true
	case p.mayStep(s, now, e):
		s.Share = p.schedule(s, e).shares[s.Step]
		s.Step++
		s.Stepped = now
	default:
		return s, false
	}
	return s, true
}

// mayComplete reports whether a shift after its last step may complete.
func (p Plan) mayComplete(s State, now time.Duration, e Evidence) bool {
	schedule := p.schedule(s, e)
	after := max(schedule.completeAfter, s.Stepped+schedule.minFullShare)
	return s.Step == lastStep && now >= after && p.isProven(e, p.CompletionProof)
}

// mayStep reports whether the next step may be made.
func (p Plan) mayStep(s State, now time.Duration, e Evidence) bool {
	if s.Step == lastStep || now < p.schedule(s, e).stepAfter[s.Step] {
		return false
	}
	return s.Step == 0 || p.isProven(e, p.StepProof)
}

// Verdict returns whether the evidence shows that the new version is bad, and on
// which metric.
func (p Plan) Verdict(e Evidence) rollout.Verdict {
	return p.compare(e, p.RevertEvidence)
}

func (p Plan) compare(e Evidence, threshold float64) rollout.Verdict {
	for _, counts := range e.comparisons() {
		if v := rollout.Compare(counts.New, counts.Old, counts.Before, p.Tolerance, threshold); v.Bad {
			return v
		}
	}
	return rollout.Verdict{}
}

// isProven reports whether the evidence that the new version is good reaches the
// threshold on errors and on speed, and the evidence against it is below HoldEvidence.
// The absence of failures among few answers is no proof.
func (p Plan) isProven(e Evidence, threshold float64) bool {
	if p.compare(e, p.HoldEvidence).Bad {
		return false
	}
	old := e.Old.Add(e.Before)
	overdue, oldOverdue := slowCounts(e.Overdue), slowCounts(e.OldOverdue)
	errors := rollout.EvidenceNotWorse(rollout.MetricErrors, e.New.Answers, old.Answers, p.Margin)
	slow := rollout.EvidenceNotWorse(rollout.MetricSlow, e.New.Paced.Add(overdue), old.Paced.Add(oldOverdue), p.Margin)
	if old.Started.Requests > 0 {
		late := rollout.EvidenceNotWorse(rollout.MetricSlow, e.New.Started.Add(overdue), old.Started.Add(oldOverdue), p.Margin)
		slow = min(slow, late)
	}
	return min(errors, slow) >= threshold
}

// slowCounts returns the counts of n slow answers.
func slowCounts(n int64) rollout.Counts { return rollout.Counts{Requests: n, Slow: n} }

// Share returns the fraction of sessions, 0 to 1, that get the new version.
func (p Plan) Share(s State) float64 {
	switch {
	case s.Phase == Complete:
		return 1
	case s.Phase == Reverted || s.Step == 0:
		return 0
	case s.Share > 0:
		return s.Share
	}
	// VMs of an earlier build write no share.
	return p.schedule(s, Evidence{}).shares[min(s.Step, lastStep)-1]
}

// GetsNewVersion reports whether a session gets the new version. Position is the
// hash of the session's key, 0 to 1, which is the same on all VMs.
func (p Plan) GetsNewVersion(s State, position float64) bool {
	return position < p.Share(s)
}
