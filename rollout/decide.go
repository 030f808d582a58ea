package rollout

import (
	"encoding/json"
	"time"

	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/vm"
)

// Report holds the state and the counts of a roll-out on one VM.
type Report struct {
	VM     vm.ID     `json:"vm"`
	Domain domain.ID `json:"domain"`
	// At is when the VM made the report, by its own clock.
	At time.Time `json:"at"`
	// Generation is the generation of the row in force on the VM.
	Generation uint64 `json:"generation"`
	// NewCounts and OldCounts are the counts of the new and of the replaced version since
	// the step began.
	NewCounts Counts `json:"fresh"`
	OldCounts Counts `json:"old"`
	// Stopped reports that the VM's guard stopped the new version. Verdict is
	// the reason.
	Stopped bool    `json:"stopped,omitempty"`
	Verdict Verdict `json:"verdict,omitzero"`
	// Loading reports that upstreams are still loading the new version.
	Loading bool `json:"loading,omitempty"`
	// RaterOut reports that the VM gets no ratings.
	RaterOut bool `json:"rater_out,omitempty"`
	// Gone reports that the VM no longer exists. Its counts are still used, but
	// a missing or outdated report does not hold the roll-out.
	Gone bool `json:"gone,omitempty"`
}

// DecodeReport parses a report. Unknown fields are ignored, so that an older program can read
// a report of a newer one. Errors: ErrInvalid, also for counts that no VM has counted.
func DecodeReport(encoded []byte) (Report, error) {
	var r Report
	if err := json.Unmarshal(encoded, &r); err != nil {
		return Report{}, ErrInvalid.Wrap(err, "decode report")
	}
	if r.VM == "" || r.Generation > maxGeneration || !r.NewCounts.valid() || !r.OldCounts.valid() {
		return Report{}, ErrInvalid.New("invalid report of VM %q: generation %d, counts %+v and %+v",
			r.VM, r.Generation, r.NewCounts, r.OldCounts)
	}
	return r, nil
}

// Input holds all data on which a decision is based.
type Input struct {
	Plan Plan
	Row  Progress
	// Domains are the failure domains that have VMs. If there are none the
	// roll-out holds, unless the step names its own domains.
	Domains []domain.ID
	// Reports holds the most recent report of each VM.
	Reports []Report
	// Withdrawn reports whether a version is withdrawn. Nil means that none is.
	Withdrawn func(model.VersionID) bool
	// RaterOut reports that the rating service gives no ratings. The same is
	// assumed if at least half of the live VMs report that they get none.
	RaterOut bool
	// WatchVerdict is the verdict of a Watch of the new version, if there is one.
	WatchVerdict Verdict
	Now          time.Time
}

// Kind is the effect of a decision.
type Kind string

// Kinds of decisions.
const (
	// Keep leaves the row unchanged.
	Keep Kind = "keep"
	// Hold stays on the step, for the reason given.
	Hold Kind = "hold"
	// Advance starts the next step.
	Advance Kind = "advance"
	// Finish ends the roll-out: all new sessions get the new version.
	Finish Kind = "finish"
	// StopDomain stops the new version in one failure domain.
	StopDomain Kind = "stop_domain"
	// RollBack ends the roll-out: all new sessions get the replaced version.
	RollBack Kind = "roll_back"
)

// Decision is the next row and its meaning. If Changed, the caller writes Row by
// compare-and-swap against Input.Row; the decision takes effect only when that
// write succeeds.
type Decision struct {
	Kind    Kind
	Reason  Reason
	Row     Progress
	Changed bool
	// Stalled reports that operators should be notified that the roll-out does
	// not proceed, because of Reason. It is set in each decision while that is
	// the case.
	Stalled bool
	// Domain is the failure domain that Reason refers to, if any.
	Domain domain.ID
}

// Options configures Decide. Zero values select the defaults.
type Options struct {
	// Tolerance is how much worse the new version may be; default
	// DefaultTolerance.
	Tolerance Tolerance
	// EvidenceThreshold is the natural logarithm of the inverse of the
	// probability that an equally good version is found bad on one metric, for
	// each comparison of a step; default 10 (a probability of 4.5e-5). See
	// EvidenceThresholdFor.
	EvidenceThreshold float64
	// MinRequests and MinRatings are the numbers of requests and of ratings of
	// the new version, in all failure domains of the step together, that a step
	// needs to end; defaults 200 and 30. A negative MinRatings requires no
	// ratings, for models whose answers are not rated.
	MinRequests int64
	MinRatings  int64
	// ReportMaxAge is the age above which a report counts as missing; default
	// 30 s.
	ReportMaxAge time.Duration
	// StallAfter is the time after the end of a step's dwell from which a step
	// that has not ended is reported as stalled; default 15 minutes.
	StallAfter time.Duration
}

// Defaults of Options.
const (
	defaultEvidenceThreshold = 10
	defaultMinRequests       = 200
	defaultMinRatings        = 30
	defaultReportMaxAge      = 30 * time.Second
	defaultStallAfter        = 15 * time.Minute
	// domainsToRollBack is the number of stopped failure domains from which the
	// whole roll-out is rolled back.
	domainsToRollBack = 2
)

func (o Options) withDefaults() Options {
	setDefault(&o.Tolerance, DefaultTolerance)
	setDefault(&o.EvidenceThreshold, defaultEvidenceThreshold)
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

// Decide returns the next decision on a roll-out. It depends only on its arguments:
// two calls with the same input return the same decision. A call on the row that it
// returned, at the same time and with the same reports, changes nothing more: if
// the step has ended, the counts in those reports belong to the ended step and are
// not used.
func Decide(in Input, o Options) Decision {
	o = o.withDefaults()
	d := newDecider(in, o)
	switch in.Row.Phase {
	case RolledBack:
		return d.keep(in.Row.HeldFor)
	case Done:
		return d.decideDone()
	default:
		return d.decideRunning()
	}
}
