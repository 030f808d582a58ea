package listen_test

import (
	"bufio"
	"context"
	"crypto/tls"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/internal/listen"
	"github.com/poplarshore/poplarshore/settings"
)

// stoppingServer is a server with one request in flight whose Shutdown has begun or is about to.
type stoppingServer struct {
	*WithT
	t       *testing.T
	server  *listen.Server
	release func()
	stopped chan error
}

const (
	wholeRequest = "GET /quick HTTP/1.1\r\nHost: site.example\r\n\r\n"
	// answerTimeout is how long a caller waits for an answer.
	answerTimeout = 5 * time.Second
)

// newStoppingServer starts a server without bounds.
func newStoppingServer(t *testing.T) *stoppingServer {
	return newStoppingServerWithin(t, listen.Bounds{})
}

// newStoppingServerWithin starts a server that answers /quick at once, and /held when released.
func newStoppingServerWithin(t *testing.T, bounds listen.Bounds) *stoppingServer {
	g := NewWithT(t)
	held, begun := make(chan struct{}), make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("/quick", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	mux.HandleFunc("/held", func(w http.ResponseWriter, _ *http.Request) {
		close(begun)
		<-held
		w.WriteHeader(http.StatusNoContent)
	})
	server, err := listen.Open(settings.Listener{Address: "127.0.0.1:0"}, mux, bounds, slog.New(slog.DiscardHandler))
	g.Expect(err).NotTo(HaveOccurred())
	s := &stoppingServer{WithT: g, t: t, server: server, stopped: make(chan error, 1), release: func() { close(held) }}
	t.Cleanup(func() { _ = server.Close() })
	c := s.connect()
	s.send(c, "GET /held HTTP/1.1\r\nHost: site.example\r\n\r\n")
	g.Eventually(begun, answerTimeout).Should(BeClosed())
	return s
}

// connect opens a connection, which the server may not have accepted yet.
func (s *stoppingServer) connect() net.Conn {
	c, err := net.Dial("tcp", s.server.Address())
	s.Expect(err).NotTo(HaveOccurred())
	s.t.Cleanup(func() { _ = c.Close() })
	s.Expect(c.SetDeadline(time.Now().Add(answerTimeout))).To(Succeed())
	return c
}

func (s *stoppingServer) send(c net.Conn, text string) {
	_, err := io.WriteString(c, text)
	s.Expect(err).NotTo(HaveOccurred())
}

// expectAnswer reads one response.
func (s *stoppingServer) expectAnswer(c net.Conn, what string) *http.Response {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	s.Expect(err).NotTo(HaveOccurred(), what)
	s.Expect(resp.StatusCode).To(Equal(http.StatusNoContent), what)
	return resp
}

// beginShutdown starts Shutdown and returns once the server ends connections after a response, or
// accepts none.
func (s *stoppingServer) beginShutdown() {
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	s.t.Cleanup(cancel)
	go func() { s.stopped <- s.server.Shutdown(ctx) }()
	s.Eventually(s.keepsConnections, answerTimeout, 5*time.Millisecond).Should(BeFalse())
}

// keepsConnections reports whether the server answers a request on a new connection and keeps it.
func (s *stoppingServer) keepsConnections() bool {
	c, err := net.Dial("tcp", s.server.Address())
	if err != nil {
		return false
	}
	defer func() { _ = c.Close() }()
	if _, err = io.WriteString(c, wholeRequest); err != nil {
		return false
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	return err == nil && !resp.Close
}

// TestRequestCompletedDuringShutdownIsAnswered guards against whole requests that are discarded with an
// orderly end of their connection.
func TestRequestCompletedDuringShutdownIsAnswered(t *testing.T) {
	s := newStoppingServer(t)
	accepted, halfSent := s.connect(), s.connect()
	s.send(halfSent, wholeRequest[:10])
	kept := s.connect()
	s.send(kept, wholeRequest)
	s.expectAnswer(kept, "before the shutdown")
	s.send(kept, wholeRequest[:10])
	s.beginShutdown()

	s.send(accepted, wholeRequest)
	s.expectAnswer(accepted, "on a connection without a request before")
	s.send(halfSent, wholeRequest[10:])
	s.expectAnswer(halfSent, "whose first part was sent before")
	s.send(kept, wholeRequest[10:])
	s.expectAnswer(kept, "on a kept connection, whose first part was sent before")
	s.release()
	s.Expect(<-s.stopped).To(Succeed())
}

// TestShutdownAcceptsConnectionsWhileRequestsRun guards against connections that are reset before their request is read.
func TestShutdownAcceptsConnectionsWhileRequestsRun(t *testing.T) {
	s := newStoppingServer(t)
	s.beginShutdown()
	late := s.connect()
	s.send(late, wholeRequest)
	resp := s.expectAnswer(late, "on a connection opened during the shutdown")
	s.Expect(resp.Close).To(BeTrue(), "the caller is told that the connection ends")
	s.release()
	s.Expect(<-s.stopped).To(Succeed())
}

// TestShutdownClosesIdleConnections guards against a shutdown that waits for callers that keep unused connections.
func TestShutdownClosesIdleConnections(t *testing.T) {
	s := newStoppingServer(t)
	unused, kept := s.connect(), s.connect()
	s.send(kept, wholeRequest)
	s.expectAnswer(kept, "before the shutdown")
	s.release()
	s.beginShutdown()
	s.Expect(<-s.stopped).To(Succeed())
	for _, c := range []net.Conn{unused, kept} {
		_, err := c.Read(make([]byte, 1))
		s.Expect(err).To(MatchError(io.EOF))
	}
	_, err := net.Dial("tcp", s.server.Address())
	s.Expect(err).To(HaveOccurred(), "the address is free")
}

// TestShutdownReturnsWhenContextEnds guards against requests that are cut by the shutdown itself: they go on until Close.
func TestShutdownReturnsWhenContextEnds(t *testing.T) {
	s := newStoppingServer(t)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	s.Expect(s.server.Shutdown(ctx)).To(MatchError(context.Canceled))
	late := s.connect()
	s.send(late, wholeRequest)
	s.expectAnswer(late, "after the context ended")
}

// TestShutdownClosesIdleEncryptedConnections guards against a shutdown that takes the bytes of a handshake for a request.
func TestShutdownClosesIdleEncryptedConnections(t *testing.T) {
	g := NewWithT(t)
	RegisterTestingT(t)
	certificate := writeCertificate(t.TempDir(), 1, time.Now())
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	listener := settings.Listener{Address: "127.0.0.1:0", TLS: certificate}
	server, err := listen.Open(listener, handler, listen.Bounds{}, slog.New(slog.DiscardHandler))
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = server.Close() })
	config := &tls.Config{InsecureSkipVerify: true, NextProtos: []string{"http/1.1"}}
	unused, err := tls.Dial("tcp", server.Address(), config)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = unused.Close() }()
	for _, http2 := range []bool{false, true} {
		client := &http.Client{Transport: &http.Transport{TLSClientConfig: config.Clone(), ForceAttemptHTTP2: http2}}
		resp, err := client.Get("https://" + server.Address())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(resp.Body.Close()).To(Succeed())
	}

	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	g.Expect(server.Shutdown(ctx)).To(Succeed())
}

// TestShutdownEndsThoughCallersKeepConnecting guards against a shutdown that new connections hold up.
func TestShutdownEndsThoughCallersKeepConnecting(t *testing.T) {
	s := newStoppingServer(t)
	s.beginShutdown()
	s.release()
	s.Eventually(func() bool {
		s.keepsConnections()
		select {
		case err := <-s.stopped:
			s.Expect(err).NotTo(HaveOccurred())
			return true
		default:
			return false
		}
	}, answerTimeout, time.Millisecond).Should(BeTrue())
}
