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

// peer answers each request on its connections by a script.
func peer(t *testing.T, answer func(n int, r *http.Request, c net.Conn)) string {
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
					answer(int(n.Add(1)), r, c)
				}
			}(c)
		}
	}()
	return l.Addr().String()
}

func write(c net.Conn, text string) { _, _ = io.WriteString(c, strings.ReplaceAll(text, "\n", "\r\n")) }

func reply(id, body string) string {
	return "HTTP/1.1 200 OK\nId: " + id + "\nContent-Length: " + string(rune('0'+len(body))) + "\n\n" + body
}

func call(address, id string) upconn.Call {
	return upconn.Call{
		Address:     address,
		Request:     upconn.Request{Method: "POST", Target: "/x", Host: "h", Header: http.Header{"Id": {id}}, Body: []byte("b")},
		Mine:        func(h http.Header) bool { return h.Get("Id") == id },
		HeadTimeout: 300 * time.Millisecond,
	}
}

func body(a *upconn.Answer) (string, error) {
	var b strings.Builder
	buf := make([]byte, 64)
	for {
		n, err := a.Read(buf, time.Second, nil)
		b.Write(buf[:n])
		if errors.Is(err, io.EOF) {
			return b.String(), nil
		}
		if err != nil {
			return b.String(), err
		}
	}
}

func TestAConnectionIsKeptAfterAWholeAnswer(t *testing.T) {
	g := NewWithT(t)
	at := peer(t, func(_ int, r *http.Request, c net.Conn) { write(c, reply(r.Header.Get("Id"), "ok")) })
	p := upconn.NewPool(upconn.DefaultOptions())
	for range 3 {
		a, err := p.Do(context.Background(), call(at, "1"))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(body(a)).To(Equal("ok"))
		a.Close()
	}
	g.Expect(p.Dials()).To(BeEquivalentTo(1))
}

func TestALateAnswerToAnotherRequestIsPassedOver(t *testing.T) {
	g := NewWithT(t)
	at := peer(t, func(n int, r *http.Request, c net.Conn) {
		if n == 2 {
			write(c, reply("1", "old"))
		}
		write(c, reply(r.Header.Get("Id"), "new"))
	})
	p := upconn.NewPool(upconn.DefaultOptions())
	for _, id := range []string{"1", "2"} {
		a, err := p.Do(context.Background(), call(at, id))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(body(a)).To(Equal("new"))
		a.Close()
	}
	g.Expect(p.Dials()).To(BeEquivalentTo(1))
}

func TestBytesBeyondAnAnswerCostTheConnection(t *testing.T) {
	g := NewWithT(t)
	at := peer(t, func(_ int, r *http.Request, c net.Conn) {
		write(c, reply(r.Header.Get("Id"), "ok")+reply(r.Header.Get("Id"), "no"))
	})
	p := upconn.NewPool(upconn.DefaultOptions())
	for range 2 {
		a, err := p.Do(context.Background(), call(at, "1"))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(body(a)).To(Equal("ok"))
		a.Close()
	}
	g.Expect(p.Dials()).To(BeEquivalentTo(2))
}

func TestSilenceIsAskedAboutAndThenGivenUp(t *testing.T) {
	g := NewWithT(t)
	at := peer(t, func(int, *http.Request, net.Conn) {})
	p := upconn.NewPool(upconn.DefaultOptions())
	c := call(at, "1")
	c.HeadTimeout = 20 * time.Millisecond
	asked := 0
	c.OnSilence = func() time.Duration {
		if asked++; asked < 3 {
			return 10 * time.Millisecond
		}
		return 0
	}
	_, err := p.Do(context.Background(), c)
	g.Expect(errorx.IsOfType(err, upconn.ErrSilent)).To(BeTrue())
	g.Expect(asked).To(Equal(3))
}

func TestAnEndWithinABodyIsNoWholeAnswer(t *testing.T) {
	g := NewWithT(t)
	at := peer(t, func(_ int, r *http.Request, c net.Conn) {
		write(c, "HTTP/1.1 200 OK\nId: "+r.Header.Get("Id")+"\nContent-Length: 9\n\nhalf")
		_ = c.Close()
	})
	p := upconn.NewPool(upconn.DefaultOptions())
	a, err := p.Do(context.Background(), call(at, "1"))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = body(a)
	g.Expect(errorx.IsOfType(err, upconn.ErrBroken)).To(BeTrue())
}

func TestABodyWithoutALengthEndsWithItsConnectionUnlessReset(t *testing.T) {
	g := NewWithT(t)
	at := peer(t, func(n int, r *http.Request, c net.Conn) {
		write(c, "HTTP/1.1 200 OK\nId: "+r.Header.Get("Id")+"\n\nall")
		if n == 2 {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		_ = c.Close()
	})
	p := upconn.NewPool(upconn.DefaultOptions())
	a, err := p.Do(context.Background(), call(at, "1"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body(a)).To(Equal("all"))
	a, err = p.Do(context.Background(), call(at, "1"))
	if err == nil {
		_, err = body(a)
	}
	g.Expect(errorx.IsOfType(err, upconn.ErrBroken)).To(BeTrue())
}

func TestAnAnswerBeforeALargeBodyIsReadCostsTheConnection(t *testing.T) {
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
			write(c, reply("1", "no"))
		}
		// The rest of the body is never read.
	}()
	p := upconn.NewPool(upconn.DefaultOptions())
	c := call(l.Addr().String(), "1")
	c.Request.Body = make([]byte, 16<<20)
	a, err := p.Do(context.Background(), c)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body(a)).To(Equal("no"))
	a.Close()
	p.Sweep(time.Now())
	_, err = p.Do(context.Background(), call(l.Addr().String(), "1"))
	g.Expect(err).To(HaveOccurred())
	g.Expect(p.Dials()).To(BeEquivalentTo(2))
}

func TestNothingIsSentToAClosedPort(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	address := l.Addr().String()
	g.Expect(l.Close()).To(Succeed())
	_, err = upconn.NewPool(upconn.DefaultOptions()).Do(context.Background(), call(address, "1"))
	g.Expect(errorx.IsOfType(err, upconn.ErrNotSent)).To(BeTrue())
}

func TestTheCallersEndClosesTheConnection(t *testing.T) {
	g := NewWithT(t)
	closed := make(chan struct{})
	at := peer(t, func(_ int, _ *http.Request, c net.Conn) {
		_, _ = c.Read(make([]byte, 1))
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		c := call(at, "1")
		c.HeadTimeout = time.Minute
		_, err := upconn.NewPool(upconn.DefaultOptions()).Do(ctx, c)
		done <- err
	}()
	cancel()
	g.Eventually(done).Should(Receive(HaveOccurred()))
}
