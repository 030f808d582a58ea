package relay

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/poplarshore/poplarshore/refusal"
)

// answerServer answers each request by send, on the connections of a real server, and keeps
// the results of the exchanges.
type answerServer struct {
	*Server
	front    *httptest.Server
	registry *prometheus.Registry
	results  chan error
	canceled chan struct{}
}

func newAnswerServer(t *testing.T, writeTimeout time.Duration, send func(x *exchange) error) *answerServer {
	opts := DefaultOptions()
	opts.WriteTimeout = writeTimeout
	a := &answerServer{registry: prometheus.NewRegistry(), results: make(chan error, 4), canceled: make(chan struct{}, 4)}
	a.Server = &Server{opts: opts, Deps: Deps{
		Clock: clockwork.NewRealClock(), Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Metrics: NewMetrics(a.registry),
	}}
	a.Server.egress = a.newEgress()
	ts := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		x := &exchange{
			server: a.Server, w: w, control: http.NewResponseController(w), request: &Request{}, account: "a",
			cancel: func() { a.canceled <- struct{}{}; cancel() },
		}
		defer x.endOutput()
		// What an earlier request may have left on the connection.
		x.setWriteDeadline(time.Unix(1, 0))
		x.clearWriteDeadline()
		w.WriteHeader(http.StatusOK)
		err := x.closeOutput(send(x))
		a.results <- err
		if err != nil || ctx.Err() != nil {
			panic(http.ErrAbortHandler)
		}
	}))
	t.Cleanup(ts.Close)
	a.front = ts
	return a
}

// slowCallers returns the number of callers that were counted as too slow.
func (a *answerServer) slowCallers(g *WithT) (n float64) {
	families, err := a.registry.Gather()
	g.Expect(err).NotTo(HaveOccurred())
	for _, f := range families {
		if f.GetName() != "poplarshore_relay_slow_callers_total" {
			continue
		}
		for _, m := range f.GetMetric() {
			n += m.GetCounter().GetValue()
		}
	}
	return n
}

// TestCallerThatTakesNothingIsEndedWithItsAttempt guards against an exchange that lasts for as
// long as a caller that reads nothing keeps its connection.
func TestCallerThatTakesNothingIsEndedWithItsAttempt(t *testing.T) {
	g := NewWithT(t)
	a := newAnswerServer(t, 50*time.Millisecond, func(x *exchange) error { return x.sendWhole(make([]byte, 64<<20)) })
	c, err := net.Dial("tcp", strings.TrimPrefix(a.front.URL, "http://"))
	g.Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	var result error
	g.Eventually(a.results, 20*time.Second).Should(Receive(&result))
	refused := refusal.FromError(result)
	g.Expect(refused.Reason).To(Equal(refusal.CallerGone))
	g.Expect(refused.Detail).To(ContainSubstring("write_timeout"))
	g.Expect(a.canceled).To(Receive())
	g.Expect(a.slowCallers(g)).To(BeEquivalentTo(1))
	g.Expect(a.egress.HeldBytes()).To(BeZero())
}

// TestExpiredWriteDeadlineDoesNotEndTheNextAnswer guards against a write deadline that ends the next
// answer on a kept-alive connection.
func TestExpiredWriteDeadlineDoesNotEndTheNextAnswer(t *testing.T) {
	g := NewWithT(t)
	a := newAnswerServer(t, time.Minute, func(x *exchange) error { return x.sendPart([]byte("data: 1\n\n")) })
	for range 3 {
		resp, err := a.front.Client().Get(a.front.URL)
		g.Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(resp.Body)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(body)).To(Equal("data: 1\n\n"))
		g.Expect(resp.Body.Close()).To(Succeed())
	}
	g.Expect(a.canceled).NotTo(Receive())
}
