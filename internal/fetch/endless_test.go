package fetch_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/internal/fetch"
	"github.com/poplarshore/poplarshore/standin/endless"
)

// TestTrickledBodyIsGivenUp guards against readers and stores that hold a poll for hours by a byte now and then.
func TestTrickledBodyIsGivenUp(t *testing.T) {
	g := NewWithT(t)
	server, err := endless.Listen(endless.Response{Start: "HTTP/1.1 200 OK\r\n\r\n", Part: "a", Interval: timeout / 8})
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(server.Close)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, server.URL(), nil)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = get(req)
	g.Expect(errorx.IsOfType(err, fetch.ErrTimeout)).To(BeTrue(), "error: %v", err)
}
