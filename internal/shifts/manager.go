package shifts

import (
	"encoding/json"
	"log/slog"
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
	// era is the era of the rows; latestEra is the latest era seen in rows or orders, if
	// eraKnown is set. restoredAt is when this VM saw the last restore; zero for none.
	era, latestEra watch.Era
	eraKnown       bool
	restoredAt     time.Time
}

// serviceState is the state of the shifts of one service.
type serviceState struct {
	// order is the newest order; its ID is 0 before the first one. pastOrders holds the
	// orders before it.
	order      shift.Order
	pastOrders []shift.Order
	// orderedAt is when this VM received the order, on the shared clock; zero if the clock
	// was not known then.
	orderedAt time.Duration
	// state is the newest known state, if known is set. It may be ahead of the row
	// after the store was restored from an older copy.
	state shift.State
	known bool
	// row is the state in the row of the current era at the given revision; revision 0
	// means that there is no row.
	row      shift.State
	revision watch.Revision
	// olderState is the state in a row of an earlier era that was just read, or nil.
	olderState *shift.State
	// local holds what this VM observed in the current shift. inherited holds what the
	// VM had published before it was restarted.
	local, inherited observed
	// remote holds what the other VMs published.
	remote map[vm.ID]observed
	// unjudged holds the attempts in progress whose speed has not been judged yet.
	unjudged map[*Running]struct{}
	// published is what this VM last published; publishedAt is the time of the last
	// attempt, zero before the first one.
	published   observed
	publishedAt time.Time
	// localVerdict is the verdict by which this VM stopped the new version. It
	// is kept even if further answers of the old version weaken the evidence.
	localVerdict rollout.Verdict
	// dueSince is when this VM first found the next state due, or last failed to
	// write it; zero if none is due.
	dueSince      time.Time
	latencyModels map[string]*latencyModel
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
		s = &serviceState{
			remote: make(map[vm.ID]observed), unjudged: make(map[*Running]struct{}),
			latencyModels: make(map[string]*latencyModel),
		}
		m.byService[serviceName] = s
	}
	return s
}

// Order records an order. It is ignored unless it is newer than the service's last
// order. An order that returns because the store was restored from an older copy is
// ignored too.
func (m *Manager) Order(o shift.Order) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.observeEra(watch.Era(o.Era))
	s := m.getOrCreate(o.Service)
	if !o.After(s.order) || m.returns(o, s.pastOrders) {
		return
	}
	if s.order.ID != 0 && !m.isRewrite(o, s.order) {
		s.pastOrders = append(s.pastOrders, s.order)
	}
	s.order, s.orderedAt = o, 0
	if now, known := m.opts.SharedClock.Now(); known {
		s.orderedAt = now
	}
	m.opts.Log.Info("roll-out order received", "service", o.Service, "to", o.To,
		"order", o.ID, "era", o.Era, "duration_ms", o.Duration.Milliseconds())
}

// Replace applies a complete listing of the table. What rows that it no longer contains said is kept, and
// written again.
func (m *Manager) Replace(b watch.Batch) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listed = true
	m.apply(b)
	present := make(map[string]bool, len(b.Rows))
	for _, r := range b.Rows {
		present[r.Key] = true
	}
	for serviceName, s := range m.byService {
		if s.revision != 0 && !present[stateKey(serviceName, m.era)] {
			s.row, s.revision, s.dueSince = shift.State{}, 0, time.Time{}
		}
	}
}

// Change applies changed rows.
func (m *Manager) Change(b watch.Batch) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.apply(b)
}

// apply applies the rows of a batch. The caller holds mu.
func (m *Manager) apply(b watch.Batch) {
	m.observeEra(b.Era)
	if b.Era > m.era {
		m.enterEra(b.Era)
	}
	// Evidence follows the states that it belongs to. In a listing it comes first.
	m.applyRows(b.Rows, statePrefix, m.applyState)
	for _, s := range m.byService {
		m.adoptOlderState(s)
	}
	m.applyRows(b.Rows, evidencePrefix, m.applyEvidence)
}

// applyRows applies the rows whose keys have the prefix.
func (m *Manager) applyRows(rows []watch.Row, prefix string, apply func(keySuffix string, r watch.Row) error) {
	for _, r := range rows {
		keySuffix, ok := strings.CutPrefix(r.Key, prefix)
		if !ok {
			continue
		}
		if err := apply(keySuffix, r); err != nil {
			m.opts.Log.Warn("cannot decode roll-out row; row ignored", "key", r.Key, "revision", r.Revision, "error", err)
		}
	}
}

// applyState applies the row of a state. One that is deleted or invalid, whoever wrote it, holds no state:
// the VMs write the state that they know again, on top of it.
func (m *Manager) applyState(keySuffix string, r watch.Row) error {
	serviceName, era, err := parseStateKey(keySuffix)
	if err != nil {
		return err
	}
	if r.Deleted {
		m.clearRow(serviceName, era, r.Revision, 0)
		return nil
	}
	state, err := decodeState(serviceName, era, r)
	if err != nil {
		m.clearRow(serviceName, era, r.Revision, r.Revision)
		return err
	}
	s := m.getOrCreate(serviceName)
	switch {
	case era < m.era:
		s.olderState = &state
	case era == m.era && r.Revision > s.revision:
		s.row, s.revision, s.dueSince = state, r.Revision, time.Time{}
		if state != s.state && !(s.known && m.supersedes(s.state, state)) {
			m.installState(s, state)
		}
	}
	return nil
}

// decodeState decodes the row of a service's state in an era. Errors: shift.ErrOutOfBounds, and those of
// package json.
func decodeState(serviceName string, era watch.Era, r watch.Row) (shift.State, error) {
	var state shift.State
	if err := json.Unmarshal(r.Value, &state); err != nil {
		return state, err
	}
	order := state.Order
	if order.Service != serviceName || order.Era > int64(era) || order.Era == int64(era) && order.ID > int64(r.Revision) {
		return state, shift.ErrOutOfBounds.New("row has the state of order %d of era %d for service %q", order.ID, order.Era, order.Service)
	}
	return state, state.Check()
}

// clearRow records that the row of a service's state holds none, as of a revision. The next write expects
// the row to have the revision expected, 0 for none.
func (m *Manager) clearRow(serviceName string, era watch.Era, at, expected watch.Revision) {
	s := m.getOrCreate(serviceName)
	if era == m.era && at > s.revision {
		s.row, s.revision, s.dueSince = shift.State{}, expected, time.Time{}
	}
}

// installState replaces the state. The observations of both versions are reset if it
// belongs to another order. The caller holds mu.
func (m *Manager) installState(s *serviceState, state shift.State) {
	if !s.known || !m.isSameShift(state, s.state) {
		s.local, s.inherited = observed{}, observed{}
		clear(s.remote)
		clear(s.unjudged)
		s.localVerdict = rollout.Verdict{}
	}
	if state.Order != s.state.Order {
		s.published, s.publishedAt = observed{}, time.Time{}
	}
	if state.Phase == shift.Complete {
		// Usual from now on is what the new version takes.
		clear(s.latencyModels)
	}
	s.state, s.known = state, true
	m.opts.Log.Info("roll-out state installed", "service", state.Order.Service, "to", state.Order.To, "order", state.Order.ID,
		"era", state.Order.Era, "phase", state.Phase, "step", state.Step, "revision", s.revision,
		"verdict", state.Verdict.Metric)
}

// Allowed returns a function that reports whether a session may use a version of
// the service. Position is the hash of the session's key, 0 to 1. Until the state
// row of a new order is known, sessions may use all versions but the new one. No session
// may use a version that an earlier shift did not complete.
func (m *Manager) Allowed(serviceName string, position float64) func(model.VersionID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.byService[serviceName]
	switch {
	case s == nil || s.order.ID == 0 && !s.known:
		return func(model.VersionID) bool { return true }
	case m.isNewOrder(s):
		// The shift before may have completed meanwhile, unless it is known to be reverted.
		return allowOld(s.order.To, s.state)
	}
	to := s.state.Order.To
	if !s.localVerdict.Bad && m.opts.Plan.GetsNewVersion(s.state, position) || s.state.Phase == shift.Complete {
		return func(v model.VersionID) bool { return v == to }
	}
	return allowOld(to, s.state)
}

// TrialShare returns the fraction of the service's sessions, 0 to 1, that get the new version of a shift in
// progress, if a session at the given position is one of them. It returns 0 for others and without a shift.
func (m *Manager) TrialShare(serviceName string, position float64) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.byService[serviceName]
	if s == nil || !s.known || s.state.Ended() || s.localVerdict.Bad || m.isNewOrder(s) ||
		!m.opts.Plan.GetsNewVersion(s.state, position) {
		return 0
	}
	return m.opts.Plan.Share(s.state)
}

// allowOld returns a function that reports whether a version is neither the new one nor withdrawn in
// a state.
func allowOld(newVersion model.VersionID, s shift.State) func(model.VersionID) bool {
	return func(v model.VersionID) bool { return v != newVersion && !s.IsWithdrawn(v) }
}
