package transport

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"

	"github.com/joomcode/errorx"

	"github.com/poplarshore/poplarshore/internal/httphead"
)

// CheckedTransport is a round tripper that sends requests by an http.Transport and fails those whose answer is no
// response, or not a whole one, as far as net/http doesn't. It is safe for concurrent use.
type CheckedTransport struct{ base *http.Transport }

// Checked returns a round tripper that sends requests by base.
func Checked(base *http.Transport) *CheckedTransport { return &CheckedTransport{base: base} }

// RoundTrip implements http.RoundTripper. Errors: httphead.ErrInvalid, and those of net/http.
func (t *CheckedTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	x := &exchange{}
	resp, err := t.base.RoundTrip(req.WithContext(x.trace(req.Context())))
	if err != nil {
		return nil, unwrapInvalid(err)
	}
	if err := httphead.Check(resp.StatusCode, resp.Header); err != nil {
		_ = resp.Body.Close()
		t.abandon(x)
		return nil, err
	}
	if len(resp.TransferEncoding) > 0 {
		resp.Body = &trailedBody{ReadCloser: resp.Body, response: resp, abandon: func() { t.abandon(x) }}
	}
	return resp, nil
}

// trailedBody is a body that a trailer may follow.
type trailedBody struct {
	io.ReadCloser
	response *http.Response
	// abandon closes the connection.
	abandon func()
}

// Read implements io.Reader. Errors: httphead.ErrInvalid in place of io.EOF if the trailer is none, and those of the body.
func (b *trailedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	if invalid := httphead.CheckFields(b.response.Trailer); invalid != nil {
		b.abandon()
		return n, invalid
	}
	return n, io.EOF
}

// unwrapInvalid returns the ErrInvalid that net/http wrapped, or else err.
func unwrapInvalid(err error) error {
	var invalid *errorx.Error
	if errors.As(err, &invalid) && invalid.IsOfType(httphead.ErrInvalid) {
		return invalid
	}
	return err
}

// CloseIdleConnections closes the unused connections.
func (t *CheckedTransport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// abandon closes the connection of an exchange. It may be among the unused ones already, of which none is kept, as net/http
// may take a closed one for another request.
func (t *CheckedTransport) abandon(x *exchange) {
	x.closeConn()
	t.base.CloseIdleConnections()
}

// exchange is what is known of a request and its response. It is safe for concurrent use.
type exchange struct {
	mu   sync.Mutex
	conn net.Conn
	// informational is the number of informational responses, and informationalBytes the size of their header fields.
	informational, informationalBytes int
}

// trace returns a context with which net/http records the exchange.
func (x *exchange) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:        func(info httptrace.GotConnInfo) { x.begin(info.Conn) },
		Got1xxResponse: x.checkInformational,
	})
}

// begin records the connection of the exchange. It is called again if net/http sends the request once more.
func (x *exchange) begin(conn net.Conn) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.conn, x.informational, x.informationalBytes = conn, 0, 0
}

// closeConn closes the connection of the exchange.
func (x *exchange) closeConn() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.conn != nil {
		_ = x.conn.Close()
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
