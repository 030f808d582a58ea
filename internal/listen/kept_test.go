package listen_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/internal/listen"
)

// keptConnections returns connections on which a request was answered, whose callers may use them again within the
// limit. The server has one more connection, that of the request in flight.
func keptConnections(t *testing.T, count int, limit time.Duration) (*stoppingServer, []net.Conn) {
	s := newStoppingServerWithin(t, listen.Bounds{IdleLimit: func() time.Duration { return limit }})
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
	s, conns := keptConnections(t, count, limit)
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
	s, conns := keptConnections(t, 2, limit)
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

// TestRequestThatCrossesCloseIsCounted guards against requests that a stop leaves without an answer and that nothing shows.
func TestRequestThatCrossesCloseIsCounted(t *testing.T) {
	s, conns := keptConnections(t, 3, time.Hour)
	s.release()
	ctx, cancel := context.WithTimeout(t.Context(), answerTimeout)
	defer cancel()
	finished := make(chan error, 1)
	go func() {
		s.rest(conns[0], 600*time.Millisecond)
		finished <- s.server.Finish(ctx)
	}()
	_, err := conns[1].Read(make([]byte, 1))
	s.Expect(err).To(MatchError(io.EOF))
	s.send(conns[1], wholeRequest)
	s.Expect(<-finished).To(Succeed())
	s.Expect(s.server.ClosedIdle()).To(Equal(listen.ClosedIdle{Connections: len(conns) + 1, Crossed: 1}))
}
