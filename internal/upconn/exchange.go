package upconn

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"
)

// Request is one request to an upstream.
type Request struct {
	Method string
	// Target is the path with its query, as it stands on the request line.
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// Call says how a request is sent.
type Call struct {
	Address string
	Request Request
	// Mine tells whether an answer's header belongs to this request.
	Mine func(http.Header) bool
	// HeadTimeout bounds the wait for the head of the answer.
	HeadTimeout time.Duration
	// OnSilence is asked when HeadTimeout has passed without a byte: it returns
	// how long to wait on, or zero to give up. Nil gives up.
	OnSilence func() time.Duration
	// Keep returns how long the upstream keeps an unused connection; zero is
	// unknown.
	Keep func(http.Header) time.Duration
}

// Answer is the answer to a request. Close must be called.
type Answer struct {
	Status int
	Header http.Header

	pool  *Pool
	conn  *conn
	body  io.ReadCloser
	keep  time.Duration
	stop  func() bool
	wrote chan error
	whole bool
	// framed bodies have an end of their own, other than their connection's.
	framed bool
	reuse  bool
}

// concurrentBodyBytes is the request size from which it is written while the
// answer is read, as the upstream may answer before it has read everything.
const concurrentBodyBytes = 16 << 10

// Do sends the request and reads the head of its answer. The end of ctx closes
// the connection, also while the body is read. Errors: ErrNotSent, ErrBroken,
// ErrSilent.
func (p *Pool) Do(ctx context.Context, call Call) (*Answer, error) {
	c, err := p.get(ctx, call.Address)
	if err != nil {
		return nil, err
	}
	a := &Answer{pool: p, conn: c}
	a.stop = context.AfterFunc(ctx, func() { _ = c.Close() })
	if err := a.exchange(call); err != nil {
		a.stop()
		_ = c.Close()
		return nil, err
	}
	return a, nil
}

func (a *Answer) exchange(call Call) error {
	if err := a.conn.SetWriteDeadline(time.Now().Add(a.pool.opts.DeadAfter)); err != nil {
		return ErrNotSent.Wrap(err, "deadline")
	}
	if err := a.write(call.Request); err != nil {
		return err
	}
	if err := a.await(call.HeadTimeout, call.OnSilence); err != nil {
		return a.readError(err)
	}
	resp, err := a.head(call)
	if err != nil {
		return err
	}
	a.Status, a.Header, a.body = resp.StatusCode, resp.Header, resp.Body
	a.framed = resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	a.reuse = !resp.Close && a.framed
	if call.Keep != nil {
		a.keep = call.Keep(resp.Header)
	}
	return nil
}

// write sends the request; a large one in the background.
func (a *Answer) write(r Request) error {
	text := encode(r)
	if len(text) >= concurrentBodyBytes {
		a.wrote = make(chan error, 1)
		go func() {
			_, err := a.conn.Write(text)
			a.wrote <- err
		}()
		return nil
	}
	n, err := a.conn.Write(text)
	switch {
	case err == nil:
		return nil
	case n == 0:
		return ErrNotSent.Wrap(err, "write to %s", a.conn.address)
	}
	return ErrBroken.Wrap(err, "write to %s", a.conn.address)
}

// encode writes a request as HTTP/1.1.
func encode(r Request) []byte {
	var b bytes.Buffer
	b.Grow(len(r.Body) + 1024)
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	// A bytes.Buffer never fails to take what is written.
	_ = r.Header.Write(&b)
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}

// maxForeignBytes bounds the body of another request's answer.
const maxForeignBytes = 1 << 20

// head reads heads of answers until it meets the request's own.
func (a *Answer) head(call Call) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(a.conn.reader, &http.Request{Method: call.Request.Method})
		if err != nil {
			return nil, a.readError(err)
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if call.Mine == nil || call.Mine(resp.Header) {
			return resp, nil
		}
		if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			return nil, ErrBroken.New("another request's answer without an end from %s", a.conn.address)
		}
		if _, err := io.CopyN(io.Discard, resp.Body, maxForeignBytes); !errors.Is(err, io.EOF) {
			return nil, ErrBroken.New("another request's answer from %s", a.conn.address)
		}
	}
}

// headRest is the longest time for the rest of a head to arrive.
const headRest = 2 * time.Second

// await waits for the next byte from the upstream. Errors are the connection's.
func (a *Answer) await(limit time.Duration, onSilence func() time.Duration) error {
	for {
		if err := a.conn.SetReadDeadline(time.Now().Add(limit)); err != nil {
			return err
		}
		_, err := a.conn.reader.Peek(1)
		if err == nil {
			return a.conn.SetReadDeadline(time.Now().Add(headRest))
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || onSilence == nil {
			return err
		}
		if limit = onSilence(); limit <= 0 {
			return err
		}
	}
}

func (a *Answer) readError(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return ErrSilent.Wrap(err, "no answer from %s", a.conn.address)
	}
	return ErrBroken.Wrap(err, "answer from %s", a.conn.address)
}

// Read reads the body, waiting for the next bytes for limit, and on as long as
// onSilence says; nil gives up. At the end of a whole body it returns io.EOF.
// Errors: ErrBroken, ErrSilent.
func (a *Answer) Read(buf []byte, limit time.Duration, onSilence func() time.Duration) (int, error) {
	if !a.whole && a.body != http.NoBody && a.conn.reader.Buffered() == 0 {
		err := a.await(limit, onSilence)
		if errors.Is(err, io.EOF) && !a.framed {
			a.whole = true
			return 0, io.EOF
		}
		if err != nil {
			return 0, a.readError(err)
		}
	}
	n, err := a.body.Read(buf)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF):
		a.whole = true
		return n, io.EOF
	}
	return n, a.readError(err)
}

// Close ends the exchange. The connection is kept if the answer was read whole
// and nothing followed it.
func (a *Answer) Close() {
	live := a.stop()
	if live && a.whole && a.reuse && a.sent() && a.conn.reader.Buffered() == 0 &&
		a.conn.SetDeadline(time.Time{}) == nil {
		a.pool.put(a.conn, a.keep)
		return
	}
	_ = a.conn.Close()
}

// sent tells that the whole request has been written.
func (a *Answer) sent() bool {
	if a.wrote == nil {
		return true
	}
	select {
	case err := <-a.wrote:
		return err == nil
	default:
		return false
	}
}
