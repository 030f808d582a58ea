package upconn

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
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

// concurrentWriteBytes is the size from which a request is written while the
// response is read, as the upstream may respond before it has read the request.
const concurrentWriteBytes = 16 << 10

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

// write writes the request; a large one in the background.
func (r *Response) write(req Request) error {
	head := encodeHead(req)
	if len(head)+len(req.Body) >= concurrentWriteBytes {
		r.writeResult = make(chan error, 1)
		go func() { r.writeResult <- r.writeParts(head, req.Body) }()
		return nil
	}
	n, err := r.conn.Write(append(head, req.Body...))
	switch {
	case err == nil:
		return nil
	case n == 0:
		return ErrNotSent.Wrap(err, "write request to %s", r.conn.address)
	}
	return ErrConnectionLost.Wrap(err, "request partly written to %s", r.conn.address)
}

// limitWrite sets the time within which the upstream must take the next part of the request.
func (r *Response) limitWrite() error {
	return r.conn.SetWriteDeadline(time.Now().Add(r.pool.opts.TCPUserTimeout))
}

// writeParts writes a large request in parts, so that it may take longer than the write
// timeout on a slow link as long as the upstream takes some of it. If the upstream takes
// nothing for that long and has not responded either, the connection is closed, as it would
// otherwise wait for the response to a request that was never complete.
func (r *Response) writeParts(head, body []byte) error {
	// The body is not copied, as it may be large.
	withHead := min(len(body), max(concurrentWriteBytes-len(head), 0))
	if err := r.writePart(append(head, body[:withHead]...)); err != nil {
		return err
	}
	for part := range slices.Chunk(body[withHead:], concurrentWriteBytes) {
		if err := r.writePart(part); err != nil {
			return err
		}
	}
	return nil
}

// writePart writes a part of a large request.
func (r *Response) writePart(part []byte) error {
	err := r.limitWrite()
	if err == nil {
		_, err = r.conn.Write(part)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && !r.responded.Load() {
		_ = r.conn.Close()
	}
	return err
}

// headCapacity is the usual size of a request's header, with a short body, in bytes.
const headCapacity = 2 << 10

// encodeHead returns the request line and the header in the HTTP/1.1 wire format.
func encodeHead(req Request) []byte {
	var b bytes.Buffer
	b.Grow(headCapacity)
	b.WriteString(req.Method)
	b.WriteByte(' ')
	b.WriteString(req.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(req.Host)
	b.WriteString("\r\n")
	// Writing to a bytes.Buffer never returns an error.
	_ = req.Header.Write(&b)
	if len(req.Body) > 0 || req.Method != http.MethodGet && req.Method != http.MethodHead {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(req.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
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

// minRestTimeout is the least time for the rest of a header, or of the data that a read of the body needs, to
// arrive after the first byte before the upstream counts as silent.
const minRestTimeout = 2 * time.Second

// waitReadable waits for the next byte from the upstream. When limit has passed, onSilence returns how much
// longer to wait, also for the bytes that the same read needs after that. Errors are those of the connection.
func (r *Response) waitReadable(limit time.Duration, onSilence func() time.Duration) error {
	r.conn.patient.onSilence = onSilence
	if r.conn.reader.Buffered() == 0 {
		if err := r.conn.SetReadDeadline(time.Now().Add(limit)); err != nil {
			return err
		}
		if _, err := r.conn.reader.Peek(1); err != nil {
			return err
		}
	}
	return r.conn.SetReadDeadline(time.Now().Add(max(limit, minRestTimeout)))
}

// readError wraps an error of a read as ErrSilent, as ErrConnectionLost, or as another
// ErrBroken if the connection is not its cause.
func (r *Response) readError(err error) error {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded), r.conn.patient.gaveUp:
		return ErrSilent.Wrap(err, "timed out waiting for response from %s", r.conn.address)
	case isConnectionEnd(err):
		return ErrConnectionLost.Wrap(err, "read response from %s", r.conn.address)
	}
	return ErrBroken.Wrap(err, "read response from %s", r.conn.address)
}

// isConnectionEnd reports whether a read failed because the connection ended. It is false
// for a connection that this process closed itself.
func isConnectionEnd(err error) bool {
	var netErr *net.OpError
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.As(err, &netErr) && !errors.Is(err, net.ErrClosed)
}

// Read reads from the body. It waits for the next bytes up to limit; then
// onSilence returns how much longer to wait, or zero to give up, and nil gives
// up. At the end of a complete body it returns io.EOF. Errors: ErrBroken,
// ErrSilent.
func (r *Response) Read(buf []byte, limit time.Duration, onSilence func() time.Duration) (int, error) {
	if !r.complete && r.parsed.Body != http.NoBody {
		err := r.waitReadable(limit, onSilence)
		if errors.Is(err, io.EOF) && !r.framed {
			return 0, r.endBody()
		}
		if err != nil {
			return 0, r.readError(err)
		}
	}
	n, err := r.parsed.Body.Read(buf)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF):
		return n, r.endBody()
	}
	return n, r.readError(err)
}

// endBody checks what ended the body. It returns io.EOF if the body is complete. Errors: ErrBroken, ErrConnectionLost.
func (r *Response) endBody() error {
	if !r.framed {
		if err := r.endWrite(); err != nil {
			return ErrConnectionLost.Wrap(err, "connection to %s ended before the request was written", r.conn.address)
		}
	}
	if err := httphead.CheckFields(r.parsed.Trailer); err != nil {
		return ErrBroken.Wrap(err, "read trailer of response from %s", r.conn.address)
	}
	r.complete = true
	return io.EOF
}

// endWrite ends the write of the request after the end of the connection, and returns its result. A write that failed may have
// learned of a reset, of which the read sees only that the connection has ended.
func (r *Response) endWrite() error {
	if r.writeResult == nil {
		return nil
	}
	_ = r.conn.Close()
	return <-r.writeResult
}

// Drain reads the rest of a short body, so that the connection can be reused. It stops after the time limit, whatever
// has come, and does nothing if the body is known to be longer than maxBytes.
func (r *Response) Drain(maxBytes int64, limit time.Duration) {
	if r.complete || r.length > maxBytes {
		return
	}
	r.conn.patient.onSilence = nil
	if r.conn.SetReadDeadline(time.Now().Add(limit)) != nil {
		return
	}
	if _, err := io.CopyN(io.Discard, r.parsed.Body, maxBytes+1); errors.Is(err, io.EOF) {
		_ = r.endBody()
	}
}

// Length returns the length of the body that the header names, and false if it names none.
func (r *Response) Length() (int64, bool) { return r.length, r.length >= 0 }

// EndsWithConnection reports whether only the end of the connection marks that of the body.
func (r *Response) EndsWithConnection() bool { return !r.framed }

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

// requestWritten reports whether the complete request has been written.
func (r *Response) requestWritten() bool {
	if r.writeResult == nil {
		return true
	}
	select {
	case err := <-r.writeResult:
		return err == nil
	default:
		return false
	}
}
