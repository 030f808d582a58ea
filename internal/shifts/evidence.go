package shifts

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/poplarshore/poplarshore/internal/watch"
	"github.com/poplarshore/poplarshore/rollout"
	"github.com/poplarshore/poplarshore/rollout/shift"
	"github.com/poplarshore/poplarshore/vm"
)

const (
	// minEvidenceInterval is the minimum time between two writes of evidence that has new
	// failures.
	minEvidenceInterval = 300 * time.Millisecond
	// Evidence without new failures is written less often: with few VMs every
	// minCountsInterval, with many at countsIntervalPerVM for each VM, so that their
	// writes together stay below a rate of 1/countsIntervalPerVM.
	minCountsInterval   = time.Second
	countsIntervalPerVM = 25 * time.Millisecond
	// firstCountsFraction is the fraction of an order's duration after which all VMs
	// publish how many requests they got, for the first step.
	firstCountsFraction = 0.4
)

// observed holds the observations of both versions in a shift. New and Old cover the
// same VMs and the same time, from the first step on, so that they can be compared;
// Before is what the old version did before that step.
type observed struct {
	New    shift.Observations `json:"seen"`
	Old    shift.Observations `json:"old"`
	Before shift.Observations `json:"before"`
	// Overdue is the number of attempts in progress on the new version that are slow, as far
	// as the time until now shows, and OldOverdue that on the old one. VMs of an earlier build
	// write only the first.
	Overdue    int64 `json:"overdue,omitzero"`
	OldOverdue int64 `json:"old_overdue,omitzero"`
	// Routes holds the answers by route, of at most maxRoutes. VMs of an earlier build write none.
	Routes map[string]shift.Comparison `json:"routes,omitempty"`
}

// maxRoutes bounds the routes of a service whose answers are counted apart.
const maxRoutes = 16

// isEmpty reports whether nothing was observed.
func (o observed) isEmpty() bool {
	return o.New.Answers.Requests+o.Old.Answers.Requests+o.Before.Answers.Requests+o.Overdue+o.OldOverdue == 0
}

// countRoute adds an answer on a route to its counts, which the function selects, or takes it away.
func (o *observed) countRoute(name string, of func(*shift.Comparison) *rollout.Counts, change func(rollout.Counts) rollout.Counts) {
	counts, known := o.Routes[name]
	if !known && len(o.Routes) >= maxRoutes {
		return
	}
	if o.Routes == nil {
		o.Routes = make(map[string]shift.Comparison)
	}
	c := of(&counts)
	*c = change(*c)
	o.Routes[name] = counts
}

// fitting returns those of the routes that o has already or has room for.
func (o observed) fitting(routes map[string]shift.Comparison) map[string]shift.Comparison {
	fitting, room := make(map[string]shift.Comparison), maxRoutes-len(o.Routes)
	for _, name := range slices.Sorted(maps.Keys(routes)) {
		_, known := o.Routes[name]
		if !known && room <= 0 {
			continue
		}
		if !known {
			room--
		}
		fitting[name] = routes[name]
	}
	return fitting
}

// merge adds p to o, whose map of routes must be its own.
func (o *observed) merge(p observed) {
	o.New, o.Old, o.Before = o.New.Add(p.New), o.Old.Add(p.Old), o.Before.Add(p.Before)
	o.Overdue += p.Overdue
	o.OldOverdue += p.OldOverdue
	for name, counts := range p.Routes {
		if o.Routes == nil {
			o.Routes = make(map[string]shift.Comparison, len(p.Routes))
		}
		o.Routes[name] = o.Routes[name].Add(counts)
	}
}

// check reports whether observations that were read have values within bounds. Errors:
// shift.ErrOutOfBounds.
func (o observed) check() error {
	for _, n := range []int64{o.Overdue, o.OldOverdue} {
		if n < 0 || n > maxOverdue {
			return shift.ErrOutOfBounds.New("%d overdue attempts", n)
		}
	}
	if len(o.Routes) > maxRoutes {
		return shift.ErrOutOfBounds.New("%d routes", len(o.Routes))
	}
	seen := []shift.Observations{o.New, o.Old, o.Before}
	for _, c := range o.Routes {
		seen = append(seen, shift.Observations{Answers: c.New}, shift.Observations{Answers: c.Old}, shift.Observations{Answers: c.Before})
	}
	for _, s := range seen {
		if err := s.Check(); err != nil {
			return err
		}
	}
	return nil
}

// maxOverdue bounds the number of overdue attempts that a VM publishes.
const maxOverdue = 1 << 20

// problems returns the number of failures and of overdue attempts of the new version.
func (o observed) problems() int64 { return o.New.Failures() + o.Overdue }

// evidenceRow holds a VM's observations in the shift of an order.
type evidenceRow struct {
	Order int64 `json:"order"`
	Era   int64 `json:"era,omitzero"`
	observed
}

// own returns what this VM observed, also before it was restarted.
func (m *Manager) own(s *serviceState) observed {
	var own observed
	own.merge(s.inherited)
	local := s.local
	local.Routes = own.fitting(s.local.Routes)
	own.merge(local)
	own.Overdue, own.OldOverdue = 0, 0
	now := m.opts.Clock.Now()
	for r := range s.unjudged {
		switch {
		case !r.isOverdue(s, now):
		case s.isNewVersion(r.attempt.Version):
			own.Overdue++
		default:
			own.OldOverdue++
		}
	}
	return own
}

// evidence merges the observations of all VMs.
func (m *Manager) evidence(s *serviceState) shift.Evidence {
	total := m.own(s)
	for o := range maps.Values(s.remote) {
		total.merge(o)
	}
	return shift.Evidence{New: total.New, Old: total.Old, Before: total.Before, Overdue: total.Overdue, OldOverdue: total.OldOverdue, Routes: total.Routes}
}

func (m *Manager) applyEvidence(keySuffix string, r watch.Row) error {
	if r.Deleted {
		return nil
	}
	serviceName, vmID, _ := strings.Cut(keySuffix, "/")
	var row evidenceRow
	if err := json.Unmarshal(r.Value, &row); err != nil {
		return err
	}
	if err := row.check(); err != nil {
		return err
	}
	s := m.getOrCreate(serviceName)
	if row.Order != s.state.Order.ID || row.Era != s.state.Order.Era {
		return nil
	}
	if vm.ID(vmID) != m.opts.VM {
		s.remote[vm.ID(vmID)] = row.observed
	} else if s.publishedAt.IsZero() {
		s.inherited = row.observed
	}
	return nil
}

// requestRate returns the number of requests for the service per second since the order
// on all VMs; zero while not all of them have published their counts.
func (m *Manager) requestRate(s *serviceState, e shift.Evidence, now time.Duration) float64 {
	elapsed := now - s.state.Started
	if len(s.remote)+1 < m.opts.VMCount() || elapsed <= 0 {
		return 0
	}
	requests := e.New.Answers.Requests + e.Old.Answers.Requests + e.Before.Answers.Requests
	return float64(requests) / elapsed.Seconds()
}

// evidenceDue reports whether this VM should publish its evidence now. Now is on the
// shared clock.
func (m *Manager) evidenceDue(serviceName string, s *serviceState, now time.Duration) bool {
	if !s.known || s.state.Ended() {
		return false
	}
	own, elapsed := m.own(s), m.opts.Clock.Since(s.publishedAt)
	if s.published.isEmpty() && own.Before.Answers.Requests > 0 {
		first := time.Duration(firstCountsFraction * float64(s.state.Order.Duration))
		return now-s.state.Started >= first+m.turnDelay(serviceName) && elapsed >= minEvidenceInterval
	}
	if own.problems() > s.published.problems() {
		return elapsed >= minEvidenceInterval
	}
	interval := max(minCountsInterval, time.Duration(m.opts.VMCount())*countsIntervalPerVM)
	changed := own.New.Answers.Requests > s.published.New.Answers.Requests || own.Overdue != s.published.Overdue
	return changed && elapsed >= interval
}

// evidenceWrite returns the write of this VM's evidence, if it is due.
func (m *Manager) evidenceWrite(serviceName string, s *serviceState, now time.Duration) (pendingWrite, bool) {
	if !m.evidenceDue(serviceName, s, now) {
		return pendingWrite{}, false
	}
	own := m.own(s)
	value, err := json.Marshal(evidenceRow{Order: s.state.Order.ID, Era: s.state.Order.Era, observed: own})
	if err != nil {
		m.opts.Log.Error("cannot encode roll-out evidence; nothing written", "service", serviceName, "error", err)
		return pendingWrite{}, false
	}
	s.publishedAt = m.opts.Clock.Now()
	return pendingWrite{service: serviceName, isEvidence: true, published: own, change: watch.Change{
		Puts: []watch.Put{{Table: m.opts.Table, Key: evidencePrefix + serviceName + "/" + string(m.opts.VM), Value: value}},
	}}, true
}
