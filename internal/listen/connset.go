package listen

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// connSet holds the open connections of a server.
type connSet struct {
	encrypted bool
	// idleLimit returns how long a connection may be idle, if that is longer than the IdleTimeout of the server.
	idleLimit func() time.Duration
	// refuseIdle reports whether a shutdown refuses requests that cross the close of their connection.
	refuseIdle bool
	// idleClosed is the number of connections that a shutdown closed while they waited for a request, and crossed
	// the number of those on which one arrived all the same.
	idleClosed, crossed atomic.Int64

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// reuseLimit returns how long a shutdown keeps connections that wait for a request: for as long as callers may reuse them,
// unless a request that crosses the close is refused.
func (s *connSet) reuseLimit() time.Duration {
	if s.refuseIdle && !s.encrypted {
		return maxIdle
	}
	return max(maxIdle, s.idleLimit())
}

// newConnSet returns an empty set. idleLimit may be nil.
func newConnSet(encrypted bool, idleLimit func() time.Duration) *connSet {
	if idleLimit == nil {
		idleLimit = func() time.Duration { return 0 }
	}
	return &connSet{encrypted: encrypted, idleLimit: idleLimit, conns: make(map[*conn]struct{})}
}

// add returns c as a connection of the set that waits for its first request.
func (s *connSet) add(c net.Conn) *conn {
	added := &conn{Conn: c, set: s, encrypted: s.encrypted, waiting: true, waitingSince: time.Now()}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[added] = struct{}{}
	return added
}

func (s *connSet) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// all returns the connections of the set.
func (s *connSet) all() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	conns := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	return conns
}
