package rollout

import (
	"sync"
	"time"

	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/vm"
)

// GuardOptions configure a Guard. Zero values stand for the defaults.
type GuardOptions struct {
	// Tolerance is how much worse the new version may be.
	Tolerance Tolerance
	// Evidence is that of Options; default 10. With many VMs it has to grow, see
	// EvidenceFor.
	Evidence float64
	// SlowAfter is the latency from which an answer counts as slow; default 10 s.
	SlowAfter time.Duration
	// LowBelow is the rating below which an answer counts as low; default 0.5.
	LowBelow float64
}

const (
	defaultSlowAfter = 10 * time.Second
	defaultLowBelow  = 0.5
)

func (o GuardOptions) withDefaults() GuardOptions {
	setDefault(&o.Tolerance, DefaultTolerance)
	setDefault(&o.Evidence, defaultEvidence)
	setDefault(&o.SlowAfter, defaultSlowAfter)
	setDefault(&o.LowBelow, defaultLowBelow)
	return o
}

// Guard counts what a VM's own requests show of a roll-out's two versions and
// stops the new one on this VM as soon as it is shown to be bad. It is safe for
// concurrent use.
type Guard struct {
	plan    Plan
	vm      vm.ID
	domain  domain.ID
	options GuardOptions

	mu       sync.Mutex
	row      Progress
	fresh    Counts
	old      Counts
	verdict  Verdict
	loading  bool
	raterOut bool
}

// NewGuard returns the guard of a roll-out on a VM in the failure domain.
func NewGuard(p Plan, row Progress, id vm.ID, d domain.ID, o GuardOptions) *Guard {
	return &Guard{plan: p, vm: id, domain: d, options: o.withDefaults(), row: row}
}

// Install takes in a row. It returns false, and changes nothing, if the guard
// has seen a row of the same or a higher generation. Evidence starts anew with
// each step, as the two versions' shares change; a stop stays.
func (g *Guard) Install(row Progress) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if row.Generation <= g.row.Generation {
		return false
	}
	if row.StepGeneration != g.row.StepGeneration {
		g.fresh, g.old = Counts{}, Counts{}
	}
	g.row = row
	return true
}

// Row returns the row in force on this VM.
func (g *Guard) Row() Progress {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.row
}

// Ended takes in the end of an attempt on a version. Failed means by the fault
// of the upstream; refusals and cancellations by the caller are left out. Best
// left out, too, are sessions that began before the roll-out: only the replaced
// version has them, and they may be unlike new ones.
func (g *Guard) Ended(v model.VersionID, failed bool, latency time.Duration) {
	added := Counts{Requests: 1}
	if failed {
		added.Errors = 1
	} else if latency >= g.options.SlowAfter {
		added.Slow = 1
	}
	g.add(v, added)
}

// Rated takes in the rating, 0 to 1, of an answer of a version.
func (g *Guard) Rated(v model.VersionID, score float64) {
	added := Counts{Rated: 1, RatingSum: score}
	if score < g.options.LowBelow {
		added.Low = 1
	}
	g.add(v, added)
}

func (g *Guard) add(v model.VersionID, added Counts) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch v {
	case g.plan.From:
		g.old = g.old.Add(added)
	case g.plan.To:
		g.fresh = g.fresh.Add(added)
		g.judge()
	}
}

// judge compares the versions while both serve new sessions. It is called for
// each attempt on the new version alone, and costs nothing while its means are
// within the tolerance.
func (g *Guard) judge() {
	if g.verdict.Bad || g.row.Phase != Running {
		return
	}
	g.verdict = Compare(g.fresh, g.old, g.row.Baseline, g.options.Tolerance, g.options.Evidence)
}

// SetLoading says whether this VM's upstreams still load the new version.
func (g *Guard) SetLoading(loading bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.loading = loading
}

// SetRaterOut says whether this VM gets no ratings from the rating service.
func (g *Guard) SetRaterOut(out bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.raterOut = out
}

// SetPlan takes over a changed plan of the same roll-out: its steps, or that it
// is paused or aborted. Evidence and a stop are kept; versions must stay.
func (g *Guard) SetPlan(p Plan) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.plan = p
}

// Stop stops the new version on this VM on a verdict from elsewhere, such as a
// Watch's. The first verdict stays.
func (g *Guard) Stop(v Verdict) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if v.Bad && !g.verdict.Bad {
		g.verdict = v
	}
}

// Stopped tells whether the guard has stopped the new version, and why.
func (g *Guard) Stopped() (Verdict, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.verdict, g.verdict.Bad
}

// Assign returns the version that a new session on this VM gets. Withdrawn may
// be nil. Errors: ErrNoVersion.
func (g *Guard) Assign(key string, withdrawn func(model.VersionID) bool) (model.VersionID, error) {
	plan, row, local := g.known(withdrawn)
	return Assign(plan, row, local, key)
}

// Serves tells whether a session that is pinned to the version is still served
// on this VM. Withdrawn may be nil.
func (g *Guard) Serves(v model.VersionID, withdrawn func(model.VersionID) bool) bool {
	plan, row, local := g.known(withdrawn)
	return Serves(plan, row, local, v)
}

// known returns what this VM knows of the roll-out at one moment.
func (g *Guard) known(withdrawn func(model.VersionID) bool) (Plan, Progress, Local) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.plan, g.row, Local{Domain: g.domain, Stopped: g.verdict.Bad, Withdrawn: withdrawn}
}

// Report returns what this VM shows, for Decide.
func (g *Guard) Report(now time.Time) Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Report{
		VM:         g.vm,
		Domain:     g.domain,
		At:         now,
		Generation: g.row.Generation,
		Fresh:      g.fresh,
		Old:        g.old,
		Stopped:    g.verdict.Bad,
		Verdict:    g.verdict,
		Loading:    g.loading,
		RaterOut:   g.raterOut,
	}
}
