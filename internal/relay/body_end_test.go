package relay

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/internal/membudget"
	"github.com/poplarshore/poplarshore/refusal"
	"github.com/poplarshore/poplarshore/routing"
)

const (
	bodyEndTimeout = 5 * time.Second
	lateBody       = "the body"
)

// lateConn returns the read that ends the body only once beforeEnd has been called. A deadline in the past that is
// set then is in force from when net/http watches for a disconnect until it has ended that read.
type lateConn struct {
	net.Conn
	beforeEnd func(readDeadline time.Time)

	mu       sync.Mutex
	deadline time.Time
	// ended, watching and expired report whether the body has been read, a disconnect is watched for, and a
	// deadline in the past has been set since.
	ended, watching, expired bool
	// watched is closed with watching, and cut when a read has ended by its deadline, or in any way after the body.
	watched, cut chan struct{}
	endRead      sync.Once
}

func (c *lateConn) SetReadDeadline(at time.Time) error {
	c.mu.Lock()
	c.deadline = at
	expire := c.ended && !at.IsZero() && at.Before(time.Now())
	begins := c.ended && at.IsZero() && !c.watching
	removes := at.IsZero() && c.watching && c.expired
	c.watching = c.watching || begins
	c.expired = c.expired || expire
	c.mu.Unlock()
	switch {
	case begins:
		// http.Server removes the deadline before it begins to watch.
		defer close(c.watched)
	case expire:
		<-c.watched
	case removes:
		<-c.cut
	}
	return c.Conn.SetReadDeadline(at)
}

// hasEndedWith reports whether an error ended a read after the body: http.Server no longer watches then, and removes the
// deadline although nothing was cut, for instance as the client has closed the connection.
func (c *lateConn) hasEndedWith(err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended && err != nil
}

func (c *lateConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, os.ErrDeadlineExceeded) || c.hasEndedWith(err) {
		c.endRead.Do(func() { close(c.cut) })
	}
	if bytes.HasSuffix(b[:n], []byte(lateBody)) {
		c.mu.Lock()
		deadline := c.deadline
		c.ended = true
		c.mu.Unlock()
		c.beforeEnd(deadline)
	}
	return n, err
}

// lateListener accepts connections whose reads of the end of a body are late.
type lateListener struct {
	net.Listener
	beforeEnd func(readDeadline time.Time)
}

func (l *lateListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &lateConn{Conn: c, beforeEnd: l.beforeEnd, watched: make(chan struct{}), cut: make(chan struct{})}, nil
}

// bodyRead is how the read of a body ended.
type bodyRead struct {
	err error
	// callerGone reports whether the caller is taken to have left, and gets no answer.
	callerGone bool
}

// readLateBody reads a body whose end is returned once beforeEnd has been called, within ctx.
func readLateBody(ctx context.Context, t *testing.T, bodyTimeout time.Duration, beforeEnd func(readDeadline time.Time)) bodyRead {
	t.Helper()
	g := NewWithT(t)
	result := make(chan bodyRead, 1)
	header := make(chan struct{})
	handler := func(w http.ResponseWriter, r *http.Request) {
		x, _ := newWaitingExchange()
		x.w, x.control, x.table = w, http.NewResponseController(w), routing.Compile(routing.Config{})
		x.deadline = time.Now().Add(bodyEndTimeout)
		x.server.opts.BodyTimeout = bodyTimeout
		x.server.Memory = membudget.New(1 << 20)
		close(header)
		err := x.readBody(ctx, r)
		// net/http watches for a disconnect from the end of the body on.
		select {
		case <-r.Context().Done():
		case <-time.After(50 * time.Millisecond):
		}
		result <- bodyRead{err: err, callerGone: r.Context().Err() != nil && !x.readCut}
	}
	server := httptest.NewUnstartedServer(http.HandlerFunc(handler))
	server.Listener = &lateListener{Listener: server.Listener, beforeEnd: beforeEnd}
	server.Start()
	defer server.Close()
	c, err := net.Dial("tcp", server.Listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = c.Close() }()
	head := "POST / HTTP/1.1\r\nHost: site.example\r\nContent-Length: 8\r\n\r\n"
	_, err = c.Write([]byte(head))
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(header, bodyEndTimeout).Should(BeClosed())
	_, err = strings.NewReader(lateBody).WriteTo(c)
	g.Expect(err).NotTo(HaveOccurred())
	var got bodyRead
	g.Eventually(result, bodyEndTimeout).Should(Receive(&got))
	return got
}

// TestCallerIsThereWhoseBodyEndsAsItsTimePasses guards against a read deadline that passes between the end of the body and
// its removal, ends the request's context, and is taken for a caller that left: the request got no answer.
func TestCallerIsThereWhoseBodyEndsAsItsTimePasses(t *testing.T) {
	g := NewWithT(t)
	got := readLateBody(t.Context(), t, 50*time.Millisecond, func(readDeadline time.Time) { <-time.After(time.Until(readDeadline)) })
	g.Expect(got.err).NotTo(HaveOccurred())
	g.Expect(got.callerGone).To(BeFalse())
}

// TestCallerIsThereWhoseBodyEndsAsRequestsAreAborted guards against the same where a stop cuts reads at the end of the body.
func TestCallerIsThereWhoseBodyEndsAsRequestsAreAborted(t *testing.T) {
	for range 20 {
		g := NewWithT(t)
		ctx, abort := context.WithCancelCause(t.Context())
		got := readLateBody(ctx, t, bodyEndTimeout, func(time.Time) { abort(refusal.New(refusal.Draining)) })
		if got.err != nil {
			g.Expect(refusal.FromError(got.err).Reason).To(Equal(refusal.Draining))
		}
		g.Expect(got.callerGone).To(BeFalse())
	}
}
