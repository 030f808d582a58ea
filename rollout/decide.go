package rollout

import (
	"time"

	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/vm"
)

// Report is what one VM shows of a roll-out.
type Report struct {
	VM     vm.ID     `json:"vm"`
	Domain domain.ID `json:"domain"`
	// At is when the holder received the report, by its own clock.
	At time.Time `json:"at"`
	// Generation is the generation of the row in force on the VM.
	Generation uint64 `json:"generation"`
	// Fresh and Old are the counts of the new and the replaced version since
	// the step began.
	Fresh Counts `json:"fresh"`
	Old   Counts `json:"old"`
	// Stopped says that the VM's guard stopped the new version, with Verdict.
	Stopped bool    `json:"stopped,omitempty"`
	Verdict Verdict `json:"verdict,omitzero"`
	// Loading says that upstreams still load the new version.
	Loading bool `json:"loading,omitempty"`
	// RaterOut says that the VM gets no ratings.
	RaterOut bool `json:"rater_out,omitempty"`
	// Gone says that the VM has left: what it saw counts, its silence does not.
	Gone bool `json:"gone,omitempty"`
}

// Input is all that a decision rests on.
type Input struct {
	Plan Plan
	Row  Progress
	// Domains are the failure domains that hold VMs. Without any the roll-out
	// holds.
	Domains []domain.ID
	// Reports holds the newest report of each VM.
	Reports []Report
	// Withdrawn tells whether a version is withdrawn. Nil means none is.
	Withdrawn func(model.VersionID) bool
	// RaterOut says that the rating service gives no ratings. It also counts as
	// out if at least half of the VMs heard say so.
	RaterOut bool
	// Watched is the verdict of a Watch on the new version, if any.
	Watched Verdict
	Now     time.Time
}

// Kind says what a decision does.
type Kind string

// The kinds of decisions.
const (
	// Keep leaves the row as it is.
	Keep Kind = "keep"
	// Hold leaves the step as it is, for a reason.
	Hold Kind = "hold"
	// Advance goes to the next step.
	Advance Kind = "advance"
	// Finish ends the roll-out with the new version in service.
	Finish Kind = "finish"
	// StopDomain stops the new version in a failure domain.
	StopDomain Kind = "stop_domain"
	// RollBack ends the roll-out with the replaced version in service.
	RollBack Kind = "roll_back"
)

// Decision is the next row and what it means. The row is written by
// compare-and-swap against Input.Row if Changed; nothing of the decision is in
// force before that.
type Decision struct {
	Kind    Kind
	Reason  Reason
	Row     Progress
	Changed bool
	// Stalled says that operators are to be told that the roll-out stands still,
	// for Reason. It stays set as long as that is so.
	Stalled bool
	// Domain is the failure domain that Reason is about, if any.
	Domain domain.ID
}

// Options configure Decide. Zero values stand for the defaults.
type Options struct {
	// Tolerance is how much worse the new version may be.
	Tolerance Tolerance
	// Evidence is the natural logarithm of the inverse of the probability that
	// an equally good version is found bad on one metric, for each comparison
	// of a step; default 10 (4.5e-5). See EvidenceFor.
	Evidence float64
	// MinRequests and MinRatings are the counts of the new version, in all
	// domains of the step together, without which no step ends; defaults 200
	// and 30. A negative MinRatings is for models whose answers nobody rates.
	MinRequests int64
	MinRatings  int64
	// ReportMaxAge is the age from which a report is silence; default 30 s.
	ReportMaxAge time.Duration
	// StallAfter is how long after a step's dwell operators are told that it
	// has not ended; default 15 minutes.
	StallAfter time.Duration
}

const (
	defaultEvidence     = 10
	defaultMinRequests  = 200
	defaultMinRatings   = 30
	defaultReportMaxAge = 30 * time.Second
	defaultStallAfter   = 15 * time.Minute
	// domainsToRollBack is the number of stopped domains that end a roll-out.
	domainsToRollBack = 2
)

func (o Options) withDefaults() Options {
	setDefault(&o.Tolerance, DefaultTolerance)
	setDefault(&o.Evidence, defaultEvidence)
	setDefault(&o.MinRequests, defaultMinRequests)
	setDefault(&o.MinRatings, defaultMinRatings)
	setDefault(&o.ReportMaxAge, defaultReportMaxAge)
	setDefault(&o.StallAfter, defaultStallAfter)
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Decide returns what becomes of a roll-out. It is a function of its arguments
// alone: called twice on the same input it decides the same, and called on the
// row that it returned, at the same time and with the same reports, it changes
// nothing but for the reports' counts, which belong to the step that ended.
func Decide(in Input, o Options) Decision {
	o = o.withDefaults()
	d := newDecider(in, o)
	switch in.Row.Phase {
	case RolledBack:
		return d.keep(in.Row.HeldFor)
	case Done:
		return d.watch()
	default:
		return d.running()
	}
}
