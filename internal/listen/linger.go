package listen

import (
	"time"

	"github.com/poplarshore/poplarshore/internal/socket"
)

// lingerTime is how long a connection that a shutdown closes as idle is watched for a request that was sent before
// its caller learned of the close.
const lingerTime = 100 * time.Millisecond

// ClosedIdle tells what a shutdown closed.
type ClosedIdle struct {
	// Connections is the number of connections that were closed while they waited for a request.
	Connections int
	// Crossed is the number of those on which a request arrived within a short time after that, which gets no answer.
	// Requests on encrypted connections are not counted.
	Crossed int
}

// ClosedIdle returns what Shutdown and Finish have closed so far.
func (s *Server) ClosedIdle() ClosedIdle {
	set := s.acceptor.set
	return ClosedIdle{Connections: int(set.idleClosed.Load()), Crossed: int(set.crossed.Load())}
}

// beginLinger closes the sending side of a connection that a shutdown retires, and reports whether the
// connection is watched from now on; endLinger must be called then. The bytes that a caller sends
// as its connection ends, if it is encrypted, can't be told from a request.
func (c *conn) beginLinger() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.retired || c.encrypted || c.closed || !c.lingerUntil.IsZero() {
		return false
	}
	c.lingerUntil = time.Now().Add(lingerTime)
	return c.CloseWrite() == nil
}

// endLinger closes a connection that lingers once a request has arrived, the caller has closed it, or its
// time has passed.
func (c *conn) endLinger() {
	c.mu.Lock()
	until, closed := c.lingerUntil, c.closed
	c.mu.Unlock()
	if until.IsZero() || closed {
		return
	}
	state := socket.StateOf(c.Conn)
	if state == socket.Quiet && time.Now().Before(until) {
		return
	}
	if state == socket.Readable {
		c.set.crossed.Add(1)
	}
	_ = c.closeNow()
}
