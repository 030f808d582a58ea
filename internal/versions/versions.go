// Package versions selects the version of a model for new requests on this VM, and
// stops versions that are found bad.
//
// Each roll-out has a guard that counts the results of this VM's own requests. Each
// version in service has a watch. Both stop a version on this VM at once. Exchange
// reads the progress of roll-outs from the table and writes this VM's reports to it,
// at a rate that is limited for all VMs together.
package versions

import (
	"log/slog"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/poplarshore/poplarshore/document"
	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/rollout"
	"github.com/poplarshore/poplarshore/vm"
)

// Versions selects and stops versions on this VM. It implements entry.Versions and
// is safe for concurrent use.
type Versions struct {
	self  vm.VM
	clock clockwork.Clock
	log   *slog.Logger
	stops *prometheus.CounterVec

	mu      sync.RWMutex
	index   *document.Index
	guards  map[rollout.ID]*rollout.Guard
	plans   map[rollout.ID]rollout.Plan
	watches map[model.Ref]*watchedVersion
	// raterOut reports that this VM gets no ratings.
	raterOut bool
}

// watchedVersion is a version in service with its watch.
type watchedVersion struct {
	watch *rollout.Watch
	// pendingCounts are the counts added since the last call of EvaluateWatches.
	pendingCounts rollout.Counts
	verdict       rollout.Verdict
}

const (
	// slowAfter is the latency above which an answer counts as slow.
	slowAfter = 10 * time.Second
	// lowBelow is the rating below which an answer counts as low.
	lowBelow = 0.5
)

// New returns a Versions without a configuration. It registers its metrics with reg.
func New(self vm.VM, clock clockwork.Clock, log *slog.Logger, reg prometheus.Registerer) *Versions {
	v := &Versions{
		self: self, clock: clock, log: log,
		guards: make(map[rollout.ID]*rollout.Guard), plans: make(map[rollout.ID]rollout.Plan),
		watches: make(map[model.Ref]*watchedVersion),
		stops: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "poplarshore", Name: "version_stops_total",
			Help: "Versions stopped on this VM as bad, by what noticed it.",
		}, []string{"by"}),
	}
	reg.MustRegister(v.stops)
	return v
}

// Install replaces the configuration. The guard of a roll-out keeps its counts if
// the model and the versions of the plan are unchanged; otherwise a new guard starts
// from the old one's progress row. The watches of versions that remain are kept.
func (v *Versions) Install(x *document.Index) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.index = x
	guards := make(map[rollout.ID]*rollout.Guard)
	plans := make(map[rollout.ID]rollout.Plan)
	for _, plan := range x.Doc.Rollouts {
		plans[plan.ID] = plan
		if guard, ok := v.guards[plan.ID]; ok && sameVersions(v.plans[plan.ID], plan) {
			guard.SetPlan(plan)
			guards[plan.ID] = guard
			continue
		}
		row := rollout.Begin(plan, v.clock.Now())
		if guard, ok := v.guards[plan.ID]; ok {
			row = guard.Row()
		}
		guards[plan.ID] = rollout.NewGuard(plan, row, v.self.ID, v.self.Domain, rollout.GuardOptions{SlowAfter: slowAfter, LowBelow: lowBelow})
	}
	for _, guard := range guards {
		guard.SetRaterOut(v.raterOut)
	}
	v.guards, v.plans = guards, plans
	v.installWatches(x)
}

// sameVersions reports whether a guard of plan a can be used for plan b.
func sameVersions(a, b rollout.Plan) bool {
	return a.Model == b.Model && a.From == b.From && a.To == b.To
}

func (v *Versions) installWatches(x *document.Index) {
	watches := make(map[model.Ref]*watchedVersion)
	for _, m := range x.Doc.Models {
		for _, version := range m.Versions {
			ref := model.Ref{Model: m.Name, Version: version.ID}
			watches[ref] = v.watches[ref]
			if watches[ref] == nil {
				watches[ref] = &watchedVersion{watch: rollout.NewWatch(rollout.WatchOptions{})}
			}
		}
	}
	v.watches = watches
}

// Assign implements entry.Versions. It returns the version for new requests with the
// key first and older versions after it, or nil if the model is unknown. If neither
// version of a roll-out may serve, it starts with the replaced one.
func (v *Versions) Assign(x *document.Index, name model.Name, key string) []model.Ref {
	m := x.Model(name)
	if m == nil {
		return nil
	}
	plan := x.Rollout(name)
	if plan == nil {
		return withOlder(m, m.Current)
	}
	guard := v.guard(plan.ID)
	if guard == nil {
		return withOlder(m, plan.From)
	}
	version, err := guard.Assign(key, func(id model.VersionID) bool {
		return x.Withdrawn(model.Ref{Model: name, Version: id})
	})
	if err != nil {
		return withOlder(m, plan.From)
	}
	return withOlder(m, version)
}

// withOlder returns a version followed by the versions declared before it, newest
// first, as fallbacks if it cannot serve. Versions declared after it are left out,
// because they have not been rolled out yet.
func withOlder(m *model.Model, first model.VersionID) []model.Ref {
	refs := make([]model.Ref, 0, len(m.Versions))
	for i := len(m.Versions) - 1; i >= 0; i-- {
		id := m.Versions[i].ID
		if id == first || len(refs) > 0 {
			refs = append(refs, model.Ref{Model: m.Name, Version: id})
		}
	}
	return refs
}

func (v *Versions) guard(id rollout.ID) *rollout.Guard {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.guards[id]
}

// Stopped implements entry.Versions. A bad version is not stopped if no other version
// of its model can serve.
func (v *Versions) Stopped(ref model.Ref) bool {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.isBad(ref) && v.hasUsableAlternative(ref)
}

// isBad reports whether a version was found bad by its watch, by the guard of its
// roll-out or by the roll-out's progress row. The caller holds v.mu.
func (v *Versions) isBad(ref model.Ref) bool {
	if w := v.watches[ref]; w != nil && w.verdict.Bad {
		return true
	}
	for id, plan := range v.plans {
		if plan.Model != ref.Model || plan.To != ref.Version {
			continue
		}
		guard := v.guards[id]
		if _, stopped := guard.Stopped(); stopped || stoppedByRow(guard.Row(), v.self) {
			return true
		}
	}
	return false
}

// stoppedByRow reports whether the row stops the new version, as bad, on the VM.
func stoppedByRow(row rollout.Progress, self vm.VM) bool {
	return row.Verdict.Bad && (row.Phase == rollout.RolledBack || row.StoppedIn(self.Domain))
}

// hasUsableAlternative reports whether another version of the model is not withdrawn,
// has engines and was not found bad by its watch. The caller holds v.mu.
func (v *Versions) hasUsableAlternative(ref model.Ref) bool {
	m := v.index.Model(ref.Model)
	if m == nil {
		return false
	}
	for _, version := range m.Versions {
		other := model.Ref{Model: m.Name, Version: version.ID}
		if other == ref || v.index.Withdrawn(other) || len(v.index.Engines(other)) == 0 {
			continue
		}
		if w := v.watches[other]; w == nil || !w.verdict.Bad {
			return true
		}
	}
	return false
}

// RecordAttempt records the end of an attempt on a version. Failed means that the upstream
// caused the failure.
func (v *Versions) RecordAttempt(ref model.Ref, failed bool, latency time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if w := v.watches[ref]; w != nil {
		w.pendingCounts.Requests++
		if failed {
			w.pendingCounts.Errors++
		} else if latency > slowAfter {
			w.pendingCounts.Slow++
		}
	}
	for id, guard := range v.guards {
		if v.plans[id].Model == ref.Model {
			v.recordOnGuard(guard, ref, func() { guard.RecordAttempt(ref.Version, failed, latency) })
		}
	}
}

// RecordRating records the rating, 0 to 1, of an answer of a version.
func (v *Versions) RecordRating(ref model.Ref, rating float64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if w := v.watches[ref]; w != nil {
		w.pendingCounts.Rated++
		w.pendingCounts.RatingSum += rating
		if rating < lowBelow {
			w.pendingCounts.Low++
		}
	}
	for id, guard := range v.guards {
		if v.plans[id].Model == ref.Model {
			v.recordOnGuard(guard, ref, func() { guard.RecordRating(ref.Version, rating) })
		}
	}
}

// recordOnGuard adds evidence to a guard by calling record, and counts and logs it if
// the guard stops its version because of it.
func (v *Versions) recordOnGuard(guard *rollout.Guard, ref model.Ref, record func()) {
	_, stoppedBefore := guard.Stopped()
	record()
	if verdict, stoppedAfter := guard.Stopped(); stoppedAfter && !stoppedBefore {
		v.stops.WithLabelValues("guard").Inc()
		v.log.Warn("guard stopped version on this VM", "version", ref,
			"metric", verdict.Metric, "seen", verdict.Seen, "reference", verdict.Reference)
	}
}

// EvaluateWatches judges the versions in service by the counts added since the last
// call. Exchange calls it once per round.
func (v *Versions) EvaluateWatches() {
	v.mu.Lock()
	defer v.mu.Unlock()
	for ref, w := range v.watches {
		wasBad := w.verdict.Bad
		w.verdict = w.watch.Observe(w.pendingCounts)
		w.pendingCounts = rollout.Counts{}
		if w.verdict.Bad && !wasBad {
			v.stopGuards(ref, w.verdict)
			v.stops.WithLabelValues("watch").Inc()
			v.log.Warn("watch found version in service bad; stopped on this VM", "version", ref,
				"metric", w.verdict.Metric, "seen", w.verdict.Seen, "reference", w.verdict.Reference)
		}
	}
}

// stopGuards stops the version in the guards of roll-outs to it, so that this VM's
// reports pass the verdict on to the holder of the roll-out job.
func (v *Versions) stopGuards(ref model.Ref, verdict rollout.Verdict) {
	for id, plan := range v.plans {
		if plan.Model == ref.Model && plan.To == ref.Version {
			v.guards[id].Stop(verdict)
		}
	}
}

// SetRaterOut records whether this VM gets no ratings. Reports pass it on to the
// holder of the roll-out job.
func (v *Versions) SetRaterOut(out bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.raterOut = out
	for _, guard := range v.guards {
		guard.SetRaterOut(out)
	}
	v.log.Warn("availability of the rating service changed", "out", out)
}
