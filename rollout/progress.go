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
	// ErrInvalid reports a progress row that cannot be encoded or decoded.
	ErrInvalid = namespace.NewType("invalid")
	// ErrNoVersion reports that neither version of a roll-out may serve.
	ErrNoVersion = namespace.NewType("no_version")
	// ErrLastVersion reports a withdrawal that would leave no version of a model.
	ErrLastVersion = namespace.NewType("last_version")
)

// Phase is the state of a roll-out.
type Phase string

// Phases of a roll-out.
const (
	// Running: the current step determines the share of new sessions that get
	// the new version.
	Running Phase = "running"
	// Done: all new sessions get the new version.
	Done Phase = "done"
	// RolledBack: all new sessions get the replaced version.
	RolledBack Phase = "rolled_back"
)

// Reason is why a roll-out holds, stops in a failure domain or was rolled back.
type Reason string

// Reasons, as returned in Decision.Reason and stored in Progress.HeldFor.
const (
	ReasonNone              Reason = ""
	ReasonDwell             Reason = "dwell"
	ReasonPaused            Reason = "paused"
	ReasonSilent            Reason = "domain_silent" // a failure domain of the step lacks recent reports
	ReasonLoading           Reason = "version_not_loaded"
	ReasonRaterOut          Reason = "rater_out"
	ReasonRequests          Reason = "too_few_requests"
	ReasonRatings           Reason = "too_few_ratings"
	ReasonSuspect           Reason = "suspect" // evidence against the new version, too weak to stop it
	ReasonDomainStop        Reason = "domain_stopped"
	ReasonAborted           Reason = "aborted"
	ReasonWithdrawn         Reason = "withdrawn"
	ReasonBad               Reason = "bad"
	ReasonNoFallbackVersion Reason = "no_version_to_return_to" // the new version is bad, the replaced one withdrawn
	ReasonPlanMismatch      Reason = "plan_changed"            // the plan no longer has the step of the row
)

// Progress is the progress row of a roll-out in the table service.
type Progress struct {
	ID ID `json:"id"`
	// Generation increases by one with each change of the row.
	Generation uint64 `json:"generation"`
	Phase      Phase  `json:"phase"`
	// Step is the index of the current step in the plan.
	Step int `json:"step"`
	// Since is when the step began, by the clock of the process that held the
	// roll-out job at that time.
	Since time.Time `json:"since"`
	// StepGeneration is the generation in which the step, or the period after
	// the last step, began. Only reports of VMs with at least this generation
	// are evidence on it.
	StepGeneration uint64 `json:"step_generation"`
	// Stopped lists the failure domains in which the new version is stopped.
	Stopped []domain.ID `json:"stopped,omitempty"`
	// HeldFor is why the roll-out does not proceed; empty while it does.
	HeldFor Reason `json:"held_for,omitempty"`
	// HeldSince is when HeldFor was last set, or when the roll-out ended.
	HeldSince time.Time `json:"held_since,omitzero"`
	// Baseline holds the counts of the replaced version from before the
	// roll-out.
	Baseline Counts `json:"baseline,omitzero"`
	// Verdict is the cause of a stop, if there was one.
	Verdict Verdict `json:"verdict,omitzero"`
}

// Begin returns the first row of a roll-out.
func Begin(p Plan, now time.Time) Progress {
	return Progress{ID: p.ID, Generation: 1, StepGeneration: 1, Phase: Running, Since: now}
}

// WithBaseline returns the row with the counts of the replaced version from before
// the roll-out. It is called on the first row; the baseline must not change later.
func (p Progress) WithBaseline(counts Counts) Progress {
	p.Baseline = counts
	return p
}

// StoppedIn reports whether the new version is stopped in the failure domain.
func (p Progress) StoppedIn(d domain.ID) bool {
	return slices.Contains(p.Stopped, d)
}

// Newer returns the row with the higher generation, or p if they are equal.
func (p Progress) Newer(o Progress) Progress {
	if o.Generation > p.Generation {
		return o
	}
	return p
}

// Equal reports whether both rows have the same contents.
func (p Progress) Equal(o Progress) bool {
	return p.ID == o.ID && p.Generation == o.Generation && p.Phase == o.Phase && p.Step == o.Step &&
		p.StepGeneration == o.StepGeneration && p.Since.Equal(o.Since) && slices.Equal(p.Stopped, o.Stopped) &&
		p.HeldFor == o.HeldFor && p.HeldSince.Equal(o.HeldSince) &&
		p.Baseline == o.Baseline && p.Verdict == o.Verdict
}

// Encode returns the row as JSON. Errors: ErrInvalid.
func (p Progress) Encode() ([]byte, error) {
	encoded, err := json.Marshal(p)
	if err != nil {
		return nil, ErrInvalid.Wrap(err, "encode progress row of roll-out %q", p.ID)
	}
	return encoded, nil
}

// maxGeneration is the highest valid generation of a progress row.
const maxGeneration = 1 << 40

// DecodeProgress parses a progress row. Unknown fields are ignored, so that an older
// program can read a row from a newer one. Errors: ErrInvalid.
func DecodeProgress(encoded []byte) (Progress, error) {
	var p Progress
	if err := json.Unmarshal(encoded, &p); err != nil {
		return Progress{}, ErrInvalid.Wrap(err, "decode progress row")
	}
	validPhase := p.Phase == Running || p.Phase == Done || p.Phase == RolledBack
	validGeneration := p.Generation > 0 && p.Generation <= maxGeneration && p.StepGeneration <= p.Generation
	if p.ID == "" || !validGeneration || p.Step < 0 || !validPhase || !p.Baseline.valid() {
		return Progress{}, ErrInvalid.New("invalid progress row of roll-out %q: generation %d, step %d, phase %q",
			p.ID, p.Generation, p.Step, p.Phase)
	}
	return p, nil
}
