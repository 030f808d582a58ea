package listen_test

import (
	"context"
	"net"
	"testing"

	. "github.com/onsi/gomega"
)

// TestFinishAnswersRequestsThatAreOpen guards against requests that are cut because other callers keep connecting, so
// that a shutdown does not end in time.
func TestFinishAnswersRequestsThatAreOpen(t *testing.T) {
	s := newStoppingServer(t)
	open := s.connect()
	s.send(open, wholeRequest[:10])
	ctx, cancel := context.WithTimeout(t.Context(), answerTimeout)
	defer cancel()
	go func() { s.stopped <- s.server.Finish(ctx) }()
	s.Eventually(func() error {
		c, err := net.Dial("tcp", s.server.Address())
		if err == nil {
			_ = c.Close()
		}
		return err
	}, answerTimeout).Should(HaveOccurred(), "no connection is accepted")
	s.send(open, wholeRequest[10:])
	s.expectAnswer(open, "on a connection that was open")
	s.release()
	s.Expect(<-s.stopped).To(Succeed())
}
