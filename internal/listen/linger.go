package listen

import (
	"io"
	"time"

	"github.com/poplarshore/poplarshore/internal/socket"
)

// lingerTime is how long a connection that a shutdown closes as idle is kept for its caller to read that it ends. A
// connection with an unread request would be reset, and its caller might lose the refusal.
const lingerTime = 300 * time.Millisecond

// idleRefusal is what is sent on an idle connection that a shutdown closes: the answer to a request that is on its way (RFC 9110,
// 15.5.9). Callers that sent none see that their connection ends.
const idleRefusal = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// ClosedIdle tells what a shutdown closed.
type ClosedIdle struct {
	// Connections is the number of connections that were closed while they waited for a request.
	Connections int
	// Crossed is the number of those on which a request arrived within a short time after that. It is not read; see
	// Bounds.RefuseIdle. Requests on encrypted connections are not counted.
	Crossed int
}

// ClosedIdle returns what Shutdown and Finish have closed so far.
func (s *Server) ClosedIdle() ClosedIdle {
	set := s.acceptor.set
	return ClosedIdle{Connections: int(set.idleClosed.Load()), Crossed: int(set.crossed.Load())}
}

// beginLinger closes the sending side of a connection that a shutdown retires, after a refusal if the server sends
// one, and reports whether the connection is watched from now on; endLinger must be called then. The bytes
// that a caller sends as its connection ends, if it is encrypted, can't be told from a request.
func (c *conn) beginLinger() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.retired || c.encrypted || c.closed || !c.lingerUntil.IsZero() {
		return false
	}
	c.lingerUntil = time.Now().Add(lingerTime)
	if c.set.refuseIdle {
		_ = c.SetWriteDeadline(c.lingerUntil)
		if _, err := io.WriteString(c.Conn, idleRefusal); err != nil {
			return false
		}
	}
	return c.CloseWrite() == nil
}

// endLinger closes a connection that lingers once the caller has closed it without another request, or its time
// has passed.
func (c *conn) endLinger() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lingerUntil.IsZero() || c.closed {
		return
	}
	state := socket.StateOf(c.Conn)
	if state == socket.Readable && !c.crossed {
		c.crossed = true
		c.set.crossed.Add(1)
	}
	if state == socket.Ended || !time.Now().Before(c.lingerUntil) {
		_ = c.closeLocked()
	}
}
