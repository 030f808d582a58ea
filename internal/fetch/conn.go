package fetch

import (
	"context"
	"fmt"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

// usedConn is the connection that a request uses. It is safe for concurrent use.
type usedConn struct {
	info atomic.Pointer[httptrace.GotConnInfo]
}

// trace returns a context with which the client records the connection of a request.
func (c *usedConn) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { c.info.Store(&info) }})
}

// isReused reports whether the connection had been used before.
func (c *usedConn) isReused() bool {
	info := c.info.Load()
	return info != nil && info.Reused
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
