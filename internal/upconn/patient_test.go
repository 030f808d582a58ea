package upconn_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/internal/upconn"
)

// pauseWithinResponse is longer than the rest of a header may take without a decision on the silence.
const pauseWithinResponse = 2300 * time.Millisecond

// Guards against answers that are lost because their upstream was silent within a header or the size of a chunk.
func TestPauseWithinResponseIsWaitedForLikeOneBeforeIt(t *testing.T) {
	for name, parts := range map[string][2]string{
		"header":     {"HTTP/1.1 200 OK\nId: 1\nContent-", "Length: 4\n\nabcd"},
		"chunk size": {"HTTP/1.1 200 OK\nId: 1\nTransfer-Encoding: chunked\n\n2\nab\n2", "\ncd\n0\n\n"},
		"body":       {"HTTP/1.1 200 OK\nId: 1\nContent-Length: 4\n\nab", "cd"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			address := startUpstream(t, func(_ int, _ *http.Request, c net.Conn) {
				write(c, parts[0])
				<-time.After(pauseWithinResponse)
				write(c, parts[1])
				_, _ = c.Read(make([]byte, 1))
			})
			asked := 0
			wait := func() time.Duration { asked++; return 250 * time.Millisecond }
			call := newCall(address, "1")
			call.HeaderTimeout, call.OnSilence = 300*time.Millisecond, wait
			resp, err := upconn.NewPool(upconn.DefaultOptions()).Do(context.Background(), call)
			g.Expect(err).NotTo(HaveOccurred())
			defer resp.Close()
			body, buf := "", make([]byte, 64)
			for err == nil {
				var n int
				n, err = resp.Read(buf, 300*time.Millisecond, wait)
				body += string(buf[:n])
			}
			g.Expect(err).To(MatchError(io.EOF))
			g.Expect(body).To(Equal("abcd"))
			g.Expect(asked).To(BeNumerically(">", 0))
		})
	}
}

// Guards against a silence within a header that is held against the version of the upstream as a broken response.
func TestSilenceWithinHeaderIsNoBrokenResponse(t *testing.T) {
	g := NewWithT(t)
	address := startUpstream(t, func(_ int, _ *http.Request, c net.Conn) {
		write(c, "HTTP/1.1 200 OK\nId: 1\nContent-")
		_, _ = c.Read(make([]byte, 1))
	})
	call := newCall(address, "1")
	call.HeaderTimeout, call.OnSilence = 300*time.Millisecond, func() time.Duration { return 0 }
	_, err := upconn.NewPool(upconn.DefaultOptions()).Do(context.Background(), call)
	g.Expect(errorx.IsOfType(err, upconn.ErrSilent)).To(BeTrue(), "%v", err)
}
