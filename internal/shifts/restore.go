package shifts

import (
	"strconv"
	"strings"
	"time"

	"github.com/poplarshore/poplarshore/internal/watch"
	"github.com/poplarshore/poplarshore/rollout/shift"
)

// The store may be restored from a copy that is some seconds old. States, evidence and
// orders written since are lost then, and revisions are assigned again.
//
//   - The row of a state has the era in its key. A late write of an earlier era, whose
//     expected revision may have been assigned again, therefore changes a row that no VM
//     regards as the current one.
//   - A VM that knows a state writes it again if the row of the new era is missing or
//     shows less progress. A version found bad stays stopped meanwhile, because each VM
//     keeps the newest state that it has read.
//   - Operators write lost orders again. Such an order, and an older one that returns
//     with the copy, is not a new order.

// rewriteWindow is how long after a restore an order with the contents of a known one is
// taken for that one, written again.
const rewriteWindow = 10 * time.Second

// stateKey returns the key of the row with the state of a service's shift.
func stateKey(serviceName string, era watch.Era) string {
	if era == 0 {
		return statePrefix + serviceName
	}
	return statePrefix + serviceName + "/" + strconv.FormatInt(int64(era), 10)
}

// parseStateKey is the inverse of stateKey for a key without statePrefix.
func parseStateKey(keySuffix string) (string, watch.Era, error) {
	i := strings.LastIndexByte(keySuffix, '/')
	if i < 0 {
		return keySuffix, 0, nil
	}
	era, err := strconv.ParseInt(keySuffix[i+1:], 10, 64)
	return keySuffix[:i], watch.Era(era), err
}

// The caller of the following methods holds mu.

// observeEra records the time of a restore when a later era than the latest one is seen.
func (m *Manager) observeEra(era watch.Era) {
	if m.eraKnown && era > m.latestEra {
		m.restoredAt = m.opts.Clock.Now()
	}
	m.latestEra, m.eraKnown = max(era, m.latestEra), true
}

// enterEra forgets the revisions of the rows, and that this VM's evidence is stored.
func (m *Manager) enterEra(era watch.Era) {
	m.era = era
	for _, s := range m.byService {
		s.row, s.revision, s.dueSince = shift.State{}, 0, time.Time{}
		s.published = observed{}
	}
}

// adoptOlderState learns from a row of an earlier era while the current one has none.
func (m *Manager) adoptOlderState(s *serviceState) {
	older := s.olderState
	s.olderState = nil
	if older != nil && s.revision == 0 && (!s.known || m.supersedes(*older, s.state)) {
		m.installState(s, *older)
	}
}

func (m *Manager) recentlyRestored() bool {
	return !m.restoredAt.IsZero() && m.opts.Clock.Since(m.restoredAt) < rewriteWindow
}

// isRewrite reports whether o is the order known, written again after a restore.
func (m *Manager) isRewrite(o, known shift.Order) bool {
	return o.SameRequest(known) && (o.Era > known.Era || o.ID > known.ID && m.recentlyRestored())
}

// isSameShift reports whether two states are of the same shift. Its order may have been written again, after a
// restore or by operators who got no response to the first write.
func (m *Manager) isSameShift(a, b shift.State) bool {
	return a.Order == b.Order || a.SameShift(b) || m.isRewrite(a.Order, b.Order) || m.isRewrite(b.Order, a.Order)
}

// supersedes reports whether state a is newer than b: it is ahead in the same order, or
// belongs to a later one.
func (m *Manager) supersedes(a, b shift.State) bool {
	if m.isSameShift(a, b) {
		return a.Ahead(b)
	}
	return a.Order.After(b.Order)
}

// returns reports whether o is one of the past orders, which returned with an older copy
// of the store.
func (m *Manager) returns(o shift.Order, past []shift.Order) bool {
	if !m.recentlyRestored() {
		return false
	}
	for _, p := range past {
		if o.SameRequest(p) {
			return true
		}
	}
	return false
}

// isNewOrder reports whether the service has an order for which there is no state yet.
func (m *Manager) isNewOrder(s *serviceState) bool {
	if !s.order.After(s.state.Order) {
		return false
	}
	return !s.known || !m.isRewrite(s.order, s.state.Order) && !m.isRepeat(s)
}

// isRepeat reports whether the newest order is that of the known state, which operators wrote once more.
func (m *Manager) isRepeat(s *serviceState) bool {
	at, known := s.orderedAt, s.orderedAt != 0
	if !known {
		at, known = m.opts.SharedClock.Now()
	}
	return known && s.state.IsRepeatedBy(s.order, at)
}
