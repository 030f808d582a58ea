package versions

import (
	"cmp"
	"slices"

	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/rollout"
)

// State is the state of a roll-out on this VM.
type State struct {
	ID      rollout.ID      `json:"id"`
	Model   model.Name      `json:"model"`
	Phase   rollout.Phase   `json:"phase"`
	Step    int             `json:"step"`
	Share   float64         `json:"share"`
	HeldFor rollout.Reason  `json:"held_for,omitempty"`
	Verdict rollout.Verdict `json:"verdict,omitzero"`
}

// States returns the states of all roll-outs, sorted by ID.
func (v *Versions) States() []State {
	v.mu.RLock()
	defer v.mu.RUnlock()
	states := make([]State, 0, len(v.guards))
	for id, guard := range v.guards {
		row, plan := guard.Row(), v.plans[id]
		s := State{ID: id, Model: plan.Model, Phase: row.Phase, Step: row.Step, HeldFor: row.HeldFor, Verdict: row.Verdict}
		if row.Step < len(plan.Steps) {
			s.Share = plan.Steps[row.Step].Share
		}
		states = append(states, s)
	}
	slices.SortFunc(states, func(a, b State) int { return cmp.Compare(a.ID, b.ID) })
	return states
}

// StoppedVersions returns the versions that get no new requests on this VM because
// they were found bad, sorted by model and version.
func (v *Versions) StoppedVersions() []model.Ref {
	v.mu.RLock()
	defer v.mu.RUnlock()
	var refs []model.Ref
	for ref := range v.watches {
		if v.isBad(ref) && v.hasUsableAlternative(ref) {
			refs = append(refs, ref)
		}
	}
	slices.SortFunc(refs, func(a, b model.Ref) int { return cmp.Compare(a.String(), b.String()) })
	return refs
}
