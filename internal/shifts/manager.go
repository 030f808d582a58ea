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

// Prefixes of row keys.
const (
	statePrefix    = "shift/"
	evidencePrefix = "evidence/"
)

// Clock is the steady (monotonic) clock that all VMs share.
type Clock interface {
	// Now returns the time on the clock, and false while it is not known.
	Now() (time.Duration, bool)
}

// AnnounceFunc returns the rows that report a state to operators. They are written
// together with the state.
type AnnounceFunc func(s shift.State) ([]watch.Put, error)

// Options configures a Manager. All fields are required.
type Options struct {
	VM vm.ID
	// Table is the name of the table with the rows.
	Table       string
	Plan        shift.Plan
	SharedClock Clock
	Writer      watch.Writer
	Announce    AnnounceFunc
	// VMCount returns the current number of VMs.
	VMCount func() int
	Clock   clockwork.Clock
	Log     *slog.Logger
}

// Manager runs the shifts of all services on this VM. It is safe for concurrent use.
type Manager struct {
	opts Options

	mu        sync.Mutex
	byService map[string]*serviceState
	listed    bool
}

// serviceState is the state of the shifts of one service.
type serviceState struct {
	// order is the newest order; its ID is 0 before the first one.
	order shift.Order
	// state is the row at the given revision; revision 0 means that there is no
	// row.
	state    shift.State
	revision watch.Revision
	// local holds this VM's observations of both versions in the current shift.
	local struct {
		newVersion, oldVersion shift.Observations
		// goodAnswers counts complete answers of the new version at usual speed.
		goodAnswers int64
	}
	// remote holds the other VMs' observations of the new version.
	remote map[vm.ID]shift.Observations
	// publishedFailures is the number of failures in the evidence row as last
	// written; publishedAt is the time of the last attempt to write it.
	publishedFailures int64
	publishedAt       time.Time
	// localVerdict is the verdict by which this VM stopped the new version. It
	// is kept even if further answers of the old version weaken the evidence.
	localVerdict rollout.Verdict
	// dueSince is when this VM first found the next state due, or last failed to
	// write it; zero if none is due.
	dueSince      time.Time
	latencyModels map[string]*latencyModel
}

// evidenceRow holds a VM's observations of the new version of an order.
type evidenceRow struct {
	Order int64              `json:"order"`
	Seen  shift.Observations `json:"seen"`
}

// New returns a Manager without shifts.
func New(opts Options) *Manager {
	return &Manager{opts: opts, byService: make(map[string]*serviceState)}
}

// Listed reports whether the rows of the table have been read at least once.
func (m *Manager) Listed() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.listed
}

func (m *Manager) getOrCreate(serviceName string) *serviceState {
	s := m.byService[serviceName]
	if s == nil {
		s = &serviceState{remote: make(map[vm.ID]shift.Observations), latencyModels: make(map[string]*latencyModel)}
		m.byService[serviceName] = s
	}
	return s
}

// Order records an order. It is ignored unless its ID is higher than that of the
// service's last order.
func (m *Manager) Order(o shift.Order) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.getOrCreate(o.Service)
	if o.ID <= s.order.ID {
		return
	}
	s.order = o
	m.opts.Log.Info("roll-out order received", "service", o.Service, "to", o.To,
		"order", o.ID, "duration_ms", o.Duration.Milliseconds())
}

// Replace applies a complete listing of the table. Rows that it no longer contains
// are not removed.
func (m *Manager) Replace(rows []watch.Row) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listed = true
	for _, r := range rows {
		m.applyRow(r)
	}
}

// Change applies changed rows.
func (m *Manager) Change(rows []watch.Row) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range rows {
		m.applyRow(r)
	}
}

func (m *Manager) applyRow(r watch.Row) {
	if r.Deleted {
		return
	}
	var err error
	if serviceName, ok := strings.CutPrefix(r.Key, statePrefix); ok {
		err = m.applyState(serviceName, r)
	} else if keySuffix, ok := strings.CutPrefix(r.Key, evidencePrefix); ok {
		err = m.applyEvidence(keySuffix, r)
	}
	if err != nil {
		m.opts.Log.Warn("cannot decode roll-out row; row ignored", "key", r.Key, "revision", r.Revision, "error", err)
	}
}

func (m *Manager) applyState(serviceName string, r watch.Row) error {
	var state shift.State
	if err := json.Unmarshal(r.Value, &state); err != nil {
		return err
	}
	m.installState(serviceName, state, r.Revision)
	return nil
}

// installState replaces the state if the row is newer. The observations of both
// versions are reset if the row belongs to another order.
func (m *Manager) installState(serviceName string, state shift.State, revision watch.Revision) {
	s := m.getOrCreate(serviceName)
	if revision != 0 && revision <= s.revision {
		return
	}
	if state.Order.ID != s.state.Order.ID {
		s.local.newVersion, s.local.oldVersion, s.local.goodAnswers = shift.Observations{}, shift.Observations{}, 0
		clear(s.remote)
		s.publishedFailures, s.localVerdict = 0, rollout.Verdict{}
	}
	s.state, s.revision, s.dueSince = state, revision, time.Time{}
	m.opts.Log.Info("roll-out state installed", "service", serviceName, "to", state.Order.To, "order", state.Order.ID,
		"phase", state.Phase, "step", state.Step, "revision", revision, "verdict", state.Verdict.Metric)
}

func (m *Manager) applyEvidence(keySuffix string, r watch.Row) error {
	serviceName, vmID, _ := strings.Cut(keySuffix, "/")
	var row evidenceRow
	if err := json.Unmarshal(r.Value, &row); err != nil {
		return err
	}
	s := m.getOrCreate(serviceName)
	if vm.ID(vmID) == m.opts.VM || row.Order != s.state.Order.ID {
		return nil
	}
	s.remote[vm.ID(vmID)] = row.Seen
	return nil
}

// evidence merges this VM's observations with those of the other VMs. It covers the
// old version by this VM's observations only.
func (s *serviceState) evidence() shift.Evidence {
	e := shift.Evidence{New: s.local.newVersion, Old: s.local.oldVersion, GoodAnswers: s.local.goodAnswers}
	for seen := range maps.Values(s.remote) {
		e.New = e.New.Add(seen)
	}
	return e
}

// Allowed returns a function that reports whether a session may use a version of
// the service. Position is the hash of the session's key, 0 to 1. Until the state
// row of a new order is known, sessions may use all versions but the new one.
func (m *Manager) Allowed(serviceName string, position float64) func(model.VersionID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.byService[serviceName]
	switch {
	case s == nil || s.order.ID == 0 && s.revision == 0:
		return func(model.VersionID) bool { return true }
	case s.order.ID > s.state.Order.ID:
		to := s.order.To
		return func(v model.VersionID) bool { return v != to }
	}
	to := s.state.Order.To
	if !s.localVerdict.Bad && m.opts.Plan.GetsNewVersion(s.state, position) || s.state.Phase == shift.Complete {
		return func(v model.VersionID) bool { return v == to }
	}
	return func(v model.VersionID) bool { return v != to }
}
