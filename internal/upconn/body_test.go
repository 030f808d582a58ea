package upconn_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/internal/upconn"
)

// failingConn closes failed when a write fails for the first time.
type failingConn struct {
	net.Conn
	once   sync.Once
	failed chan struct{}
}

// Write implements net.Conn.
func (c *failingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if err != nil {
		c.once.Do(func() { close(c.failed) })
	}
	return n, err
}

// newBodyPool returns a pool whose connections are pipes, which hold nothing, with the write
// timeout. serve gets the upstream's end of each. failed is closed when a write has failed.
func newBodyPool(t *testing.T, writeTimeout time.Duration, failed chan struct{}, serve func(net.Conn)) *upconn.Pool {
	opts := upconn.DefaultOptions()
	opts.TCPUserTimeout = writeTimeout
	opts.Dial = func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		t.Cleanup(func() { _ = far.Close() })
		go serve(far)
		return &failingConn{Conn: near, failed: failed}, nil
	}
	return upconn.NewPool(opts)
}

// bodyCall returns a call with a body that is written while the response is read.
func bodyCall() upconn.Call {
	call := newCall("u:1", "1")
	call.HeaderTimeout = time.Minute
	call.Request.Body = make([]byte, 1<<20)
	return call
}

// TestRequestThatUpstreamDoesNotReadIsGivenUp guards against an attempt that waits until its
// header timeout for the response to a request that was never complete.
func TestRequestThatUpstreamDoesNotReadIsGivenUp(t *testing.T) {
	g := NewWithT(t)
	pool := newBodyPool(t, 20*time.Millisecond, make(chan struct{}), func(c net.Conn) { _, _ = io.ReadFull(c, make([]byte, 100)) })
	startedAt := time.Now()
	_, err := pool.Do(t.Context(), bodyCall())
	g.Expect(err).To(MatchError(ContainSubstring("broken")))
	g.Expect(time.Since(startedAt)).To(BeNumerically("<", 30*time.Second))
}

// TestResponseOfUpstreamThatReadsOnlyTheHeaderIsDelivered guards against a rejection that is
// lost because its upstream does not read the body.
func TestResponseOfUpstreamThatReadsOnlyTheHeaderIsDelivered(t *testing.T) {
	g := NewWithT(t)
	failed := make(chan struct{})
	pool := newBodyPool(t, 20*time.Millisecond, failed, func(c net.Conn) {
		_, _ = http.ReadRequest(bufio.NewReader(c))
		write(c, "HTTP/1.1 200 OK\nId: 1\nContent-Length: 4\n\n")
		<-failed
		write(c, "full")
	})
	resp, err := pool.Do(t.Context(), bodyCall())
	g.Expect(err).NotTo(HaveOccurred())
	defer resp.Close()
	g.Expect(readBody(resp)).To(Equal("full"))
}
