package shifts

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/joomcode/errorx"

	"github.com/poplarshore/poplarshore/coord/store"
	"github.com/poplarshore/poplarshore/rollout/shift"

	"github.com/poplarshore/poplarshore/internal/watch"
)

const (
	// leastSpread bounds the wait by which VMs avoid taking a step all at once,
	// spreadPerVM makes it longer where they are many.
	leastSpread = 200 * time.Millisecond
	spreadPerVM = 8 * time.Millisecond
	// publishEvery is the least time between two writes of evidence.
	publishEvery = 300 * time.Millisecond
)

// task is one write that is due.
type task struct {
	service string
	next    shift.State
	change  watch.Change
	// publishes tells that the write is this VM's evidence, with this count.
	publishes bool
	failures  int64
}

// Tick makes the steps that are due.
func (m *Manager) Tick(ctx context.Context) {
	now, known := m.opts.Shared.Now()
	if !known {
		return
	}
	for _, t := range m.due(now) {
		m.commit(ctx, t)
	}
}

// due returns the writes that are due. A bad version is stopped here at once.
func (m *Manager) due(now time.Duration) []task {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.listed {
		return nil
	}
	var tasks []task
	for name, s := range m.byService {
		if t, ok := m.evidenceTask(name, s); ok {
			tasks = append(tasks, t)
		}
		next, ok := m.next(name, s, now)
		if !ok {
			continue
		}
		t, err := m.stepTask(name, s, next)
		if err != nil {
			m.opts.Log.Error("rollout step can't be written", "service", name, "error", err)
			continue
		}
		tasks = append(tasks, t)
	}
	return tasks
}

// next returns the state to write, once it is this VM's turn.
func (m *Manager) next(name string, s *service, now time.Duration) (shift.State, bool) {
	next, changed := s.state, false
	if s.order.ID > s.state.Order.ID {
		next, changed = shift.Begin(s.order, now), true
	} else if s.revision != 0 && s.found.Bad && !s.state.Ended() {
		next, changed = shift.Revert(s.state, s.found), true
	} else if s.revision != 0 {
		next, changed = m.opts.Plan.Next(s.state, now, s.evidence())
	}
	if !changed {
		s.dueAt = time.Time{}
		return next, false
	}
	if next.Phase == shift.Reverted && !s.found.Bad {
		s.found = next.Verdict
		m.opts.Log.Warn("version stopped", "service", name, "version", next.Order.To, "metric", next.Verdict.Metric,
			"seen", next.Verdict.Seen, "reference", next.Verdict.Reference, "fresh", s.evidence().Fresh, "old", s.own.old)
	}
	if s.dueAt.IsZero() {
		s.dueAt = m.opts.Clock.Now()
	}
	return next, m.opts.Clock.Since(s.dueAt) >= m.turn(name)
}

// turn returns how long this VM lets others go first.
func (m *Manager) turn(name string) time.Duration {
	spread := max(leastSpread, time.Duration(m.opts.VMs())*spreadPerVM)
	return time.Duration(xxhash.Sum64String(name+"/"+string(m.opts.VM)) % uint64(spread))
}

func (m *Manager) stepTask(name string, s *service, next shift.State) (task, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return task{}, err
	}
	told, err := m.opts.Announce(next)
	if err != nil {
		return task{}, err
	}
	key := statePrefix + name
	return task{service: name, next: next, change: watch.Change{
		Expected: []watch.Expect{{Table: m.opts.Table, Key: key, Revision: s.revision}},
		Puts:     append(told, watch.Put{Table: m.opts.Table, Key: key, Value: value}),
	}}, nil
}

// evidenceTask publishes new failures of the new version.
func (m *Manager) evidenceTask(name string, s *service) (task, bool) {
	failures := s.own.fresh.Bad()
	if s.revision == 0 || s.state.Ended() || failures <= s.published || m.opts.Clock.Since(s.publishedAt) < publishEvery {
		return task{}, false
	}
	value, err := json.Marshal(evidenceRow{Order: s.state.Order.ID, Seen: s.own.fresh})
	if err != nil {
		m.opts.Log.Error("evidence can't be written", "service", name, "error", err)
		return task{}, false
	}
	s.publishedAt = m.opts.Clock.Now()
	return task{service: name, publishes: true, failures: failures, change: watch.Change{
		Puts: []watch.Put{{Table: m.opts.Table, Key: evidencePrefix + name + "/" + string(m.opts.VM), Value: value}},
	}}, true
}

func (m *Manager) commit(ctx context.Context, t task) {
	err := m.opts.Writer.Commit(ctx, t.change)
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.get(t.service)
	switch {
	case err == nil && t.publishes:
		s.published = t.failures
	case err == nil:
		m.opts.Log.Info("rollout step taken", "service", t.service, "to", t.next.Order.To, "phase", t.next.Phase, "step", t.next.Step)
	case errorx.IsOfType(err, store.ErrConflict):
		// Another VM was first; its row comes by the watch.
		s.dueAt = m.opts.Clock.Now()
	default:
		// An unknown outcome is settled by the watch: the row's revision
		// guards against a second effect.
		s.dueAt = m.opts.Clock.Now()
		m.opts.Log.Warn("rollout write failed", "service", t.service, "evidence", t.publishes, "error", err)
	}
}
