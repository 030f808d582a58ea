package rawserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Upload is how the upload of a request ends at a server that answers without reading on.
type Upload int

// Ways of an upload to end.
const (
	// UploadTaken means that the server takes the whole request before it answers.
	UploadTaken Upload = iota
	// UploadReset means that the server resets the connection, which the client's write learns first, as on Linux.
	UploadReset
	// UploadStuck means that the server takes no more.
	UploadStuck
)

// takenBytes is how much of an upload's body is taken that isn't taken whole.
const takenBytes = 64 << 10

// Conn is the client's side of a connection to a server that answers one request with a text and ends the connection. What
// happens to the upload is certain before the client sees the end. It is safe for concurrent use.
type Conn struct {
	upload Upload
	// in and out are the ends of a pipe through which the server reads the request.
	in  *io.PipeReader
	out *io.PipeWriter
	// answered is closed when the server answers, and ended when it ends the connection.
	answered, ended chan struct{}
	endOnce         sync.Once

	mu   sync.Mutex
	text *strings.Reader
}

// NewConn returns a connection to a server that answers with the text.
func NewConn(text string, upload Upload) *Conn {
	c := &Conn{upload: upload, text: strings.NewReader(text), answered: make(chan struct{}), ended: make(chan struct{})}
	c.in, c.out = io.Pipe()
	go c.serve()
	return c
}

// serve reads the request as far as the server takes it, and answers.
func (c *Conn) serve() {
	r, err := http.ReadRequest(bufio.NewReader(c.in))
	if err != nil {
		return
	}
	if c.upload == UploadTaken {
		_, _ = io.Copy(io.Discard, r.Body)
		close(c.answered)
		c.end()
		return
	}
	_, _ = io.CopyN(io.Discard, r.Body, takenBytes)
	close(c.answered)
	if c.upload == UploadReset {
		_ = c.in.CloseWithError(syscall.ECONNRESET)
		return
	}
	c.end()
}

// end ends the connection for reads.
func (c *Conn) end() { c.endOnce.Do(func() { close(c.ended) }) }

// Write implements net.Conn. A write that fails ends the connection for reads before it returns.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.out.Write(p)
	if err != nil {
		c.end()
	}
	return n, err
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	<-c.answered
	c.mu.Lock()
	n, err := c.text.Read(p)
	c.mu.Unlock()
	if err == io.EOF {
		<-c.ended
	}
	return n, err
}

// Close implements net.Conn. It ends a write that is stuck.
func (c *Conn) Close() error {
	c.end()
	return c.in.CloseWithError(net.ErrClosed)
}

// LocalAddr implements net.Conn.
func (c *Conn) LocalAddr() net.Addr { return &net.TCPAddr{} }

// RemoteAddr implements net.Conn.
func (c *Conn) RemoteAddr() net.Addr { return &net.TCPAddr{} }

// SetDeadline implements net.Conn. Deadlines are not kept.
func (c *Conn) SetDeadline(time.Time) error { return nil }

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline implements net.Conn.
func (c *Conn) SetWriteDeadline(time.Time) error { return nil }
