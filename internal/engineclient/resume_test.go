package engineclient_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/internal/engineclient"
	"github.com/poplarshore/poplarshore/internal/membudget"
	"github.com/poplarshore/poplarshore/internal/sequence"
	"github.com/poplarshore/poplarshore/internal/transport"
)

// startEngine starts an engine that answers each request with the bytes and closes the connection.
func startEngine(t *testing.T, raw string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = http.ReadRequest(bufio.NewReader(c))
			_, _ = io.WriteString(c, raw)
			_ = c.Close()
		}
	}()
	return "http://" + l.Addr().String()
}

// TestErrorInPlaceOfResumedStreamHasNoPieces guards against the text of an engine's error in the middle
// of a stream, and against a cut head that ends it as complete.
func TestErrorInPlaceOfResumedStreamHasNoPieces(t *testing.T) {
	events := func(status, body string) string {
		return fmt.Sprintf("HTTP/1.1 %s\r\nX-Attempt-Id: a\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
	}
	for name, raw := range map[string]string{
		"client error as events":    events("400 Bad Request", "id: a/3\ndata: no such stream\n\n"),
		"server error as events":    events("500 Internal Server Error", "id: a/3\ndata: failed\n\ndata: [DONE]\n\n"),
		"event without ID":          events("200 OK", "data: internal error\n\n"),
		"empty stream":              events("200 OK", ""),
		"head of an error as event": events("200 OK", "HTTP/1.1 500 Internal Server Error\r\n\r\ninternal error\n\n"),
		"text":                      "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nerror",
		"cut head":                  "HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nContent-Length: 0\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			client := engineclient.New(transport.NewPools(transport.Options{}), engineclient.Limits{}, membudget.New(1<<20))
			stream, err := client.Resume(t.Context(), startEngine(t, raw), "m", "a", 2)
			if err == nil {
				err = stream.Pieces(func(p sequence.Piece) error { return fmt.Errorf("piece %q", p.Data) }, nil)
			}
			g.Expect(err).To(HaveOccurred())
			g.Expect(err.Error()).NotTo(HavePrefix("piece"))
		})
	}
}
