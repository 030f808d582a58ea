package upconn

import (
	"errors"
	"net"
	"os"
	"time"
)

// patientReader reads from a connection whose peer may be silent at any byte of a response.
type patientReader struct {
	conn net.Conn
	// onSilence returns how much longer to wait when the read deadline has passed, or zero to give up. Nil gives up.
	onSilence func() time.Duration
	// gaveUp reports whether a read ended by its deadline. What reads on may hide that error.
	gaveUp bool
}

// Read implements io.Reader. Errors: os.ErrDeadlineExceeded if it gave up, and those of the connection.
func (r *patientReader) Read(p []byte) (int, error) {
	for {
		n, err := r.conn.Read(p)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		more := r.moreTime()
		if more <= 0 {
			r.gaveUp = true
			return 0, err
		}
		if err := r.conn.SetReadDeadline(time.Now().Add(more)); err != nil {
			return 0, err
		}
	}
}

// moreTime returns how much longer to wait for a silent peer.
func (r *patientReader) moreTime() time.Duration {
	if r.onSilence == nil {
		return 0
	}
	return r.onSilence()
}
