package transport

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/joomcode/errorx"
)

// HeaderAttempt is the header field with the ID of a request. Upstreams repeat it in their
// responses.
const HeaderAttempt = "X-Attempt-Id"

var namespace = errorx.NewNamespace("transport")

// ErrNoAnswer reports a response on a reused connection that does not name the request: it may be
// a late or repeated response to an earlier request. The upstream may have run the request.
var ErrNoAnswer = namespace.NewType("no_answer")

// verifying is a round tripper that accepts a response on a reused connection only if it names the
// request. Requests to an upstream that has not named one yet use a new connection each, as do
// all requests to one that never does. Requests without an ID are not verified.
type verifying struct {
	keepAlive, singleUse http.RoundTripper
	// names reports whether the upstream named a request in a response.
	names atomic.Bool
}

// RoundTrip implements http.RoundTripper. Errors: ErrNoAnswer, and those of net/http.
func (v *verifying) RoundTrip(req *http.Request) (*http.Response, error) {
	id := req.Header.Get(HeaderAttempt)
	if id == "" {
		return v.keepAlive.RoundTrip(req)
	}
	if !v.names.Load() {
		resp, err := v.singleUse.RoundTrip(req)
		if err == nil && resp.Header.Get(HeaderAttempt) == id {
			v.names.Store(true)
		}
		return resp, err
	}
	return v.verified(req, id)
}

// verified sends a request over a connection that is kept, and verifies that its response names it
// if the connection was used before.
func (v *verifying) verified(req *http.Request, id string) (*http.Response, error) {
	ctx, cancel := context.WithCancel(req.Context())
	reused := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { reused = info.Reused },
	})
	resp, err := v.keepAlive.RoundTrip(req.WithContext(ctx))
	if err != nil {
		cancel()
		return nil, err
	}
	named := resp.Header.Get(HeaderAttempt)
	if named != id && (reused || named != "") {
		// The connection must not be used again: the answer may still come.
		cancel()
		_ = resp.Body.Close()
		return nil, ErrNoAnswer.New("response with status %d names request %q instead of %q", resp.StatusCode, named, id)
	}
	resp.Body = &cancellingBody{ReadCloser: resp.Body, cancel: cancel}
	return resp, nil
}

// cancellingBody is a response body that releases the context of its request when it is closed.
type cancellingBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (b *cancellingBody) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}
