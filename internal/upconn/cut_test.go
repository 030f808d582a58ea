package upconn_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/internal/upconn"
)

// startCutting starts a server that writes the first n bytes of a response to the request with each
// number n, and closes the connection.
func startCutting(t *testing.T, response string) string {
	return startUpstream(t, func(n int, _ *http.Request, c net.Conn) {
		_, _ = io.WriteString(c, response[:min(n, len(response))])
		_ = c.Close()
	})
}

// TestCutResponseIsNeverComplete cuts responses after each byte. It guards against a head, or a body,
// that was cut and looks like a whole response with an empty or short body.
func TestCutResponseIsNeverComplete(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: 1\r\n"
	whole := map[string]string{
		"length":               head + "Content-Length: 6\r\n\r\nanswer",
		"no body":              head + "Content-Length: 0\r\n\r\n",
		"chunks":               head + "Transfer-Encoding: chunked\r\n\r\n2\r\nan\r\n4\r\nswer\r\n0\r\n\r\n",
		"chunks and a trailer": head + "Transfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\n6\r\nanswer\r\n0\r\nSum: 1\r\n\r\n",
		"after informational":  "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + head + "Content-Length: 6\r\n\r\nanswer",
		"after a stale one":    "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 3\r\n\r\nold" + head + "Content-Length: 6\r\n\r\nanswer",
	}
	for name, response := range whole {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			p := upconn.NewPool(upconn.DefaultOptions())
			address := startCutting(t, response)
			for n := 1; n <= len(response); n++ {
				call := newCall(address, "1")
				call.HeaderTimeout = 5 * time.Second
				resp, err := p.Do(context.Background(), call)
				if err == nil {
					_, err = readBody(resp)
					resp.Close()
				}
				g.Expect(err == nil).To(Equal(n == len(response)), "%d of %d bytes: %v", n, len(response), err)
			}
		})
	}
}

// TestCutHeadWithoutLengthIsNeverComplete guards against the same where the body ends with the
// connection: whatever follows a whole head is the body then, but a cut head has none.
func TestCutHeadWithoutLengthIsNeverComplete(t *testing.T) {
	g := NewWithT(t)
	const head = "HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s\r\n\r\n"
	p := upconn.NewPool(upconn.DefaultOptions())
	address := startCutting(t, head+"answer")
	for n := 1; n <= len(head); n++ {
		resp, err := p.Do(context.Background(), newCall(address, "1"))
		if err == nil {
			_, err = readBody(resp)
			resp.Close()
		}
		g.Expect(err == nil).To(Equal(n == len(head)), "%d of %d bytes: %v", n, len(head), err)
	}
}
