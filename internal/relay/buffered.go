package relay

import (
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/poplarshore/poplarshore/internal/upconn"
)

// maxDrainBytes is how much of the body of a rejection is read in order to reuse
// the connection, and the size of the read buffer.
const maxDrainBytes = 4 << 10

// drainBody reads a short body to its end, so that the connection can be reused.
func (a *attempt) drainBody(resp *upconn.Response) {
	buf := make([]byte, maxDrainBytes)
	for read := 0; read < maxDrainBytes; {
		n, err := resp.Read(buf, a.exchange.timeLeft(), nil)
		if err != nil {
			return
		}
		read += n
	}
}

// bufferedResponse is a response that is read completely before any part of it
// is forwarded.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// buffer reads the complete response. A failure is stored, to be forwarded if no
// later attempt succeeds; any other response is forwarded at once.
func (a *attempt) buffer(resp *upconn.Response, failure bool) error {
	x := a.exchange
	b, err := x.readWhole(resp, string(a.engine.ID()))
	if err != nil {
		return err
	}
	defer x.server.buffered.release(len(b.body))
	a.recordReceived()
	if failure {
		x.upstreamFailure = b
		return errFailed.New("upstream failure: status %d from %s", resp.Status, a.engine.ID())
	}
	return b.writeTo(x)
}

// readWhole reads the complete response from the named sender. After a success its size must
// be released from the server's buffer budget.
func (x *exchange) readWhole(resp *upconn.Response, sender string) (*bufferedResponse, error) {
	b := &bufferedResponse{status: resp.Status, header: resp.Header}
	buf := make([]byte, maxDrainBytes)
	for {
		n, err := resp.Read(buf, max(x.timeLeft(), minWait), nil)
		taken := x.server.buffered.take(n)
		b.body = append(b.body, buf[:n]...)
		switch {
		case !taken:
			err = upconn.ErrBroken.New("responses being read together exceed %d bytes, among them one from %s",
				x.server.opts.MaxTotalBufferedBytes, sender)
		case errors.Is(err, io.EOF):
			return b, nil
		case err == nil && len(b.body) > x.server.opts.MaxBufferedBytes:
			err = upconn.ErrBroken.New("response larger than %d bytes from %s", x.server.opts.MaxBufferedBytes, sender)
		}
		if err != nil {
			x.server.buffered.release(len(b.body))
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
	return x.sendWhole(b.body)
}
