// Package fetch makes HTTP requests with a timeout for the response header and an
// idle timeout for the body. Unlike one timeout for the whole response, this
// distinguishes a long response on a slow link from a silent connection. A body whose
// bytes trickle without end is given up, too.
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
// within its limit, or that the body came too slowly as a whole.
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
	// Conn is the kind of the connection.
	Conn Conn
}

// Do sends a request and reads its response. Errors: ErrTimeout, ErrTooLong and those of
// the client. After an error in the body the response has its status. Conn is set after any error.
func Do(client *http.Client, req *http.Request, l Limits) (Response, error) {
	ctx, cancel := context.WithCancelCause(req.Context())
	defer cancel(nil)
	var conn usedConn
	timer := time.AfterFunc(l.HeaderTimeout,
		func() {
			cancel(ErrTimeout.New("no data from %s within the limit over %s", req.URL.Host, conn.describe()))
		})
	defer timer.Stop()
	resp, err := read(client, req.WithContext(conn.trace(ctx)), l, timer)
	resp.Conn = conn.kind()
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
		timer: timer, idleTimeout: l.IdleTimeout, tooSlowAt: time.Now().Add(maxPauses * l.IdleTimeout)})
	if err == nil && int64(len(body)) > l.MaxBytes {
		err = ErrTooLong.New("body from %s is longer than %d bytes", req.URL.Host, l.MaxBytes)
	}
	return Response{Status: resp.StatusCode, Header: resp.Header, Body: body, HeaderTime: headerTime}, err
}

const (
	// minBytesPerSecond is the rate at which the whole body must come at least, after the first maxPauses
	// idle timeouts. It is below that of a link that is nearly full.
	minBytesPerSecond = 4 << 10
	maxPauses         = 4
)

// idleReader restarts the timer at each read of the body, with the idle timeout or what is left until the body
// is too slow.
type idleReader struct {
	body        io.Reader
	timer       *time.Timer
	idleTimeout time.Duration
	// tooSlowAt is when the body is too slow if nothing more comes.
	tooSlowAt time.Time
}

// Read implements io.Reader.
func (r *idleReader) Read(p []byte) (int, error) {
	r.timer.Reset(min(r.idleTimeout, time.Until(r.tooSlowAt)))
	n, err := r.body.Read(p)
	r.tooSlowAt = r.tooSlowAt.Add(time.Duration(n) * time.Second / minBytesPerSecond)
	return n, err
}
