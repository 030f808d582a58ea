package fetch

import (
	"context"
	"fmt"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

// Conn is the kind of connection that a request used.
type Conn int

// Kinds of connections.
const (
	// NoConn means that none could be opened.
	NoConn Conn = iota
	// NewConn is one that was opened for the request.
	NewConn
	// ReusedConn is one that had been used before.
	ReusedConn
)

// MayBeLost reports whether a request that had no answer within its time says nothing of the server, because its connection
// may have been lost before: while it was not used, or while the server held the answer back for the given wait.
func (c Conn) MayBeLost(wait time.Duration) bool {
	return c == ReusedConn || c == NewConn && wait > 0
}

// usedConn is the connection that a request uses. It is safe for concurrent use.
type usedConn struct {
	info atomic.Pointer[httptrace.GotConnInfo]
}

// trace returns a context with which the client records the connection of a request.
func (c *usedConn) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { c.info.Store(&info) }})
}

// kind returns the kind of the connection.
func (c *usedConn) kind() Conn {
	info := c.info.Load()
	switch {
	case info == nil:
		return NoConn
	case info.Reused:
		return ReusedConn
	}
	return NewConn
}

// describe tells whether the connection is new, or for how long it had not been used.
func (c *usedConn) describe() string {
	info := c.info.Load()
	switch {
	case info == nil:
		return "no connection"
	case !info.Reused:
		return "a new connection"
	case info.WasIdle:
		return fmt.Sprintf("a connection unused for %s", info.IdleTime.Round(time.Millisecond))
	}
	return "a connection just used"
}
