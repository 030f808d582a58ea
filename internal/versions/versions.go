// Package versions decides which version of a model new work on this VM gets,
// and stops versions that turn out bad.
//
// Each roll-out has a guard that counts what this VM's own requests show; each
// version in service has a watch. Both stop a version on this VM at once. The
// progress of roll-outs is read from the table, and this VM's reports are
// written there, at a rate that is constant for the whole group.
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

// Versions implements entry.Versions.
type Versions struct {
	self  vm.VM
	clock clockwork.Clock
	log   *slog.Logger
	stops *prometheus.CounterVec

	mu      sync.RWMutex
	index   *document.Index
	guards  map[rollout.ID]*rollout.Guard
	plans   map[rollout.ID]rollout.Plan
	watches map[model.Ref]*watched
	// raterOut says that this VM gets no ratings.
	raterOut bool
}

// watched is a version in service.
type watched struct {
	watch   *rollout.Watch
	added   rollout.Counts
	verdict rollout.Verdict
}

const (
	// slowAfter is the latency from which an answer counts as slow.
	slowAfter = 10 * time.Second
	// lowBelow is the rating below which an answer counts as low.
	lowBelow = 0.5
)

// New returns versions without a configuration.
func New(self vm.VM, clock clockwork.Clock, log *slog.Logger, reg prometheus.Registerer) *Versions {
	v := &Versions{
		self: self, clock: clock, log: log,
		guards: make(map[rollout.ID]*rollout.Guard), plans: make(map[rollout.ID]rollout.Plan),
		watches: make(map[model.Ref]*watched),
		stops: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "poplarshore", Name: "version_stops_total",
			Help: "Versions stopped on this VM as bad, by what noticed it.",
		}, []string{"by"}),
	}
	reg.MustRegister(v.stops)
	return v
}

// Install takes over the roll-outs of a configuration. A guard is kept while
// its plan's versions stay the same.
func (v *Versions) Install(x *document.Index) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.index = x
	guards := make(map[rollout.ID]*rollout.Guard)
	plans := make(map[rollout.ID]rollout.Plan)
	for _, plan := range x.Doc.Rollouts {
		plans[plan.ID] = plan
		if old, ok := v.guards[plan.ID]; ok && sameVersions(v.plans[plan.ID], plan) {
			old.SetPlan(plan)
			guards[plan.ID] = old
			continue
		}
		row := rollout.Begin(plan, v.clock.Now())
		if old, ok := v.guards[plan.ID]; ok {
			row = old.Row()
		}
		guards[plan.ID] = rollout.NewGuard(plan, row, v.self.ID, v.self.Domain, rollout.GuardOptions{SlowAfter: slowAfter, LowBelow: lowBelow})
	}
	for _, guard := range guards {
		guard.SetRaterOut(v.raterOut)
	}
	v.guards, v.plans = guards, plans
	v.installWatches(x)
}

// sameVersions tells whether a guard of one plan serves the other too.
func sameVersions(a, b rollout.Plan) bool {
	return a.Model == b.Model && a.From == b.From && a.To == b.To
}

func (v *Versions) installWatches(x *document.Index) {
	watches := make(map[model.Ref]*watched)
	for _, m := range x.Doc.Models {
		for _, version := range m.Versions {
			ref := model.Ref{Model: m.Name, Version: version.ID}
			watches[ref] = v.watches[ref]
			if watches[ref] == nil {
				watches[ref] = &watched{watch: rollout.NewWatch(rollout.WatchOptions{})}
			}
		}
	}
	v.watches = watches
}

// Assign implements entry.Versions.
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

// withOlder returns a version and, for the case that it can't serve, those
// declared before it, newest first. A version declared after it was not rolled
// out yet.
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

// Stopped implements entry.Versions. A version is not stopped where no other
// of its model is left to serve.
func (v *Versions) Stopped(ref model.Ref) bool {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.bad(ref) && v.otherLeft(ref)
}

func (v *Versions) bad(ref model.Ref) bool {
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

func stoppedByRow(row rollout.Progress, self vm.VM) bool {
	return row.Verdict.Bad && (row.Phase == rollout.RolledBack || row.StoppedIn(self.Domain))
}

func (v *Versions) otherLeft(ref model.Ref) bool {
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

// Ended takes in the end of an attempt on a version.
func (v *Versions) Ended(ref model.Ref, failed bool, latency time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if w := v.watches[ref]; w != nil {
		w.added.Requests++
		if failed {
			w.added.Errors++
		} else if latency > slowAfter {
			w.added.Slow++
		}
	}
	for id, guard := range v.guards {
		if v.plans[id].Model == ref.Model {
			v.feed(guard, ref, func() { guard.Ended(ref.Version, failed, latency) })
		}
	}
}

// Rated takes in the rating of an answer of a version.
func (v *Versions) Rated(ref model.Ref, score float64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if w := v.watches[ref]; w != nil {
		w.added.Rated++
		w.added.RatingSum += score
		if score < lowBelow {
			w.added.Low++
		}
	}
	for id, guard := range v.guards {
		if v.plans[id].Model == ref.Model {
			v.feed(guard, ref, func() { guard.Rated(ref.Version, score) })
		}
	}
}

// feed gives a guard evidence and notes when that makes it stop.
func (v *Versions) feed(guard *rollout.Guard, ref model.Ref, give func()) {
	_, before := guard.Stopped()
	give()
	if verdict, after := guard.Stopped(); after && !before {
		v.stops.WithLabelValues("guard").Inc()
		v.log.Warn("version stopped on this VM", "version", ref, "metric", verdict.Metric, "seen", verdict.Seen, "reference", verdict.Reference)
	}
}

// Watch judges the versions in service by what was added since the last call.
func (v *Versions) Watch() {
	v.mu.Lock()
	defer v.mu.Unlock()
	for ref, w := range v.watches {
		was := w.verdict.Bad
		w.verdict = w.watch.Observe(w.added)
		w.added = rollout.Counts{}
		if w.verdict.Bad && !was {
			v.stopGuards(ref, w.verdict)
			v.stops.WithLabelValues("watch").Inc()
			v.log.Warn("version turned bad", "version", ref, "metric", w.verdict.Metric, "seen", w.verdict.Seen, "reference", w.verdict.Reference)
		}
	}
}

// stopGuards stops the roll-outs to a version, so that reports carry the verdict
// to the others.
func (v *Versions) stopGuards(ref model.Ref, verdict rollout.Verdict) {
	for id, plan := range v.plans {
		if plan.Model == ref.Model && plan.To == ref.Version {
			v.guards[id].Stop(verdict)
		}
	}
}

// SetRaterOut says whether this VM gets no ratings; reports carry it to the
// holder of the roll-out job.
func (v *Versions) SetRaterOut(out bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.raterOut = out
	for _, guard := range v.guards {
		guard.SetRaterOut(out)
	}
	v.log.Warn("rating service", "out", out)
}
