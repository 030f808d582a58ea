package relay

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/poplarshore/poplarshore/internal/membudget"
	"github.com/poplarshore/poplarshore/internal/upconn"
)

const (
	// maxDrainBytes is how much of the body of a rejection is read in order to reuse the connection, and drainTimeout how
	// long that may delay the request.
	maxDrainBytes = 4 << 10
	drainTimeout  = 100 * time.Millisecond
	// bodyPartBytes is how much of a body is read at a time.
	bodyPartBytes = 4 << 10
)

// bufferedResponse is a response that is read completely before any part of it
// is forwarded.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
	memory *membudget.Reservation
}

// release returns what was reserved for the body.
func (b *bufferedResponse) release() { b.memory.Release() }

// buffer reads the complete response. A failure is stored, to be forwarded if no
// later attempt succeeds; any other response is forwarded at once.
func (a *attempt) buffer(resp *upconn.Response, failure bool) error {
	x := a.exchange
	b, err := x.readWhole(resp, x.reserveFor(a.engine), string(a.engine.ID()), a.awaitBody(resp))
	if err != nil {
		return err
	}
	x.keepUntilEnd(b)
	a.recordReceived()
	if failure {
		x.upstreamFailure = b
		return errFailed.New("upstream failure: status %d from %s", resp.Status, a.engine.ID())
	}
	return b.writeTo(x)
}

// keepUntilEnd keeps the response until the end of the exchange, in place of the one before it.
func (x *exchange) keepUntilEnd(b *bufferedResponse) {
	if x.buffered != nil {
		x.buffered.release()
	}
	x.buffered = b
}

// readWhole reads the complete response from the named sender. The reservation grows with it, and is released if it
// fails. It is given up when the wait says so; nil waits until the deadline. Errors: errTooLarge, errOverShare,
// errNoMemory, errUnending and those of upconn.
func (x *exchange) readWhole(
	resp *upconn.Response, memory *membudget.Reservation, sender string, wait *bodyWait,
) (*bufferedResponse, error) {
	length, _ := resp.Length()
	if length > int64(x.server.opts.MaxBufferedBytes) {
		return nil, errTooLarge.New("response of %d bytes from %s", length, sender)
	}
	body := membudget.NewBuffer(memory, x.server.opts.MaxBufferedBytes)
	body.Expect(int(length))
	whole := false
	defer func() {
		if !whole {
			body.Release()
		}
	}()
	buf := make([]byte, bodyPartBytes)
	for {
		n, err := resp.Read(buf, wait.limit(x), wait.onSilence(x, body.Len()))
		if keepErr := body.Append(buf[:n]); keepErr != nil {
			err = keepError(keepErr, sender)
		}
		if err == nil && wait.isOver(x, body.Len()) {
			err = errUnending.New("response from %s goes on", sender)
		}
		switch {
		case errors.Is(err, io.EOF):
			whole = true
			return &bufferedResponse{status: resp.Status, header: resp.Header, body: body.Bytes(), memory: memory}, nil
		case err != nil:
			return nil, err
		}
	}
}

// writeTo sends the response to the caller of x. Errors: a CallerGone refusal.
func (b *bufferedResponse) writeTo(x *exchange) error {
	if len(b.body) > 0 && b.header.Get("Content-Length") == "" {
		x.w.Header().Set("Content-Length", strconv.Itoa(len(b.body)))
	}
	x.sendHeader(b.status, b.header)
	// From now on it is the caller that decides how long the body is kept.
	b.memory.Transfer(x.callerHolders()...)
	return x.sendWhole(b.body)
}
