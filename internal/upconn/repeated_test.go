package upconn_test

import (
	"context"
	"net"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/internal/upconn"
)

// refusal is a response that names no request.
const refusal = "HTTP/1.1 503 Service Unavailable\nContent-Length: 0\n\n"

// doAll sends requests with the IDs, one after the other, and returns the statuses of the responses.
func doAll(t *testing.T, p *upconn.Pool, address string, ids ...string) []int {
	var statuses []int
	for _, id := range ids {
		resp, err := p.Do(context.Background(), newCall(address, id))
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		statuses = append(statuses, resp.Status)
		_, _ = readBody(resp)
		resp.Close()
	}
	return statuses
}

// TestRepeatedResponseWithoutIDIsNoAnswer guards against an earlier refusal that is taken for the
// answer to a later request on the connection.
func TestRepeatedResponseWithoutIDIsNoAnswer(t *testing.T) {
	g := NewWithT(t)
	address := startUpstream(t, func(n int, r *http.Request, c net.Conn) {
		write(c, refusal)
		if n > 1 {
			write(c, okResponse(r.Header.Get("Id"), "new"))
		}
	})
	p := upconn.NewPool(upconn.DefaultOptions())
	g.Expect(doAll(t, p, address, "1", "2")).To(Equal([]int{http.StatusServiceUnavailable, http.StatusOK}))
	g.Expect(p.Dials()).To(BeEquivalentTo(1))
}

// TestRequestIsNotRetriedOnItsConnection guards against a repeated response to the first try that is
// taken for the answer to the second one, which has the same ID, or that can't be told from an
// answer to a request without ID.
func TestRequestIsNotRetriedOnItsConnection(t *testing.T) {
	for _, ids := range [][]string{{"1", "1"}, {"1", ""}} {
		g := NewWithT(t)
		address := startUpstream(t, func(_ int, r *http.Request, c net.Conn) { write(c, okResponse(r.Header.Get("Id"), "ok")) })
		p := upconn.NewPool(upconn.DefaultOptions())
		doAll(t, p, address, ids...)
		g.Expect(p.Dials()).To(BeEquivalentTo(2), "%q", ids)
	}
}
