package upconn_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/internal/upconn"
)

// TestConnectionEndedEarlyIsReported guards against an upstream that crashes and returns while
// this VM has only unused connections to it: the next request would reach it cold. An upstream
// that reports no idle timeout may close connections at any time.
func TestConnectionEndedEarlyIsReported(t *testing.T) {
	for _, reported := range []time.Duration{time.Minute, 0} {
		t.Run(reported.String(), func(t *testing.T) {
			g := NewWithT(t)
			end := make(chan struct{})
			address := startUpstream(t, func(_ int, r *http.Request, c net.Conn) {
				write(c, okResponse(r.Header.Get("Id"), "ok"))
				<-end
				_ = c.Close()
			})
			p := upconn.NewPool(upconn.DefaultOptions())
			call := newCall(address, "1")
			call.IdleTimeout = func(http.Header) time.Duration { return reported }
			resp, err := p.Do(context.Background(), call)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(readBody(resp)).To(Equal("ok"))
			resp.Close()
			g.Expect(p.CloseEnded()).To(BeEmpty())
			close(end)
			if reported == 0 {
				g.Consistently(p.CloseEnded).WithTimeout(200 * time.Millisecond).Should(BeEmpty())
				return
			}
			g.Eventually(p.CloseEnded).Should(ConsistOf(address))
			g.Expect(p.CloseEnded()).To(BeEmpty())
		})
	}
}
