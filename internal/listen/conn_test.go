package listen

import (
	"log/slog"
	"net"
	"os"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/internal/socket"
)

const readTimeout = 5 * time.Second

// listenLocally returns a listener and a function that dials it.
func listenLocally(t *testing.T) (*acceptor, func() net.Conn) {
	t.Helper()
	g := NewWithT(t)
	listener, err := listenTCP("127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	a := &acceptor{Listener: listener, set: newConnSet(false, nil), log: slog.New(slog.DiscardHandler)}
	t.Cleanup(func() { _ = a.Close() })
	return a, func() net.Conn {
		c, err := net.Dial("tcp", listener.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
}

// TestRequestThatBeginsWhileItsConnectionIsInterruptedIsRead guards against a request whose connection
// ends, without an answer, because it was interrupted between the last read of the header and the
// begin of the request: reads of its body, and those that watch for a disconnect, returned io.EOF.
func TestRequestThatBeginsWhileItsConnectionIsInterruptedIsRead(t *testing.T) {
	g := NewWithT(t)
	a, dial := listenLocally(t)
	a.set.encrypted = true
	caller := dial()
	accepted, err := a.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	served := accepted.(*conn)
	_, err = caller.Write([]byte("header"))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = served.Read(make([]byte, 100))
	g.Expect(err).NotTo(HaveOccurred())

	served.interrupt(0)
	served.beginRequest()

	result := make(chan error, 1)
	go func() {
		_, err := served.Read(make([]byte, 100))
		result <- err
	}()
	g.Consistently(result, 100*time.Millisecond).ShouldNot(Receive(), "the read waits for the body")
	_, err = caller.Write([]byte("body"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(result, readTimeout).Should(Receive(BeNil()))
}

// TestDrainAcceptsConnectionsThatWait guards against connections that are reset because the time for
// accepting them passed while the process did not run.
func TestDrainAcceptsConnectionsThatWait(t *testing.T) {
	g := NewWithT(t)
	a, dial := listenLocally(t)
	const waiting = 5
	for range waiting {
		dial()
	}
	a.drain(0)
	for i := range waiting {
		c, err := a.Accept()
		g.Expect(err).NotTo(HaveOccurred(), "connection %d", i)
		g.Expect(c.Close()).To(Succeed())
	}
	_, err := a.Accept()
	g.Expect(err).To(MatchError(net.ErrClosed))
}

// TestNoConnectionIsEstablishedWhileListenerDrains guards against connections that are established between the
// last accept and the close of the listener, which resets them with their requests.
func TestNoConnectionIsEstablishedWhileListenerDrains(t *testing.T) {
	const dialTimeout = 100 * time.Millisecond
	g := NewWithT(t)
	a, dial := listenLocally(t)
	waiting := dial()
	a.drain(readTimeout)
	_, err := net.DialTimeout("tcp", a.Addr().String(), dialTimeout)
	g.Expect(os.IsTimeout(err)).To(BeTrue(), "%v", err)

	accepted, err := a.Accept()
	g.Expect(err).NotTo(HaveOccurred(), "the connection from before is accepted")
	_, err = waiting.Write([]byte("request"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(accepted.Read(make([]byte, 100))).To(Equal(len("request")))
}

// idleConn returns a connection on which a request was answered, whose idle timeout has passed, and its caller.
func idleConn(t *testing.T, limit time.Duration) (served *conn, caller net.Conn) {
	g := NewWithT(t)
	a, dial := listenLocally(t)
	a.set.idleLimit = func() time.Duration { return limit }
	caller = dial()
	accepted, err := a.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	served = accepted.(*conn)
	served.beginRequest()
	served.awaitRequest()
	g.Expect(served.SetReadDeadline(time.Unix(1, 0))).To(Succeed())
	return served, caller
}

// TestConnectionIsKeptForIdleLimitInForce guards against connections that are closed while their callers may reuse them,
// because the limit was raised.
func TestConnectionIsKeptForIdleLimitInForce(t *testing.T) {
	g := NewWithT(t)
	served, caller := idleConn(t, time.Hour)
	result := make(chan error, 1)
	go func() {
		_, err := served.Read(make([]byte, 100))
		result <- err
	}()
	g.Consistently(result, "50ms").ShouldNot(Receive())
	_, err := caller.Write([]byte("request"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(result, readTimeout).Should(Receive(BeNil()))
}

// TestIdleConnectionEndsAfterLimit guards against idle connections that are kept for ever.
func TestIdleConnectionEndsAfterLimit(t *testing.T) {
	g := NewWithT(t)
	served, _ := idleConn(t, 0)
	_, err := served.Read(make([]byte, 100))
	g.Expect(err).To(MatchError(os.ErrDeadlineExceeded))
}

// TestRequestThatArrivesAtIdleTimeoutIsRead guards against a request that the kernel has received when its connection is
// closed as idle: the close resets it.
func TestRequestThatArrivesAtIdleTimeoutIsRead(t *testing.T) {
	g := NewWithT(t)
	served, caller := idleConn(t, 0)
	_, err := caller.Write([]byte("request"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(func() socket.State { return socket.StateOf(served.Conn) }, readTimeout).Should(Equal(socket.Readable))
	g.Expect(served.Read(make([]byte, 100))).To(Equal(len("request")))
}
