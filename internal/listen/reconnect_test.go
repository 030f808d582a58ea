package listen_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// reconnect sends requests, each on a new connection, until the server's address refuses one. It returns
// the number of requests that were sent and got no answer.
func reconnect(address string) (unanswered int64) {
	for {
		c, err := net.Dial("tcp", address)
		if err != nil {
			return unanswered
		}
		_ = c.SetDeadline(time.Now().Add(answerTimeout))
		_, err = io.WriteString(c, wholeRequest)
		if err == nil {
			_, err = http.ReadResponse(bufio.NewReader(c), nil)
		}
		if err != nil {
			unanswered++
		}
		_ = c.Close()
	}
}

// TestShutdownThatRunsOutOfTimeClosesListenerFirst guards against requests on connections that are opened
// at the end of the time of a shutdown: Close reset them while another request still ran.
func TestShutdownThatRunsOutOfTimeClosesListenerFirst(t *testing.T) {
	s := newStoppingServer(t)
	var unanswered atomic.Int64
	var callers sync.WaitGroup
	for range 20 {
		callers.Go(func() { unanswered.Add(reconnect(s.server.Address())) })
	}
	ctx, cancel := context.WithTimeout(context.Background(), 400*time.Millisecond)
	defer cancel()
	s.Expect(s.server.Shutdown(ctx)).To(MatchError(context.DeadlineExceeded))
	_, err := net.Dial("tcp", s.server.Address())
	s.Expect(err).To(HaveOccurred(), "the address is free when the time has passed")
	s.Expect(s.server.Close()).To(Succeed())
	callers.Wait()
	s.Expect(unanswered.Load()).To(BeZero())
}

// TestShutdownClosesListenerAfterItsTime guards against a listener that is left open, with connections that Close
// resets, because the process did not run when the time of a shutdown passed.
func TestShutdownClosesListenerAfterItsTime(t *testing.T) {
	s := newStoppingServer(t)
	ctx, cancel := context.WithDeadline(t.Context(), time.Now())
	defer cancel()
	waiting := s.connect()
	s.send(waiting, wholeRequest)
	s.Expect(s.server.Shutdown(ctx)).To(MatchError(context.DeadlineExceeded))
	_, err := net.Dial("tcp", s.server.Address())
	s.Expect(err).To(HaveOccurred(), "the address is free")
	s.expectAnswer(waiting, "on a connection that waited to be accepted")
}
