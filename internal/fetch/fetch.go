// Package fetch makes HTTP requests with a timeout for the response header and an
// idle timeout for the body. Unlike one timeout for the whole response, this
// distinguishes a long response on a slow link from a silent connection.
package fetch

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/joomcode/errorx"
)

var namespace = errorx.NewNamespace("fetch")

// ErrTimeout reports that the header or the next part of the body did not arrive
// within its limit.
var ErrTimeout = namespace.NewType("silent", errorx.Timeout())

// ErrTooLong reports a body of more than Limits.MaxBytes.
var ErrTooLong = namespace.NewType("too_long")

// Limits bound one response.
type Limits struct {
	// HeaderTimeout is the longest time until the response header arrives,
	// IdleTimeout the longest time between parts of the body.
	HeaderTimeout, IdleTimeout time.Duration
	// MaxBytes is the largest length of the body.
	MaxBytes int64
}

// Response is a response with its complete body.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// HeaderTime is the time from the request to the response header.
	HeaderTime time.Duration
}

// Do sends a request and reads its response. Errors: ErrTimeout, ErrTooLong and those of
// the client. After an error in the body the response has its status.
func Do(client *http.Client, req *http.Request, l Limits) (Response, error) {
	ctx, cancel := context.WithCancelCause(req.Context())
	defer cancel(nil)
	timer := time.AfterFunc(l.HeaderTimeout,
		func() { cancel(ErrTimeout.New("no data from %s within the limit", req.URL.Host)) })
	defer timer.Stop()
	resp, err := read(client, req.WithContext(ctx), l, timer)
	if cause := context.Cause(ctx); err != nil && errorx.IsOfType(cause, ErrTimeout) {
		return resp, cause
	}
	return resp, err
}

// read sends the request and reads the response. Each read of the body restarts the
// timer.
func read(client *http.Client, req *http.Request, l Limits, timer *time.Timer) (Response, error) {
	sentAt := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return Response{}, err
	}
	headerTime := time.Since(sentAt)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(&idleReader{body: io.LimitReader(resp.Body, l.MaxBytes+1),
		timer: timer, idleTimeout: l.IdleTimeout})
	if err == nil && int64(len(body)) > l.MaxBytes {
		err = ErrTooLong.New("body from %s is longer than %d bytes", req.URL.Host, l.MaxBytes)
	}
	return Response{Status: resp.StatusCode, Header: resp.Header, Body: body, HeaderTime: headerTime}, err
}

// idleReader restarts the timer with the idle timeout at each read of the body.
type idleReader struct {
	body        io.Reader
	timer       *time.Timer
	idleTimeout time.Duration
}

// Read implements io.Reader.
func (r *idleReader) Read(p []byte) (int, error) {
	r.timer.Reset(r.idleTimeout)
	return r.body.Read(p)
}
