package retry

import (
	"sync"
	"time"
)

// FleetSize is the number of VMs of a fleet as one VM knows it. A list that lacks others for a while does not make the fleet
// smaller. It is safe for concurrent use.
type FleetSize struct {
	// period is the time for which a number is believed at least, after a larger one.
	period time.Duration

	mu sync.Mutex
	// most is the largest number counted since periodStart, and mostBefore that in the period before.
	most, mostBefore int
	periodStart      time.Time
}

// shrinkSpans is the number of spans for which a number of VMs is believed at least.
const shrinkSpans = 3

// NewFleetSize returns the size of a fleet of which nothing is known yet. It is meant for what is taken in any time of
// length span.
func NewFleetSize(span time.Duration, now time.Time) *FleetSize {
	return &FleetSize{period: shrinkSpans * span, periodStart: now}
}

// Count records the number of VMs that this VM knows, itself included. A larger number is believed at once, and a smaller
// one once no larger one has been counted for one to two periods.
func (s *FleetSize) Count(vms int, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(now)
	s.most = max(s.most, vms)
}

// advance begins a new period if the current one is over. The caller holds mu.
func (s *FleetSize) advance(now time.Time) {
	elapsed := now.Sub(s.periodStart)
	if elapsed < s.period {
		return
	}
	s.mostBefore, s.most = s.most, 0
	if elapsed >= 2*s.period {
		s.mostBefore = 0
	}
	s.periodStart = now
}

// VMs returns the number of VMs that is believed; 0 if none was counted.
func (s *FleetSize) VMs() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.most, s.mostBefore)
}
