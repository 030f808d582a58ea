package transport

import (
	"errors"
	"io"
	"net/http"

	"github.com/joomcode/errorx"

	"github.com/poplarshore/poplarshore/internal/httphead"
)

// ErrCut reports a response without a length whose connection ended while the request was still being written, or after that
// had failed. A write that fails may have learned of a reset, of which the read sees only that the connection has ended.
// The upstream may have run the request.
var ErrCut = namespace.NewType("cut")

// CheckedTransport is a round tripper that sends requests by an http.Transport and fails those whose answer is no
// response, or not a whole one, as far as net/http doesn't. It is safe for concurrent use.
type CheckedTransport struct{ base *http.Transport }

// Checked returns a round tripper that sends requests by base.
func Checked(base *http.Transport) *CheckedTransport { return &CheckedTransport{base: base} }

// RoundTrip implements http.RoundTripper. Errors: httphead.ErrInvalid, and those of net/http; of the body: httphead.ErrInvalid
// and ErrCut.
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
	if resp.Body != http.NoBody {
		resp.Body = &checkedBody{ReadCloser: resp.Body, checkEnd: func() error { return t.checkEnd(x, req, resp) }}
	}
	return resp, nil
}

// checkEnd checks what ended the body of a response. Errors: httphead.ErrInvalid, ErrCut.
func (t *CheckedTransport) checkEnd(x *exchange, req *http.Request, resp *http.Response) error {
	if err := httphead.CheckFields(resp.Trailer); err != nil {
		t.abandon(x)
		return err
	}
	hasBody := req.Body != nil && req.Body != http.NoBody
	if !hasBody || !endsWithConnection(resp) {
		return nil
	}
	if err := x.endWrite(); err != nil {
		return ErrCut.Wrap(err, "connection to %s ended before the request was written", req.URL.Host)
	}
	return nil
}

// endsWithConnection reports whether only the end of the connection marks that of the body. A body that net/http decompressed
// shows its end itself.
func endsWithConnection(resp *http.Response) bool {
	return resp.ProtoMajor == 1 && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && !resp.Uncompressed
}

// checkedBody is a body whose end is checked.
type checkedBody struct {
	io.ReadCloser
	// checkEnd returns why the body is not whole although it has ended, or nil.
	checkEnd func() error
}

// Read implements io.Reader. Errors: those of checkEnd in place of io.EOF, and those of the body.
func (b *checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	if endErr := b.checkEnd(); endErr != nil {
		return n, endErr
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
