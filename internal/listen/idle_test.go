package listen_test

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/internal/listen"
	"github.com/poplarshore/poplarshore/settings"
)

// TestConnectionThatIsIdleWithinLimitIsReused guards against a server that closes connections after its own idle timeout
// though the limit in force lets callers reuse them.
func TestConnectionThatIsIdleWithinLimitIsReused(t *testing.T) {
	const idleTimeout = 20 * time.Millisecond
	g := NewWithT(t)
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	bounds := listen.Bounds{IdleTimeout: idleTimeout, IdleLimit: func() time.Duration { return time.Hour }}
	server, err := listen.Open(settings.Listener{Address: "127.0.0.1:0"}, handler, bounds, slog.New(slog.DiscardHandler))
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = server.Close() }()
	c, err := net.Dial("tcp", server.Address())
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for range 2 {
		g.Expect(c.SetDeadline(time.Now().Add(answerTimeout))).To(Succeed())
		_, err = io.WriteString(c, wholeRequest)
		g.Expect(err).NotTo(HaveOccurred())
		resp, err := http.ReadResponse(reader, nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(resp.StatusCode).To(Equal(http.StatusNoContent))
		g.Expect(c.SetReadDeadline(time.Now().Add(5 * idleTimeout))).To(Succeed())
		_, err = reader.Peek(1)
		g.Expect(err).To(MatchError(os.ErrDeadlineExceeded), "the connection is open")
	}
}
