package soak

import (
	"slices"
	"sync"
	"time"
)

// intervals records time intervals, such as those in which a fault was present. It is
// safe for concurrent use.
type intervals struct {
	mu      sync.Mutex
	entries []interval
}

// interval is one time interval; until is zero if it has not ended.
type interval struct{ from, until time.Time }

// begin starts an interval and returns the function that ends it.
func (s *intervals) begin() (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := len(s.entries)
	s.entries = append(s.entries, interval{from: time.Now()})
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.entries[i].until = time.Now()
	}
}

// add adds an interval that has ended.
func (s *intervals) add(i interval) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries = append(s.entries, i)
}

// overlap returns for how long any of the intervals overlapped the time between from and until.
func (s *intervals) overlap(from, until time.Time) time.Duration {
	s.mu.Lock()
	entries := slices.Clone(s.entries)
	s.mu.Unlock()
	slices.SortFunc(entries, func(a, b interval) int { return a.from.Compare(b.from) })
	var total time.Duration
	for _, entry := range entries {
		if entry.until.IsZero() || entry.until.After(until) {
			entry.until = until
		}
		if entry.from.Before(from) {
			entry.from = from
		}
		if entry.until.After(entry.from) {
			total += entry.until.Sub(entry.from)
			from = entry.until
		}
	}
	return total
}

// noneOverlap reports whether no interval overlaps the time between from and until.
func (s *intervals) noneOverlap(from, until time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, entry := range s.entries {
		if entry.from.Before(until) && (entry.until.IsZero() || entry.until.After(from)) {
			return false
		}
	}
	return true
}
