package rollout

import (
	"time"

	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/model"
)

// ID identifies a roll-out.
type ID string

// MaxDwellSeconds is the maximum of Step.DwellSeconds, 366 days. Dwell treats higher
// values as this one.
const MaxDwellSeconds = 366 * 24 * 60 * 60

// Step is one stage of a roll-out.
type Step struct {
	// Share is the fraction of new sessions that get the new version, 0 to 1.
	Share float64 `json:"share"`
	// DwellSeconds is the minimum time on this step, in seconds.
	DwellSeconds int64 `json:"dwell_seconds"`
	// Domains limits the step to VMs in these failure domains; empty means all.
	Domains []domain.ID `json:"domains,omitempty"`
}

// Dwell returns the minimum time on the step.
func (s Step) Dwell() time.Duration {
	return time.Duration(min(max(s.DwellSeconds, 0), MaxDwellSeconds)) * time.Second
}

// Plan is a roll-out as declared by the operators.
type Plan struct {
	ID    ID              `json:"id"`
	Model model.Name      `json:"model"`
	From  model.VersionID `json:"from"`
	To    model.VersionID `json:"to"`
	Steps []Step          `json:"steps"`
	// Paused keeps the roll-out on its current step.
	Paused bool `json:"paused,omitempty"`
	// Aborted directs all new sessions to From.
	Aborted bool `json:"aborted,omitempty"`
}
