package shifts

import (
	"cmp"
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
	// Each VM delays its write of a due state by a part of a period, so that not
	// all VMs write at the same time. The period is turnSpreadPerOtherVM for each other VM,
	// up to maxSmallTurnSpread, and turnSpreadPerVM for each VM if that is longer.
	turnSpreadPerOtherVM = 20 * time.Millisecond
	maxSmallTurnSpread   = 200 * time.Millisecond
	turnSpreadPerVM      = 8 * time.Millisecond
)

// pendingWrite is a write that is due.
type pendingWrite struct {
	service string
	next    shift.State
	change  watch.Change
	// evidence is what this VM knows when it decides on the state.
	evidence shift.Evidence
	// isEvidence reports that the write is this VM's evidence, published; otherwise it is
	// the state next.
	isEvidence bool
	published  observed
}

// Tick writes the states and the evidence that are due. It does nothing while the
// shared clock is not known.
func (m *Manager) Tick(ctx context.Context) {
	now, known := m.opts.SharedClock.Now()
	if !known {
		return
	}
	for _, write := range m.pendingWrites(now) {
		m.commit(ctx, write)
	}
}

// pendingWrites returns the writes that are due. It also stops a bad version on this
// VM at once, before the write.
func (m *Manager) pendingWrites(now time.Duration) []pendingWrite {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.listed {
		return nil
	}
	var writes []pendingWrite
	for serviceName, s := range m.byService {
		if write, ok := m.evidenceWrite(serviceName, s, now); ok {
			writes = append(writes, write)
		}
		next, ok := m.nextState(serviceName, s, now)
		if !ok {
			continue
		}
		write, err := m.stateWrite(serviceName, s, next)
		if err != nil {
			m.opts.Log.Error("cannot encode roll-out state; nothing written", "service", serviceName, "error", err)
			continue
		}
		writes = append(writes, write)
	}
	return writes
}

// nextState returns the next state, and whether this VM should write it now.
func (m *Manager) nextState(serviceName string, s *serviceState, now time.Duration) (shift.State, bool) {
	next, changed := s.state, false
	if s.order.After(s.state.Order) {
		next.Order = s.order
	}
	if m.isNewOrder(s) {
		next, changed = s.state.Follow(s.order, cmp.Or(s.orderedAt, now)), true
	} else if s.known && s.localVerdict.Bad && !s.state.Ended() {
		next, changed = shift.Revert(next, s.localVerdict), true
	} else if s.known {
		e := m.evidence(s)
		e.RequestRate = m.requestRate(s, e, now)
		next, changed = m.opts.Plan.Next(next, now, e)
		changed = changed || next != s.row
	}
	if !changed {
		s.dueSince = time.Time{}
		return next, false
	}
	if next.Verdict.Bad && !s.localVerdict.Bad {
		s.localVerdict = next.Verdict
		m.opts.Log.Warn("new version found bad; stopped on this VM", "service", serviceName, "version", next.Order.To,
			"metric", next.Verdict.Metric, "seen", next.Verdict.Seen, "reference", next.Verdict.Reference,
			"fresh", m.evidence(s).New, "old", m.evidence(s).Old)
	}
	if s.dueSince.IsZero() {
		s.dueSince = m.opts.Clock.Now()
	}
	return next, m.opts.Clock.Since(s.dueSince) >= m.turnDelay(serviceName)
}

// turnDelay returns how long this VM waits before it writes a state that is due. The
// delay is spread over the VMs by a hash.
func (m *Manager) turnDelay(serviceName string) time.Duration {
	vms := time.Duration(m.opts.VMCount())
	spread := max(min((vms-1)*turnSpreadPerOtherVM, maxSmallTurnSpread), vms*turnSpreadPerVM)
	return time.Duration(xxhash.Sum64String(serviceName+"/"+string(m.opts.VM)) % uint64(spread))
}

func (m *Manager) stateWrite(serviceName string, s *serviceState, next shift.State) (pendingWrite, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return pendingWrite{}, err
	}
	announcements, err := m.opts.Announce(next)
	if err != nil {
		return pendingWrite{}, err
	}
	key := stateKey(serviceName, m.era)
	return pendingWrite{service: serviceName, next: next, evidence: m.evidence(s), change: watch.Change{
		Era:      m.era,
		Expected: []watch.Expect{{Table: m.opts.Table, Key: key, Revision: s.revision}},
		Puts:     append(announcements, watch.Put{Table: m.opts.Table, Key: key, Value: value}),
	}}, nil
}

func (m *Manager) commit(ctx context.Context, write pendingWrite) {
	err := m.opts.Writer.Commit(ctx, write.change)
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.getOrCreate(write.service)
	switch {
	case err == nil && write.isEvidence:
		s.published = write.published
	case err == nil:
		e := write.evidence
		m.opts.Log.Info("roll-out state written", "service", write.service,
			"to", write.next.Order.To, "phase", write.next.Phase, "step", write.next.Step, "share", write.next.Share,
			"new", e.New, "own_new", m.own(s).New, "old", e.Old)
	case errorx.IsOfType(err, store.ErrConflict):
		// Another VM wrote first; its row arrives through the watch.
		s.dueSince = m.opts.Clock.Now()
	default:
		// If the outcome is unknown, the watch shows it later. The expected revision
		// of the row prevents a repeated write from taking effect twice.
		s.dueSince = m.opts.Clock.Now()
		m.opts.Log.Warn("roll-out write failed; retrying", "service", write.service,
			"evidence", write.isEvidence, "error", err)
	}
}
