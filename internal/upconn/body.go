package upconn

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/poplarshore/poplarshore/internal/httphead"
)

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
