package upconn_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/internal/upconn"
)

// startCutting starts a server that writes the first n bytes of a response to a request whose target is /n,
// and closes the connection.
func startCutting(t *testing.T, response string) string {
	return startUpstream(t, func(_ int, r *http.Request, c net.Conn) {
		n, err := strconv.Atoi(strings.TrimPrefix(r.URL.Path, "/"))
		if err == nil {
			_, _ = io.WriteString(c, response[:n])
		}
		_ = c.Close()
	})
}

// cutPool returns a pool whose connections may be opened late, as they are beside load.
func cutPool() *upconn.Pool {
	opts := upconn.DefaultOptions()
	opts.DialTimeout = cutTimeout
	return upconn.NewPool(opts)
}

// cutTimeout is how long a connection or a response may take.
const cutTimeout = 5 * time.Second

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
			p := cutPool()
			address := startCutting(t, response)
			for n := 1; n <= len(response); n++ {
				call := newCall(address, "1")
				call.HeaderTimeout, call.Request.Target = cutTimeout, "/"+strconv.Itoa(n)
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
	p := cutPool()
	address := startCutting(t, head+"answer")
	for n := 1; n <= len(head); n++ {
		call := newCall(address, "1")
		call.HeaderTimeout, call.Request.Target = cutTimeout, "/"+strconv.Itoa(n)
		resp, err := p.Do(context.Background(), call)
		if err == nil {
			_, err = readBody(resp)
			resp.Close()
		}
		g.Expect(err == nil).To(Equal(n == len(head)), "%d of %d bytes: %v", n, len(head), err)
	}
}
