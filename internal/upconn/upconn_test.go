package upconn_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/internal/upconn"
)

// startUpstream starts a server that calls handle for each request, with the
// number of the request over all connections, and returns its address.
func startUpstream(t *testing.T, handle func(n int, r *http.Request, c net.Conn)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = l.Close() })
	var n atomic.Int32
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func(c net.Conn) {
				defer func() { _ = c.Close() }()
				in := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					handle(int(n.Add(1)), r, c)
				}
			}(c)
		}
	}()
	return l.Addr().String()
}

// write sends text with CRLF line ends.
func write(c net.Conn, text string) { _, _ = io.WriteString(c, strings.ReplaceAll(text, "\n", "\r\n")) }

// okResponse returns a response to the request with the given id. The body must be
// shorter than ten bytes.
func okResponse(id, body string) string {
	return "HTTP/1.1 200 OK\nId: " + id + "\nContent-Length: " + string(rune('0'+len(body))) + "\n\n" + body
}

// newCall returns a request with the given id that accepts only responses with that
// id.
func newCall(address, id string) upconn.Call {
	return upconn.Call{
		Address:       address,
		Request:       upconn.Request{Method: "POST", Target: "/x", Host: "h", Header: http.Header{"Id": {id}}, Body: []byte("b")},
		ID:            id,
		ResponseID:    func(h http.Header) string { return h.Get("Id") },
		HeaderTimeout: 300 * time.Millisecond,
	}
}

// readBody reads a body to its end.
func readBody(resp *upconn.Response) (string, error) {
	var b strings.Builder
	buf := make([]byte, 64)
	for {
		n, err := resp.Read(buf, time.Second, nil)
		b.Write(buf[:n])
		if errors.Is(err, io.EOF) {
			return b.String(), nil
		}
		if err != nil {
			return b.String(), err
		}
	}
}

func TestConnectionIsReusedAfterCompleteResponse(t *testing.T) {
	g := NewWithT(t)
	address := startUpstream(t, func(_ int, r *http.Request, c net.Conn) { write(c, okResponse(r.Header.Get("Id"), "ok")) })
	p := upconn.NewPool(upconn.DefaultOptions())
	for _, id := range []string{"1", "2", "3"} {
		resp, err := p.Do(context.Background(), newCall(address, id))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(readBody(resp)).To(Equal("ok"))
		resp.Close()
	}
	g.Expect(p.Dials()).To(BeEquivalentTo(1))
}

func TestStaleResponseIsSkipped(t *testing.T) {
	g := NewWithT(t)
	address := startUpstream(t, func(n int, r *http.Request, c net.Conn) {
		if n == 2 {
			write(c, okResponse("1", "old"))
		}
		write(c, okResponse(r.Header.Get("Id"), "new"))
	})
	p := upconn.NewPool(upconn.DefaultOptions())
	for _, id := range []string{"1", "2"} {
		resp, err := p.Do(context.Background(), newCall(address, id))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(readBody(resp)).To(Equal("new"))
		resp.Close()
	}
	g.Expect(p.Dials()).To(BeEquivalentTo(1))
}

func TestBytesAfterResponseCloseConnection(t *testing.T) {
	g := NewWithT(t)
	address := startUpstream(t, func(_ int, r *http.Request, c net.Conn) {
		write(c, okResponse(r.Header.Get("Id"), "ok")+okResponse(r.Header.Get("Id"), "no"))
	})
	p := upconn.NewPool(upconn.DefaultOptions())
	for _, id := range []string{"1", "2"} {
		resp, err := p.Do(context.Background(), newCall(address, id))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(readBody(resp)).To(Equal("ok"))
		resp.Close()
	}
	g.Expect(p.Dials()).To(BeEquivalentTo(2))
}

func TestOnSilenceExtendsWaitUntilItReturnsZero(t *testing.T) {
	g := NewWithT(t)
	address := startUpstream(t, func(int, *http.Request, net.Conn) {})
	p := upconn.NewPool(upconn.DefaultOptions())
	c := newCall(address, "1")
	c.HeaderTimeout = 20 * time.Millisecond
	calls := 0
	c.OnSilence = func() time.Duration {
		if calls++; calls < 3 {
			return 10 * time.Millisecond
		}
		return 0
	}
	_, err := p.Do(context.Background(), c)
	g.Expect(errorx.IsOfType(err, upconn.ErrSilent)).To(BeTrue())
	g.Expect(calls).To(Equal(3))
}

func TestTruncatedBodyReturnsErrBroken(t *testing.T) {
	g := NewWithT(t)
	address := startUpstream(t, func(_ int, r *http.Request, c net.Conn) {
		write(c, "HTTP/1.1 200 OK\nId: "+r.Header.Get("Id")+"\nContent-Length: 9\n\nhalf")
		_ = c.Close()
	})
	p := upconn.NewPool(upconn.DefaultOptions())
	resp, err := p.Do(context.Background(), newCall(address, "1"))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = readBody(resp)
	g.Expect(errorx.IsOfType(err, upconn.ErrBroken)).To(BeTrue())
}

func TestBodyWithoutLengthEndsAtCloseButNotAtReset(t *testing.T) {
	g := NewWithT(t)
	address := startUpstream(t, func(n int, r *http.Request, c net.Conn) {
		write(c, "HTTP/1.1 200 OK\nId: "+r.Header.Get("Id")+"\n\nall")
		if n == 2 {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		_ = c.Close()
	})
	p := upconn.NewPool(upconn.DefaultOptions())
	resp, err := p.Do(context.Background(), newCall(address, "1"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(readBody(resp)).To(Equal("all"))
	resp, err = p.Do(context.Background(), newCall(address, "1"))
	if err == nil {
		_, err = readBody(resp)
	}
	g.Expect(errorx.IsOfType(err, upconn.ErrBroken)).To(BeTrue())
}

func TestResponseBeforeRequestBodyIsWrittenClosesConnection(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			write(c, okResponse("1", "no"))
		}
		// The rest of the request body is never read.
	}()
	p := upconn.NewPool(upconn.DefaultOptions())
	c := newCall(l.Addr().String(), "1")
	c.Request.Body = make([]byte, 16<<20)
	resp, err := p.Do(context.Background(), c)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(readBody(resp)).To(Equal("no"))
	resp.Close()
	p.Sweep(time.Now())
	_, err = p.Do(context.Background(), newCall(l.Addr().String(), "1"))
	g.Expect(err).To(HaveOccurred())
	g.Expect(p.Dials()).To(BeEquivalentTo(2))
}

func TestRefusedConnectionReturnsErrNotSent(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	address := l.Addr().String()
	g.Expect(l.Close()).To(Succeed())
	_, err = upconn.NewPool(upconn.DefaultOptions()).Do(context.Background(), newCall(address, "1"))
	g.Expect(errorx.IsOfType(err, upconn.ErrNotSent)).To(BeTrue())
	g.Expect(errorx.IsOfType(err, upconn.ErrRefused)).To(BeTrue())
}

func TestFailedConnectTellsTimeoutFromEndOfContext(t *testing.T) {
	g := NewWithT(t)
	address := startUpstream(t, func(int, *http.Request, net.Conn) {})
	options := upconn.DefaultOptions()
	options.DialTimeout = time.Nanosecond
	_, err := upconn.NewPool(options).Do(context.Background(), newCall(address, "1"))
	g.Expect(errorx.IsOfType(err, upconn.ErrConnectTimeout)).To(BeTrue(), "%v", err)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = upconn.NewPool(options).Do(ctx, newCall(address, "1"))
	g.Expect(errorx.IsOfType(err, upconn.ErrNotSent)).To(BeTrue(), "%v", err)
	g.Expect(errorx.IsOfType(err, upconn.ErrConnectTimeout)).To(BeFalse(), "%v", err)
}

func TestContextCancellationClosesConnection(t *testing.T) {
	g := NewWithT(t)
	closed := make(chan struct{})
	address := startUpstream(t, func(_ int, _ *http.Request, c net.Conn) {
		_, _ = c.Read(make([]byte, 1))
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		c := newCall(address, "1")
		c.HeaderTimeout = time.Minute
		_, err := upconn.NewPool(upconn.DefaultOptions()).Do(ctx, c)
		done <- err
	}()
	cancel()
	g.Eventually(done).Should(Receive(HaveOccurred()))
}

// writeWithoutEnd writes text until the connection is closed, and sends the number of
// bytes written.
func writeWithoutEnd(c net.Conn, text string, written chan<- int) {
	total := 0
	for {
		n, err := io.WriteString(c, text)
		total += n
		if err != nil {
			written <- total
			return
		}
	}
}

// Bytes that are no response must not be read until the deadline, or into memory.
func TestHeadWithoutEndIsCutOff(t *testing.T) {
	const mostRead = 8 << 20 // with the sockets' buffers
	stale := strings.ReplaceAll(okResponse("other", "body"), "\n", "\r\n")
	for name, text := range map[string]string{
		"bytes that are no head": strings.Repeat("no response ", 400),
		"header line":            strings.Repeat("a", 4096),
		"header lines":           strings.Repeat("A: b\r\n", 800),
		"informational":          strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 100),
		"stale responses":        strings.Repeat(stale, 50),
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			written := make(chan int, 1)
			address := startUpstream(t, func(_ int, _ *http.Request, c net.Conn) {
				if strings.HasPrefix(name, "header") {
					write(c, "HTTP/1.1 200 OK\nA: ")
				}
				writeWithoutEnd(c, text, written)
			})
			pool := upconn.NewPool(upconn.DefaultOptions())
			defer pool.Close()
			_, err := pool.Do(context.Background(), newCall(address, "1"))
			g.Expect(errorx.IsOfType(err, upconn.ErrBroken)).To(BeTrue(), "%v", err)
			g.Eventually(written, time.Second).Should(Receive(BeNumerically("<", mostRead)))
		})
	}
}

// A connection that ends is told from bytes that are no response.
func TestEndOfConnectionIsToldFromInvalidResponse(t *testing.T) {
	g := NewWithT(t)
	address := startUpstream(t, func(_ int, r *http.Request, c net.Conn) {
		switch r.Header.Get("Id") {
		case "garbled":
			write(c, "no response\n\n")
		case "cut":
			write(c, "HTTP/1.1 200 OK\nId: cut\nContent-Length: 5\n\nab")
		}
		_ = c.Close()
	})
	pool := upconn.NewPool(upconn.DefaultOptions())
	defer pool.Close()
	_, err := pool.Do(t.Context(), newCall(address, "garbled"))
	g.Expect(errorx.IsOfType(err, upconn.ErrBroken)).To(BeTrue(), "%v", err)
	g.Expect(errorx.IsOfType(err, upconn.ErrConnectionLost)).To(BeFalse(), "%v", err)
	_, err = pool.Do(t.Context(), newCall(address, "lost"))
	g.Expect(errorx.IsOfType(err, upconn.ErrConnectionLost)).To(BeTrue(), "%v", err)
	resp, err := pool.Do(t.Context(), newCall(address, "cut"))
	g.Expect(err).NotTo(HaveOccurred())
	defer resp.Close()
	_, err = readBody(resp)
	g.Expect(errorx.IsOfType(err, upconn.ErrConnectionLost)).To(BeTrue(), "%v", err)
}

// Guards against requests that are sent although their caller left, or their deadline passed,
// while the connection was opened or taken from the pool.
func TestNothingIsSentOnceContextEnded(t *testing.T) {
	g := NewWithT(t)
	var received atomic.Int32
	address := startUpstream(t, func(_ int, r *http.Request, c net.Conn) {
		received.Add(1)
		write(c, okResponse(r.Header.Get("Id"), ""))
	})
	var cancel context.CancelFunc
	opts := upconn.DefaultOptions()
	opts.Dial = func(_ context.Context, network, address string) (net.Conn, error) {
		c, err := net.Dial(network, address)
		cancel()
		return c, err
	}
	pool := upconn.NewPool(opts)
	for range 200 {
		var ctx context.Context
		ctx, cancel = context.WithCancel(t.Context())
		_, err := pool.Do(ctx, newCall(address, "a"))
		g.Expect(errorx.IsOfType(err, upconn.ErrNotSent)).To(BeTrue())
		_, err = pool.Do(ctx, newCall(address, "a"))
		g.Expect(errorx.IsOfType(err, upconn.ErrNotSent)).To(BeTrue())
		pool.CloseIdle(address)
	}
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	cancel = func() {}
	resp, err := pool.Do(ctx, newCall(address, "last"))
	g.Expect(err).NotTo(HaveOccurred())
	resp.Close()
	g.Expect(received.Load()).To(Equal(int32(1)))
}
