package shifts

// RecordOutcome records an attempt that was not counted while it ran.
func (m *Manager) RecordOutcome(o Outcome) {
	r := m.Begin(o.Attempt)
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.getOrCreate(o.Service)
	delete(s.unjudged, r)
	r.finish(s, o)
}
