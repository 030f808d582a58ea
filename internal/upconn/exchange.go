package upconn

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/poplarshore/poplarshore/internal/httphead"
)

// Request is one request to an upstream.
type Request struct {
	Method string
	// Target is the path with the query string, as sent on the request line.
	Target string
	// Host is the value of the Host header.
	Host   string
	Header http.Header
	Body   []byte
}

// Call is a request with its destination and time limits.
type Call struct {
	// Address is the upstream's host:port.
	Address string
	Request Request
	// Withdrawn reports whether the request must not be sent to the upstream any more. It is
	// called right before the request is written. Nil never withdraws it.
	Withdrawn func() bool
	// ID identifies the request, and ResponseID returns the ID of the request that a response with
	// the given header answers, empty if it names none. On a connection that was used before,
	// only a response that names the request is accepted: any other may be a late or repeated
	// response to an earlier request. Nil accepts every response.
	ID         string
	ResponseID func(http.Header) string
	// HeaderTimeout is how long to wait for the first byte of the response.
	HeaderTimeout time.Duration
	// OnSilence is called when HeaderTimeout has passed without a byte. It
	// returns how much longer to wait, or zero to give up. Nil gives up.
	OnSilence func() time.Duration
	// IdleTimeout returns the upstream's idle timeout from the header of its
	// response; zero if unknown. Nil means unknown.
	IdleTimeout func(http.Header) time.Duration
}

// Response is the response to a request. Close must be called.
type Response struct {
	Status int
	Header http.Header
	// NewConnection reports whether a connection was opened for the request.
	NewConnection bool

	pool *Pool
	conn *conn
	// first reports whether the request is the first one on the connection.
	first bool
	// parsed is the response as package http reads it, with its body and trailer.
	parsed      *http.Response
	idleTimeout time.Duration
	stopCancel  func() bool
	// writeResult receives the result of writing a large request; nil for others.
	writeResult chan error
	// responded reports whether the header of the response has been read.
	responded atomic.Bool
	// length is that of the body, -1 if the header doesn't name it.
	length int64
	// complete reports whether the body has been read to its end.
	complete bool
	// framed reports whether the end of the body is given by Content-Length or a
	// transfer coding and not by the end of the connection.
	framed   bool
	reusable bool
}

// Do sends the request and reads the header of the response. The connection is
// closed when ctx ends, also while the body is read. Nothing is sent if ctx ended, or the
// upstream was withdrawn, while the connection was opened. Errors: ErrNotSent, ErrBroken,
// ErrSilent.
func (p *Pool) Do(ctx context.Context, call Call) (*Response, error) {
	c, err := p.get(ctx, &call)
	if err != nil {
		return nil, err
	}
	if ctx.Err() != nil {
		p.putUnused(c)
		return nil, ErrNotSent.Wrap(ctx.Err(), "send request to %s", call.Address)
	}
	if call.Withdrawn != nil && call.Withdrawn() {
		_ = c.Close()
		return nil, ErrWithdrawn.New("upstream at %s was withdrawn before the request was sent", call.Address)
	}
	resp := &Response{pool: p, conn: c, NewConnection: c.expiresAt.IsZero(), first: !c.used}
	c.used, c.lastID = true, call.ID
	resp.stopCancel = context.AfterFunc(ctx, func() { _ = c.Close() })
	if err := resp.exchange(call); err != nil {
		resp.stopCancel()
		_ = c.Close()
		return nil, err
	}
	return resp, nil
}

// exchange writes the request and reads the header of the response.
func (r *Response) exchange(call Call) error {
	if err := r.limitWrite(); err != nil {
		return ErrNotSent.Wrap(err, "set write deadline")
	}
	if err := r.write(call.Request); err != nil {
		return err
	}
	if err := r.waitReadable(call.HeaderTimeout, call.OnSilence); err != nil {
		return r.readError(err)
	}
	resp, err := r.readHeader(call)
	if err != nil {
		return err
	}
	r.responded.Store(true)
	r.Status, r.Header, r.parsed = resp.StatusCode, resp.Header, resp
	r.length = resp.ContentLength
	r.framed = resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	r.reusable = !resp.Close && r.framed
	if call.IdleTimeout != nil {
		r.idleTimeout = call.IdleTimeout(resp.Header)
	}
	return nil
}

// maxStaleBodyBytes is the largest body of a stale response that is skipped.
const maxStaleBodyBytes = 1 << 20

// maxHeadBytes is the largest size of a response's header, and maxHeadLines the largest number of its lines, each of which
// takes up to 100 bytes of memory beside its text.
const (
	maxHeadBytes = 64 << 10
	maxHeadLines = 512
)

// maxSkippedResponses is how many informational and stale responses are skipped.
const maxSkippedResponses = 16

// readHeader reads response headers, skipping informational and stale responses,
// until it finds the one that belongs to the request.
func (r *Response) readHeader(call Call) (*http.Response, error) {
	defer r.conn.budget.beginBody(unlimited)
	for range maxSkippedResponses {
		r.conn.budget.beginHead()
		if err := r.awaitHead(); err != nil {
			return nil, err
		}
		resp, err := http.ReadResponse(r.conn.reader, &http.Request{Method: call.Request.Method})
		if err != nil {
			return nil, r.readError(err)
		}
		if err := httphead.Check(resp.StatusCode, resp.Header); err != nil {
			return nil, ErrBroken.Wrap(err, "read response from %s", r.conn.address)
		}
		if httphead.IsInformational(resp.StatusCode) {
			continue
		}
		if r.isAnswer(&call, resp.Header) {
			return resp, nil
		}
		if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			return nil, ErrBroken.New("stale response without Content-Length or chunked coding from %s", r.conn.address)
		}
		r.conn.budget.beginBody(maxStaleBodyBytes)
		if _, err := io.CopyN(io.Discard, resp.Body, maxStaleBodyBytes); !errors.Is(err, io.EOF) {
			return nil, ErrBroken.New("stale response from %s could not be skipped", r.conn.address)
		}
		if err := httphead.CheckFields(resp.Trailer); err != nil {
			return nil, ErrBroken.Wrap(err, "read trailer of stale response from %s", r.conn.address)
		}
	}
	return nil, ErrBroken.New("more than %d responses to other requests from %s", maxSkippedResponses, r.conn.address)
}

// headStart is how each response begins.
const headStart = "HTTP/"

// awaitHead waits for the first byte of a response, and checks what has come with it: an upstream that sent something else may
// leave the connection open without ending the line. Errors: ErrBroken, ErrSilent.
func (r *Response) awaitHead() error {
	if _, err := r.conn.reader.Peek(1); err != nil {
		return r.readError(err)
	}
	start, err := r.conn.reader.Peek(min(r.conn.reader.Buffered(), len(headStart)))
	if err != nil {
		return r.readError(err)
	}
	if !strings.HasPrefix(headStart, string(start)) {
		return ErrBroken.New("expected a response from %s, got %q", r.conn.address, start)
	}
	return nil
}

// isAnswer reports whether the response with the given header answers the request.
func (r *Response) isAnswer(call *Call, h http.Header) bool {
	if call.ResponseID == nil {
		return true
	}
	id := call.ResponseID(h)
	if id == "" {
		return r.first
	}
	return id == call.ID
}

// Close ends the exchange. The connection is returned to the pool if the request
// was written, the response was read to its end and nothing followed it;
// otherwise it is closed.
func (r *Response) Close() {
	r.conn.patient.onSilence = nil
	notCancelled := r.stopCancel()
	if notCancelled && r.complete && r.reusable && r.requestWritten() && r.conn.reader.Buffered() == 0 &&
		r.conn.SetDeadline(time.Time{}) == nil {
		r.pool.putIdle(r.conn, r.idleTimeout)
		return
	}
	_ = r.conn.Close()
}
