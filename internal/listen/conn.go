package listen

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/poplarshore/poplarshore/internal/socket"
)

// conn is a connection that knows whether a request has begun on it, so that it can be closed
// without losing one.
type conn struct {
	net.Conn
	set *connSet
	// encrypted reports whether bytes that are read may belong to no request.
	encrypted bool

	mu sync.Mutex
	// waiting reports whether the connection has waited for a request since waitingSince.
	waiting      bool
	waitingSince time.Time
	// idle reports whether nothing was read since a request was answered.
	idle bool
	// retiring reports whether a pending read was interrupted to close the connection, and retired whether
	// that read has ended.
	retiring, retired bool
	// lingerUntil is until when the connection is watched whose sending side is closed; zero before.
	lingerUntil time.Time
	// crossed reports whether a request has arrived since then.
	crossed bool
	closed  bool
}

// Read implements net.Conn. It returns io.EOF on a connection that is retired.
func (c *conn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if n > 0 {
			c.recordRead()
			return n, err
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		switch c.passDeadline() {
		case readOn:
		case retire:
			return 0, io.EOF
		case fail:
			return n, err
		}
	}
}

// afterDeadline is what a read does whose deadline has passed.
type afterDeadline int

const (
	// readOn goes on reading, with another deadline or none.
	readOn afterDeadline = iota
	// retire ends the connection, which a shutdown has interrupted.
	retire
	// fail returns the error.
	fail
)

// idleReadMargin is how long the rest of the first read of a request is awaited that has arrived when the
// connection was about to be closed as idle.
const idleReadMargin = time.Second

// passDeadline decides what a read does whose deadline has passed.
func (c *conn) passDeadline() afterDeadline {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.retiring {
		return c.passInterrupt()
	}
	if c.idle {
		return c.passIdleDeadline()
	}
	return fail
}

// passInterrupt ends a connection that was interrupted, unless a part of a request has arrived after
// all. The caller holds mu.
func (c *conn) passInterrupt() afterDeadline {
	if socket.StateOf(c.Conn) != socket.Readable {
		c.retired = true
		c.set.idleClosed.Add(1)
		return retire
	}
	c.retiring = false
	_ = c.SetReadDeadline(time.Time{})
	return readOn
}

// passIdleDeadline keeps an idle connection for as long as the limit in force allows, and to read a
// request that has arrived. The caller holds mu.
func (c *conn) passIdleDeadline() afterDeadline {
	if until := c.waitingSince.Add(c.set.idleLimit()); time.Now().Before(until) {
		_ = c.SetReadDeadline(until)
		return readOn
	}
	if socket.StateOf(c.Conn) != socket.Readable {
		return fail
	}
	_ = c.SetReadDeadline(time.Now().Add(idleReadMargin))
	return readOn
}

// recordRead records that bytes were read, which begin a request on a connection that is not encrypted.
func (c *conn) recordRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting, c.idle = c.waiting && c.encrypted, false
	c.waitingSince = time.Now()
	c.resume()
}

// beginRequest records that a request is being handled. The connection may have been interrupted after
// the header of the request was read; its reads go on.
func (c *conn) beginRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting, c.idle = false, false
	c.resume()
}

// resume lets reads go on if the connection was interrupted. The caller holds mu.
func (c *conn) resume() {
	if c.retiring {
		c.retiring = false
		_ = c.SetReadDeadline(time.Time{})
	}
}

// awaitRequest records that the connection waits for a request.
func (c *conn) awaitRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting, c.waitingSince, c.idle = true, time.Now(), true
}

// interrupt ends the pending read of a connection that has waited for a request for the given time.
func (c *conn) interrupt(idle time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.waiting || time.Since(c.waitingSince) < idle {
		return
	}
	c.retiring = true
	_ = c.SetReadDeadline(time.Now())
}

// CloseWrite closes the sending side. The http.Server does so after the last response.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn. A connection that is retired lingers before it is closed.
func (c *conn) Close() error {
	if c.beginLinger() {
		return nil
	}
	return c.closeNow()
}

// closeNow closes the connection and removes it from its set.
func (c *conn) closeNow() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closeLocked()
}

// closeLocked is closeNow for a caller that holds mu.
func (c *conn) closeLocked() error {
	c.closed = true
	c.set.remove(c)
	return c.Conn.Close()
}

func (c *conn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}
