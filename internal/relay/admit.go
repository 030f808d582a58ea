package relay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	"github.com/poplarshore/poplarshore/internal/membudget"
	"github.com/poplarshore/poplarshore/refusal"
)

// admit prepares an exchange for its first attempt: it finds the route and the
// client account, sets the deadline, and reads the body. Every error it returns
// is a refusal. ctx ends with r, or when running requests are aborted.
func (x *exchange) admit(ctx context.Context, r *http.Request) error {
	s := x.server
	x.deadline = x.startedAt.Add(s.opts.DefaultDeadline)
	if x.request.Invalid != nil {
		return refusal.Wrap(refusal.AmbiguousRequest, x.request.Invalid)
	}
	if x.hop != nil {
		if refused := x.admitRelayed(); refused != nil {
			return refused
		}
	}
	if refused := x.awaitStartup(ctx); refused != nil {
		return refused
	}
	if refused := x.applyConfig(ctx); refused != nil {
		return refused
	}
	x.setDeadline()
	if refused := x.refuseUnfinishable(); refused != nil {
		return refused
	}
	if err := x.readBody(ctx, r); err != nil {
		return err
	}
	x.initRouting()
	if x.hop != nil {
		if refused := x.checkRelayed(); refused != nil {
			return refused
		}
	}
	return nil
}

const (
	// startupWait is how long a request waits for the first configuration after
	// the process started, but at most the caller's deadline divided by
	// startupWaitDivisor.
	startupWait        = 600 * time.Millisecond
	startupWaitDivisor = 8
	// configPoll is the interval at which the configuration is checked.
	configPoll = 5 * time.Millisecond
)

// awaitStartup returns the reason why new requests are refused, or nil. A process
// reads its configuration shortly after it starts, so a request that arrives
// before that waits for a short time instead of being refused at once.
func (x *exchange) awaitStartup(ctx context.Context) *refusal.Refusal {
	s := x.server
	limit := startupWait
	if x.request.Deadline > 0 {
		limit = min(limit, x.request.Deadline/startupWaitDivisor)
	}
	for {
		refused := s.AdmissionRefusal()
		if refused == nil || refused.Reason != refusal.ConfigurationStale || s.Clock.Since(x.startedAt) >= limit {
			return refused
		}
		if gone := x.awaitConfig(ctx); gone != nil {
			return gone
		}
	}
}

// awaitConfig waits until the configuration is checked again. It returns a refusal if ctx ends meanwhile.
func (x *exchange) awaitConfig(ctx context.Context) *refusal.Refusal {
	select {
	case <-ctx.Done():
		return refusal.Wrap(refusal.CallerGone, ctx.Err())
	case <-x.server.Clock.After(configPoll):
		return nil
	}
}

// setDeadline sets the deadline from the route's timeout and the caller's own
// deadline, whichever is sooner.
func (x *exchange) setDeadline() {
	limit := x.server.opts.DefaultDeadline
	if x.route.Timeout > 0 {
		limit = x.route.Timeout
	}
	if x.request.Deadline > 0 {
		limit = min(limit, x.request.Deadline)
	}
	x.deadline = x.startedAt.Add(limit)
}

// bodyDiscardTimeout is how long the rest of a body is read after the request was refused. A connection
// closed with unread data is reset, and the caller might lose the refusal.
const bodyDiscardTimeout = 500 * time.Millisecond

// readBody reads the whole request body into memory, as further attempts may
// have to send it again.
func (x *exchange) readBody(ctx context.Context, r *http.Request) error {
	if r.Body == nil || r.ContentLength == 0 {
		return nil
	}
	limit := x.table.Limits().MaxBodyBytes
	if limit <= 0 {
		limit = int64(x.server.opts.MaxBufferedBytes)
	}
	if r.ContentLength > limit {
		return refusal.New(refusal.BodyTooLarge)
	}
	ctx, endWait := x.waitContext(ctx)
	defer endWait()
	readBy := time.Now().Add(min(x.server.opts.BodyTimeout, time.Until(x.deadline)))
	release := x.limitRead(ctx, readBy)
	err := x.keepBody(r, limit)
	// The error doesn't tell: net/http replaces that of a read within the end of a chunked body.
	timedOut := err != nil && !time.Now().Before(readBy)
	cut := release()
	refused := causeOf(ctx)
	x.readCut = cut && refused != nil || timedOut
	if x.readCut {
		x.setReadDeadline(time.Now().Add(bodyDiscardTimeout))
	}
	var tooLarge *http.MaxBytesError
	var full *refusal.Refusal
	switch {
	case refused != nil && (err != nil || x.readCut):
		return refused
	case err == nil:
		return nil
	case errors.As(err, &full):
		x.setReadDeadline(time.Now().Add(bodyDiscardTimeout))
		return full
	case errors.As(err, &tooLarge):
		return refusal.Wrap(refusal.BodyTooLarge, err)
	}
	return refusal.Wrap(refusal.BodyTimeout, err)
}

// keepBody reads the body of a request, of at most limit bytes, in memory that is reserved. Errors: those of the
// connection, and a MemoryFull refusal.
func (x *exchange) keepBody(r *http.Request, limit int64) error {
	x.bodyMemory = x.reserveForCaller()
	body := membudget.NewBuffer(x.bodyMemory, int(limit))
	body.Expect(int(r.ContentLength))
	err := body.Fits(int(r.ContentLength))
	if err == nil {
		_, err = body.ReadFrom(http.MaxBytesReader(x.w, r.Body, limit))
	}
	if errorx.IsOfType(err, membudget.ErrExhausted) {
		return refusal.Wrap(refusal.MemoryFull, err)
	}
	x.body = body.Bytes()
	return err
}

// limitRead ends reads of the request body at the given time, and when ctx ends. The returned
// function removes the limit, and reports whether the end of ctx ended reads.
func (x *exchange) limitRead(ctx context.Context, until time.Time) (release func() bool) {
	x.setReadDeadline(until)
	ended := make(chan struct{})
	detach := context.AfterFunc(ctx, func() {
		defer close(ended)
		x.setReadDeadline(time.Unix(1, 0))
	})
	return func() bool {
		cut := !detach()
		if cut {
			<-ended
		}
		x.setReadDeadline(time.Time{})
		return cut
	}
}

func (x *exchange) setReadDeadline(at time.Time) {
	if err := x.control.SetReadDeadline(at); err != nil {
		x.server.Log.Debug("failed to set read deadline for request body", "request", x.request.ID, "error", err)
	}
}
