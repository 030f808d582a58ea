package transport

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"

	"github.com/poplarshore/poplarshore/internal/httphead"
)

// exchange is what is known of a request and its response. It is safe for concurrent use.
type exchange struct {
	mu   sync.Mutex
	conn net.Conn
	// write is the write of the request to conn.
	write *requestWrite
	// informational is the number of informational responses, and informationalBytes the size of their header fields.
	informational, informationalBytes int
}

// trace returns a context with which net/http records the exchange.
func (x *exchange) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:        func(info httptrace.GotConnInfo) { x.begin(info.Conn) },
		WroteRequest:   func(info httptrace.WroteRequestInfo) { x.recordWritten(info.Err) },
		Got1xxResponse: x.checkInformational,
	})
}

// begin records the connection of the exchange. It is called again if net/http sends the request once more.
func (x *exchange) begin(conn net.Conn) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.conn, x.informational, x.informationalBytes = conn, 0, 0
	x.write = &requestWrite{done: make(chan struct{})}
}

// requestWrite is the write of a request to a connection.
type requestWrite struct {
	once sync.Once
	// done is closed when err is the result.
	done chan struct{}
	err  error
}

// recordWritten records the result of writing the request.
func (x *exchange) recordWritten(err error) {
	w := x.currentWrite()
	w.once.Do(func() {
		w.err = err
		close(w.done)
	})
}

// endWrite ends the write of the request after the end of the connection, and returns its result.
func (x *exchange) endWrite() error {
	x.closeConn()
	w := x.currentWrite()
	<-w.done
	return w.err
}

// currentWrite returns the write to the connection of the exchange.
func (x *exchange) currentWrite() *requestWrite {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.write
}

// closeConn closes the connection of the exchange.
func (x *exchange) closeConn() {
	x.mu.Lock()
	conn := x.conn
	x.mu.Unlock()
	if conn != nil {
		_ = conn.Close()
	}
}

const (
	// maxInformational is how many informational responses are skipped.
	maxInformational = 16
	// lineOverheadBytes is the size of a header line without its name and value.
	lineOverheadBytes = len(": \r\n")
)

// checkInformational checks an informational response. It bounds all of them together, as net/http leaves that to a trace
// that sees them. Errors: httphead.ErrInvalid.
func (x *exchange) checkInformational(status int, h textproto.MIMEHeader) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.informational++; x.informational > maxInformational {
		return httphead.ErrInvalid.New("more than %d informational responses", maxInformational)
	}
	for name, values := range h {
		for _, value := range values {
			x.informationalBytes += len(name) + len(value) + lineOverheadBytes
		}
	}
	if x.informationalBytes > MaxResponseHeaderBytes {
		return httphead.ErrInvalid.New("informational response headers exceeded %d bytes", MaxResponseHeaderBytes)
	}
	return httphead.Check(status, http.Header(h))
}
