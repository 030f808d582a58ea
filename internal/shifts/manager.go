package shifts

import (
	"encoding/json"
	"log/slog"
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/rollout"
	"github.com/poplarshore/poplarshore/rollout/shift"
	"github.com/poplarshore/poplarshore/vm"

	"github.com/poplarshore/poplarshore/internal/watch"
)

// Prefixes of the rows' keys.
const (
	statePrefix    = "shift/"
	evidencePrefix = "evidence/"
)

// Clock is the steady clock that all VMs share.
type Clock interface {
	// Now returns the clock; false while it is not known.
	Now() (time.Duration, bool)
}

// Announce returns the rows that tell operators of a state.
type Announce func(s shift.State) ([]watch.Put, error)

// Options configure a Manager.
type Options struct {
	VM vm.ID
	// Table holds the rows.
	Table    string
	Plan     shift.Plan
	Shared   Clock
	Writer   watch.Writer
	Announce Announce
	// VMs returns the number of VMs.
	VMs   func() int
	Clock clockwork.Clock
	Log   *slog.Logger
}

// Manager follows all shifts. It is safe for concurrent use.
type Manager struct {
	opts Options

	mu        sync.Mutex
	byService map[string]*service
	listed    bool
}

// service is what is known of the shifts of one service.
type service struct {
	// order is the newest order seen; its ID is 0 before the first one.
	order shift.Order
	// state is the row, as of revision; revision 0 means that there is none.
	state    shift.State
	revision watch.Revision
	// own holds what this VM saw of both versions in the current shift.
	own struct {
		fresh, old shift.Seen
		// good counts whole answers of the new version at a usual pace.
		good int64
	}
	// others holds what other VMs saw of the new version.
	others map[vm.ID]shift.Seen
	// published is the number of failures last written.
	published   int64
	publishedAt time.Time
	// found is the verdict by which this VM stopped the new version. It stands,
	// though further answers of the old one may make the evidence look weaker.
	found rollout.Verdict
	// dueAt is when the next step was first seen to be due.
	dueAt time.Time
	pace  map[string]*pace
}

// evidenceRow is what a VM saw of a new version.
type evidenceRow struct {
	Order int64      `json:"order"`
	Seen  shift.Seen `json:"seen"`
}

// New returns a manager without shifts.
func New(opts Options) *Manager {
	return &Manager{opts: opts, byService: make(map[string]*service)}
}

// Listed tells whether the rows were ever read.
func (m *Manager) Listed() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.listed
}

func (m *Manager) get(name string) *service {
	s := m.byService[name]
	if s == nil {
		s = &service{others: make(map[vm.ID]shift.Seen), pace: make(map[string]*pace)}
		m.byService[name] = s
	}
	return s
}

// Order takes in an order of the operators.
func (m *Manager) Order(o shift.Order) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.get(o.Service)
	if o.ID <= s.order.ID {
		return
	}
	s.order = o
	m.opts.Log.Info("rollout ordered", "service", o.Service, "to", o.To, "order", o.ID, "duration_ms", o.Duration.Milliseconds())
}

// Replace takes in all rows of the table.
func (m *Manager) Replace(rows []watch.Row) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listed = true
	for _, r := range rows {
		m.take(r)
	}
}

// Change takes in changed rows.
func (m *Manager) Change(rows []watch.Row) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range rows {
		m.take(r)
	}
}

func (m *Manager) take(r watch.Row) {
	if r.Deleted {
		return
	}
	var err error
	if name, ok := strings.CutPrefix(r.Key, statePrefix); ok {
		err = m.takeState(name, r)
	} else if rest, ok := strings.CutPrefix(r.Key, evidencePrefix); ok {
		err = m.takeEvidence(rest, r)
	}
	if err != nil {
		m.opts.Log.Warn("rollout row unreadable", "key", r.Key, "revision", r.Revision, "error", err)
	}
}

func (m *Manager) takeState(name string, r watch.Row) error {
	var state shift.State
	if err := json.Unmarshal(r.Value, &state); err != nil {
		return err
	}
	m.install(name, state, r.Revision)
	return nil
}

// install takes over a newer row.
func (m *Manager) install(name string, state shift.State, revision watch.Revision) {
	s := m.get(name)
	if revision != 0 && revision <= s.revision {
		return
	}
	if state.Order.ID != s.state.Order.ID {
		s.own.fresh, s.own.old, s.own.good = shift.Seen{}, shift.Seen{}, 0
		clear(s.others)
		s.published, s.found = 0, rollout.Verdict{}
	}
	s.state, s.revision, s.dueAt = state, revision, time.Time{}
	m.opts.Log.Info("rollout state", "service", name, "to", state.Order.To, "order", state.Order.ID,
		"phase", state.Phase, "step", state.Step, "revision", revision, "verdict", state.Verdict.Metric)
}

func (m *Manager) takeEvidence(rest string, r watch.Row) error {
	name, node, _ := strings.Cut(rest, "/")
	var e evidenceRow
	if err := json.Unmarshal(r.Value, &e); err != nil {
		return err
	}
	s := m.get(name)
	if vm.ID(node) == m.opts.VM || e.Order != s.state.Order.ID {
		return nil
	}
	s.others[vm.ID(node)] = e.Seen
	return nil
}

// evidence merges what all VMs saw.
func (s *service) evidence() shift.Evidence {
	e := shift.Evidence{Fresh: s.own.fresh, Old: s.own.old, Good: s.own.good}
	for c := range maps.Values(s.others) {
		e.Fresh = e.Fresh.Add(c)
	}
	return e
}

// Allowed returns which versions of a service a session may use. Position is
// the hash of the session's key, 0 to 1.
func (m *Manager) Allowed(name string, position float64) func(model.VersionID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.byService[name]
	switch {
	case s == nil || s.order.ID == 0 && s.revision == 0:
		return func(model.VersionID) bool { return true }
	case s.order.ID > s.state.Order.ID:
		to := s.order.To
		return func(v model.VersionID) bool { return v != to }
	}
	to := s.state.Order.To
	if !s.found.Bad && m.opts.Plan.Fresh(s.state, position) || s.state.Phase == shift.Complete {
		return func(v model.VersionID) bool { return v == to }
	}
	return func(v model.VersionID) bool { return v != to }
}
