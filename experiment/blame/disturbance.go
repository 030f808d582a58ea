package blame

import (
	"slices"
	"time"
)

// every reports whether a periodic event is due at this tick.
func (s *simulation) every(interval time.Duration) bool {
	return interval > 0 && s.now%interval < tick
}

// disturb brings about what is wrong beside the culprits.
func (s *simulation) disturb() {
	if slices.Contains(s.MassEnds, s.now) {
		for _, e := range s.engines[:len(s.engines)/2] {
			s.end(e)
		}
	}
	if s.every(s.EndInterval) {
		s.end(s.engines[s.rand.IntN(len(s.engines))])
	}
	if s.every(s.ReplaceInterval) {
		i := s.rand.IntN(s.VMs)
		s.guards[i], s.startedAt[i] = s.newGuard(i), s.now
		for _, e := range s.engines {
			e.runs = slices.DeleteFunc(e.runs, func(r *run) bool { return r.vm == i })
		}
	}
	if s.every(s.CutInterval) {
		s.cutUntil[s.rand.IntN(s.VMs)] = s.now + cutTime
	}
}

// end ends an engine with all that runs there. Its requests are tried again, and then
// repeated by their clients at another VM.
func (s *simulation) end(e *engine) {
	if e.upAt > s.now {
		return
	}
	s.ends++
	lost := e.runs
	*e = *s.newEngine()
	e.upAt = s.now + downTime
	for _, r := range lost {
		s.retry(r)
	}
}
