package rollout

import (
	"sync"
	"time"

	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/vm"
)

// GuardOptions configures a Guard. Zero values select the defaults.
type GuardOptions struct {
	// Tolerance is how much worse the new version may be; default
	// DefaultTolerance.
	Tolerance Tolerance
	// EvidenceThreshold has the same meaning as in Options; default 10. It has
	// to grow with the number of VMs, see EvidenceThresholdFor.
	EvidenceThreshold float64
	// SlowAfter is the latency from which an attempt counts as slow; default 10 s.
	SlowAfter time.Duration
	// LowBelow is the rating below which an answer counts as low; default 0.5.
	LowBelow float64
}

// Defaults of GuardOptions.
const (
	defaultSlowAfter = 10 * time.Second
	defaultLowBelow  = 0.5
)

func (o GuardOptions) withDefaults() GuardOptions {
	setDefault(&o.Tolerance, DefaultTolerance)
	setDefault(&o.EvidenceThreshold, defaultEvidenceThreshold)
	setDefault(&o.SlowAfter, defaultSlowAfter)
	setDefault(&o.LowBelow, defaultLowBelow)
	return o
}

// Guard counts the results of a VM's own requests for the two versions of a
// roll-out, and stops the new version on this VM as soon as they show that it is
// bad. It is safe for concurrent use.
type Guard struct {
	plan    Plan
	vm      vm.ID
	domain  domain.ID
	options GuardOptions

	mu        sync.Mutex
	row       Progress
	newCounts Counts
	oldCounts Counts
	verdict   Verdict
	loading   bool
	raterOut  bool
}

// NewGuard returns the guard of a roll-out on the VM with the given ID in the
// failure domain d, with row as its first progress row.
func NewGuard(p Plan, row Progress, id vm.ID, d domain.ID, o GuardOptions) *Guard {
	return &Guard{plan: p, vm: id, domain: d, options: o.withDefaults(), row: row}
}

// Install replaces the progress row. It returns false, and changes nothing, if the
// guard already has a row of the same or a higher generation. The counts are reset
// at each new step, because the shares of the two versions change; a stop remains
// in effect.
func (g *Guard) Install(row Progress) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if row.Generation <= g.row.Generation {
		return false
	}
	if row.StepGeneration != g.row.StepGeneration {
		g.newCounts, g.oldCounts = Counts{}, Counts{}
	}
	g.row = row
	return true
}

// Row returns the progress row in force on this VM.
func (g *Guard) Row() Progress {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.row
}

// RecordAttempt records the end of an attempt on a version. Failed means that the
// upstream caused the failure; callers leave out refusals and attempts that the
// client cancelled. They should also leave out sessions that began before the
// roll-out: only the replaced version has such sessions, and their requests may
// differ from those of new sessions.
func (g *Guard) RecordAttempt(v model.VersionID, failed bool, latency time.Duration) {
	delta := Counts{Requests: 1}
	if failed {
		delta.Errors = 1
	} else if latency >= g.options.SlowAfter {
		delta.Slow = 1
	}
	g.add(v, delta)
}

// RecordRating records the rating, 0 to 1, of an answer of a version.
func (g *Guard) RecordRating(v model.VersionID, rating float64) {
	delta := Counts{Rated: 1, RatingSum: rating}
	if rating < g.options.LowBelow {
		delta.Low = 1
	}
	g.add(v, delta)
}

func (g *Guard) add(v model.VersionID, delta Counts) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch v {
	case g.plan.From:
		g.oldCounts = g.oldCounts.Add(delta)
	case g.plan.To:
		g.newCounts = g.newCounts.Add(delta)
		g.evaluate()
	}
}

// evaluate compares the versions while both serve new sessions. It is called only
// for results of the new version, and skips the statistical test while the new
// version's means are within the tolerance.
func (g *Guard) evaluate() {
	if g.verdict.Bad || g.row.Phase != Running {
		return
	}
	g.verdict = Compare(g.newCounts, g.oldCounts, g.row.Baseline, g.options.Tolerance, g.options.EvidenceThreshold)
}

// SetLoading records whether this VM's upstreams are still loading the new version.
func (g *Guard) SetLoading(loading bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.loading = loading
}

// SetRaterOut records whether this VM gets no ratings from the rating service.
func (g *Guard) SetRaterOut(out bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.raterOut = out
}

// SetPlan replaces the plan of the same roll-out. Its steps, Paused and Aborted may
// change; its versions must not. The counts and a stop are kept.
func (g *Guard) SetPlan(p Plan) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.plan = p
}

// Stop stops the new version on this VM because of a verdict from another source,
// such as a Watch. The first bad verdict is kept.
func (g *Guard) Stop(v Verdict) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if v.Bad && !g.verdict.Bad {
		g.verdict = v
	}
}

// Stopped returns the verdict and whether the guard has stopped the new version.
func (g *Guard) Stopped() (Verdict, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.verdict, g.verdict.Bad
}

// Assign returns the version for a new session on this VM. Withdrawn may be nil,
// which means that no version is withdrawn. Errors: ErrNoVersion.
func (g *Guard) Assign(key string, withdrawn func(model.VersionID) bool) (model.VersionID, error) {
	plan, row, local := g.snapshot(withdrawn)
	return Assign(plan, row, local, key)
}

// Serves reports whether a session that is pinned to the version is still served
// on this VM. Withdrawn may be nil, which means that no version is withdrawn.
func (g *Guard) Serves(v model.VersionID, withdrawn func(model.VersionID) bool) bool {
	plan, row, local := g.snapshot(withdrawn)
	return Serves(plan, row, local, v)
}

// snapshot returns a consistent copy of the plan, the row and this VM's state.
func (g *Guard) snapshot(withdrawn func(model.VersionID) bool) (Plan, Progress, LocalState) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.plan, g.row, LocalState{Domain: g.domain, Stopped: g.verdict.Bad, Withdrawn: withdrawn}
}

// Report returns this VM's report, an input of Decide.
func (g *Guard) Report(now time.Time) Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Report{
		VM:         g.vm,
		Domain:     g.domain,
		At:         now,
		Generation: g.row.Generation,
		NewCounts:  g.newCounts,
		OldCounts:  g.oldCounts,
		Stopped:    g.verdict.Bad,
		Verdict:    g.verdict,
		Loading:    g.loading,
		RaterOut:   g.raterOut,
	}
}
