package rollout

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/joomcode/errorx"

	"github.com/poplarshore/poplarshore/domain"
)

var namespace = errorx.NewNamespace("rollout")

var (
	// ErrInvalid reports a progress row that can't be read.
	ErrInvalid = namespace.NewType("invalid")
	// ErrNoVersion reports that neither version of a roll-out may be used.
	ErrNoVersion = namespace.NewType("no_version")
	// ErrLastVersion reports a withdrawal that would leave none.
	ErrLastVersion = namespace.NewType("last_version")
)

// Phase is the state of a roll-out.
type Phase string

// The phases.
const (
	// Running: sessions are shared out by the step.
	Running Phase = "running"
	// Done: all new sessions get the new version.
	Done Phase = "done"
	// RolledBack: all new sessions get the replaced version.
	RolledBack Phase = "rolled_back"
)

// Reason says why a roll-out holds, stops or was rolled back.
type Reason string

// The reasons.
const (
	ReasonNone         Reason = ""
	ReasonDwell        Reason = "dwell"
	ReasonPaused       Reason = "paused"
	ReasonSilent       Reason = "domain_silent"
	ReasonLoading      Reason = "version_not_loaded"
	ReasonRaterOut     Reason = "rater_out"
	ReasonRequests     Reason = "too_few_requests"
	ReasonRatings      Reason = "too_few_ratings"
	ReasonSuspect      Reason = "suspect"
	ReasonDomainStop   Reason = "domain_stopped"
	ReasonAborted      Reason = "aborted"
	ReasonWithdrawn    Reason = "withdrawn"
	ReasonBad          Reason = "bad"
	ReasonNoWayBack    Reason = "no_version_to_return_to"
	ReasonPlanMismatch Reason = "plan_changed"
)

// Progress is the row of a roll-out in the table service.
type Progress struct {
	ID ID `json:"id"`
	// Generation grows by one with each change of the row.
	Generation uint64 `json:"generation"`
	Phase      Phase  `json:"phase"`
	// Step is the index of the current step in the plan.
	Step int `json:"step"`
	// Since is when the step began, by the clock of the holder at that time.
	Since time.Time `json:"since"`
	// StepGeneration is the generation in which the step, or the time after the
	// last one, began; its evidence is that of VMs with at least this generation.
	StepGeneration uint64 `json:"step_generation"`
	// Stopped lists the failure domains in which the new version is stopped.
	Stopped []domain.ID `json:"stopped,omitempty"`
	// HeldFor is why the roll-out does not go on, empty while it does.
	HeldFor Reason `json:"held_for,omitempty"`
	// HeldSince is when HeldFor took its value or the roll-out ended.
	HeldSince time.Time `json:"held_since,omitzero"`
	// Baseline is what was known of the replaced version before the roll-out.
	Baseline Counts `json:"baseline,omitzero"`
	// Verdict is what led to a stop, if any.
	Verdict Verdict `json:"verdict,omitzero"`
}

// Begin returns the first row of a roll-out.
func Begin(p Plan, now time.Time) Progress {
	return Progress{ID: p.ID, Generation: 1, StepGeneration: 1, Phase: Running, Since: now}
}

// WithBaseline returns the first row with what was seen of the replaced version
// before the roll-out. It must not change later.
func (p Progress) WithBaseline(seen Counts) Progress {
	p.Baseline = seen
	return p
}

// StoppedIn tells whether the new version is stopped in the failure domain.
func (p Progress) StoppedIn(d domain.ID) bool {
	return slices.Contains(p.Stopped, d)
}

// Newer returns the row of the higher generation; p if they are equal.
func (p Progress) Newer(o Progress) Progress {
	if o.Generation > p.Generation {
		return o
	}
	return p
}

// Equal tells whether both rows are the same.
func (p Progress) Equal(o Progress) bool {
	return p.ID == o.ID && p.Generation == o.Generation && p.Phase == o.Phase && p.Step == o.Step &&
		p.StepGeneration == o.StepGeneration && p.Since.Equal(o.Since) && slices.Equal(p.Stopped, o.Stopped) &&
		p.HeldFor == o.HeldFor && p.HeldSince.Equal(o.HeldSince) &&
		p.Baseline == o.Baseline && p.Verdict == o.Verdict
}

// Encode returns the row as JSON.
func (p Progress) Encode() ([]byte, error) {
	text, err := json.Marshal(p)
	if err != nil {
		return nil, ErrInvalid.Wrap(err, "row of %q", p.ID)
	}
	return text, nil
}

// DecodeProgress parses a row. Unknown fields are kept out and tolerated, so
// that an older program reads a newer row. Errors: ErrInvalid.
func DecodeProgress(text []byte) (Progress, error) {
	var p Progress
	if err := json.Unmarshal(text, &p); err != nil {
		return Progress{}, ErrInvalid.Wrap(err, "row")
	}
	known := p.Phase == Running || p.Phase == Done || p.Phase == RolledBack
	if p.ID == "" || p.Generation == 0 || p.Step < 0 || !known {
		return Progress{}, ErrInvalid.New("row of %q: generation %d, step %d, phase %q", p.ID, p.Generation, p.Step, p.Phase)
	}
	return p, nil
}
