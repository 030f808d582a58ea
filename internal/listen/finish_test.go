package listen_test

import (
	"bytes"
	"context"
	"log/slog"
	"net"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/internal/listen"
	"github.com/poplarshore/poplarshore/settings"
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

// TestFinishAfterListenerIsClosedLogsNoError guards against lines on the drain of a listener that is closed already.
func TestFinishAfterListenerIsClosedLogsNoError(t *testing.T) {
	g := NewWithT(t)
	var lines bytes.Buffer
	log := slog.New(slog.NewTextHandler(&lines, &slog.HandlerOptions{Level: slog.LevelDebug}))
	server, err := listen.Open(settings.Listener{Address: "127.0.0.1:0"}, http.NotFoundHandler(), listen.Bounds{}, log)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(server.Shutdown(t.Context())).To(Succeed())
	g.Expect(server.Finish(t.Context())).To(Succeed())
	g.Expect(server.Close()).To(Succeed())
	g.Expect(lines.String()).To(BeEmpty())
}
