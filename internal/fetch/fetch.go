// Package fetch reads answers over HTTP whose head must come in time, and whose
// body may take as long as it goes on coming: a long answer on a thin link is
// told from a connection that has gone silent.
package fetch

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/joomcode/errorx"
)

var namespace = errorx.NewNamespace("fetch")

// ErrSilent reports that nothing came for longer than the limit.
var ErrSilent = namespace.NewType("silent", errorx.Timeout())

// Limits bound one answer.
type Limits struct {
	// Head is the longest time to the head, Silence that between parts of the body.
	Head, Silence time.Duration
	// MaxBytes bounds the body.
	MaxBytes int64
}

// Reply is a whole answer.
type Reply struct {
	Status int
	Body   []byte
}

// Do sends a request and reads its answer. Errors: ErrSilent, those of the client.
func Do(client *http.Client, req *http.Request, l Limits) (Reply, error) {
	ctx, cancel := context.WithCancelCause(req.Context())
	defer cancel(nil)
	alarm := time.AfterFunc(l.Head, func() { cancel(ErrSilent.New("no answer from %s", req.URL.Host)) })
	defer alarm.Stop()
	reply, err := read(client, req.WithContext(ctx), l, alarm)
	if cause := context.Cause(ctx); err != nil && errorx.IsOfType(cause, ErrSilent) {
		return reply, cause
	}
	return reply, err
}

func read(client *http.Client, req *http.Request, l Limits, alarm *time.Timer) (Reply, error) {
	resp, err := client.Do(req)
	if err != nil {
		return Reply{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(&watched{from: io.LimitReader(resp.Body, l.MaxBytes), alarm: alarm, silence: l.Silence})
	return Reply{Status: resp.StatusCode, Body: body}, err
}

// watched puts the alarm off at each part that comes.
type watched struct {
	from    io.Reader
	alarm   *time.Timer
	silence time.Duration
}

// Read implements io.Reader.
func (w *watched) Read(p []byte) (int, error) {
	w.alarm.Reset(w.silence)
	return w.from.Read(p)
}
