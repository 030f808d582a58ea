package soak

import (
	"sync"
	"time"
)

// spans are times in which something was disturbed.
type spans struct {
	mu    sync.Mutex
	known []span
}

// span is one such time; until is zero while it lasts.
type span struct{ from, until time.Time }

// begin starts a span and returns what ends it.
func (s *spans) begin() (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := len(s.known)
	s.known = append(s.known, span{from: time.Now()})
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.known[i].until = time.Now()
	}
}

// calm tells that no span touches the time between two moments.
func (s *spans) calm(from, until time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, k := range s.known {
		if k.from.Before(until) && (k.until.IsZero() || k.until.After(from)) {
			return false
		}
	}
	return true
}
