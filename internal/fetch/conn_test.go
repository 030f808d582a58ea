package fetch_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/internal/fetch"
)

// TestSilenceOverConnectionThatMayBeLostSaysNothingOfServer guards against servers that count as failed because a
// connection was lost.
func TestSilenceOverConnectionThatMayBeLostSaysNothingOfServer(t *testing.T) {
	g := NewWithT(t)
	silent := make(chan bool, 1)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if <-silent {
			<-r.Context().Done()
		}
	}))
	defer server.Close()
	limits := fetch.Limits{HeaderTimeout: 200 * time.Millisecond, IdleTimeout: time.Second, MaxBytes: 1}
	ask := func(client *http.Client, isSilent bool) fetch.Conn {
		silent <- isSilent
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL, nil)
		g.Expect(err).NotTo(HaveOccurred())
		resp, _ := fetch.Do(client, req, limits)
		return resp.Conn
	}
	first := ask(server.Client(), true)
	g.Expect(first).To(Equal(fetch.NewConn))
	g.Expect(first.MayBeLost(0)).To(BeFalse())
	g.Expect(first.MayBeLost(time.Second)).To(BeTrue())
	ask(server.Client(), false)
	g.Expect(ask(server.Client(), true).MayBeLost(0)).To(BeTrue(), "the connection had been used")
	refused := &http.Client{Transport: &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) {
		return nil, net.ErrClosed
	}}}
	g.Expect(ask(refused, true).MayBeLost(time.Second)).To(BeFalse(), "none was opened")
}
