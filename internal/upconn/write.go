package upconn

import (
	"bytes"
	"errors"
	"net/http"
	"os"
	"slices"
	"strconv"
	"time"
)

// concurrentWriteBytes is the size from which a request is written while the
// response is read, as the upstream may respond before it has read the request.
const concurrentWriteBytes = 16 << 10

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

// requestWritten reports whether the complete request has been written.
func (r *Response) requestWritten() bool {
	if r.writeResult == nil {
		return true
	}
	select {
	case err := <-r.writeResult:
		r.writeResult <- err
		return err == nil
	default:
		return false
	}
}

// endWrite ends the write of the request after the end of the connection, and returns its result. A write that failed may have
// learned of a reset, of which the read sees only that the connection has ended.
func (r *Response) endWrite() error {
	if r.writeResult == nil {
		return nil
	}
	_ = r.conn.Close()
	err := <-r.writeResult
	r.writeResult <- err
	return err
}
