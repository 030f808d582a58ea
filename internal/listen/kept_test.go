package listen_test

import (
	"bufio"
	"crypto/tls"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/internal/listen"
	"github.com/poplarshore/poplarshore/settings"
)

// keptConnections returns connections on which a request was answered, whose callers may use them again within the
// limit. The server has one more connection, that of the request in flight.
func keptConnections(t *testing.T, count int, limit time.Duration, refuseIdle bool) (*stoppingServer, []net.Conn) {
	s := newStoppingServerWithin(t, listen.Bounds{IdleLimit: func() time.Duration { return limit }, RefuseIdle: refuseIdle})
	var conns []net.Conn
	for range count {
		c := s.connect()
		s.send(c, wholeRequest)
		s.expectAnswer(c, "before the shutdown")
		conns = append(conns, c)
	}
	return s, conns
}

// rest lets time pass in which a connection stays open without a request.
func (s *stoppingServer) rest(c net.Conn, pause time.Duration) {
	s.Expect(c.SetReadDeadline(time.Now().Add(pause))).To(Succeed())
	_, err := c.Read(make([]byte, 1))
	s.Expect(err).To(MatchError(os.ErrDeadlineExceeded), "the connection is open")
	s.Expect(c.SetDeadline(time.Now().Add(answerTimeout))).To(Succeed())
}

// TestRequestsOnIdleConnectionsAreAnsweredThroughoutShutdown guards against whole requests that cross the close of their
// connection, because a shutdown closes connections that their callers may still use.
func TestRequestsOnIdleConnectionsAreAnsweredThroughoutShutdown(t *testing.T) {
	const (
		count   = 200
		step    = 5 * time.Millisecond
		resting = 600 * time.Millisecond
		limit   = 3 * time.Second
	)
	s, conns := keptConnections(t, count, limit, false)
	s.rest(conns[0], resting)
	s.beginShutdown()
	var unanswered, kept atomic.Int64
	var callers sync.WaitGroup
	for i, c := range conns {
		callers.Go(func() {
			<-time.After(time.Duration(i) * step)
			_, _ = io.WriteString(c, wholeRequest)
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			switch {
			case err != nil:
				unanswered.Add(1)
			case !resp.Close:
				kept.Add(1)
			}
		})
	}
	callers.Wait()
	s.Expect(unanswered.Load()).To(BeZero(), "requests without an answer")
	s.Expect(kept.Load()).To(BeZero(), "answers that don't ask to close the connection")
	s.release()
	s.Expect(<-s.stopped).To(Succeed(), "it ends when no connection is left")
}

// TestShutdownClosesConnectionsWhoseLimitHasPassed guards against a shutdown that waits for connections that no caller uses.
func TestShutdownClosesConnectionsWhoseLimitHasPassed(t *testing.T) {
	const limit = 700 * time.Millisecond
	s, conns := keptConnections(t, 2, limit, false)
	s.release()
	startedAt := time.Now()
	s.beginShutdown()
	s.Expect(<-s.stopped).To(Succeed())
	s.Expect(time.Since(startedAt)).To(BeNumerically("<", answerTimeout/2))
	for _, c := range conns {
		_, err := c.Read(make([]byte, 1))
		s.Expect(err).To(MatchError(io.EOF))
	}
	s.Expect(s.server.ClosedIdle()).To(Equal(listen.ClosedIdle{Connections: len(conns) + 1}))
}

// TestRequestsThatCrossCloseAreRefused guards against whole requests that get neither an answer nor a refusal, because their
// connection is closed as idle when they are on their way.
func TestRequestsThatCrossCloseAreRefused(t *testing.T) {
	const (
		count   = 100
		step    = 2 * time.Millisecond
		resting = 600 * time.Millisecond
	)
	s, conns := keptConnections(t, count, time.Hour, true)
	s.rest(conns[0], resting)
	var unanswered, kept, refused atomic.Int64
	var callers sync.WaitGroup
	for i, c := range conns {
		callers.Go(func() {
			<-time.After(time.Duration(i) * step)
			_, _ = io.WriteString(c, wholeRequest)
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			switch {
			case err != nil:
				unanswered.Add(1)
			case resp.StatusCode == http.StatusRequestTimeout:
				refused.Add(1)
			}
			if err == nil && !resp.Close {
				kept.Add(1)
			}
		})
	}
	s.beginShutdown()
	callers.Wait()
	s.Expect(unanswered.Load()).To(BeZero(), "requests without an answer")
	s.Expect(refused.Load()).To(BeNumerically(">", 0), "requests on connections that were closed")
	s.Expect(kept.Load()).To(BeNumerically("<", count/2), "answers to requests from before the shutdown")
	s.release()
	s.Expect(<-s.stopped).To(Succeed())
	s.Expect(s.server.ClosedIdle().Crossed).To(BeEquivalentTo(refused.Load()))
}

// TestCallerOfIdleConnectionSeesThatItEnds guards against a shutdown that waits for callers that keep connections, and
// against callers that are not told before their next request.
func TestCallerOfIdleConnectionSeesThatItEnds(t *testing.T) {
	s, conns := keptConnections(t, 3, time.Hour, true)
	s.release()
	startedAt := time.Now()
	s.beginShutdown()
	for _, c := range conns {
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		s.Expect(err).NotTo(HaveOccurred())
		s.Expect(resp.StatusCode).To(Equal(http.StatusRequestTimeout))
		s.Expect(resp.Close).To(BeTrue())
		s.Expect(c.Close()).To(Succeed())
	}
	s.Expect(<-s.stopped).To(Succeed())
	s.Expect(time.Since(startedAt)).To(BeNumerically("<", answerTimeout/2))
	s.Expect(s.server.ClosedIdle()).To(Equal(listen.ClosedIdle{Connections: len(conns) + 1}))
}

// TestEncryptedConnectionEndsWithoutPlainText guards against bytes that are no record on an encrypted connection, and against its close
// while its caller may use it.
func TestEncryptedConnectionEndsWithoutPlainText(t *testing.T) {
	const limit = 800 * time.Millisecond
	g := NewWithT(t)
	RegisterTestingT(t)
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	listener := settings.Listener{Address: "127.0.0.1:0", TLS: writeCertificate(t.TempDir(), 1, time.Now())}
	bounds := listen.Bounds{IdleLimit: func() time.Duration { return limit }, RefuseIdle: true}
	server, err := listen.Open(listener, handler, bounds, slog.New(slog.DiscardHandler))
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = server.Close() })
	c, err := tls.Dial("tcp", server.Address(), &tls.Config{InsecureSkipVerify: true})
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, wholeRequest)
	g.Expect(err).NotTo(HaveOccurred())
	reader := bufio.NewReader(c)
	_, err = http.ReadResponse(reader, nil)
	g.Expect(err).NotTo(HaveOccurred())
	restingSince := time.Now()

	stopped := make(chan error, 1)
	go func() { stopped <- server.Shutdown(t.Context()) }()
	_, err = reader.Peek(1)
	g.Expect(err).To(MatchError(io.EOF))
	g.Expect(time.Since(restingSince)).To(BeNumerically(">", limit/2+limit/4))
	g.Expect(<-stopped).To(Succeed())
}
