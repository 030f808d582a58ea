package transport_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/joomcode/errorx"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/internal/httphead"
	"github.com/poplarshore/poplarshore/internal/transport"
	"github.com/poplarshore/poplarshore/standin/rawserver"
)

// startRaw starts a server that sends the text, with CRLF line ends, to each request. It leaves its connections open.
func startRaw(t *testing.T, text string) *rawserver.Server {
	server, err := rawserver.Listen(func(*http.Request) rawserver.Answer {
		return rawserver.Answer{Text: strings.ReplaceAll(text, "\n", "\r\n"), End: rawserver.StayOpen}
	})
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(server.Close)
	return server
}

// roundTrippers returns the round trippers of a pool, by the requests that they are for.
func roundTrippers(p *transport.Pool) map[string]http.RoundTripper {
	return map[string]http.RoundTripper{"idempotent": p.Idempotent(), "non-idempotent": p.NonIdempotent(), "by method": p.ByMethod()}
}

// expectNoResponse expects that a request to a server that sends the text fails with ErrInvalid, and that no other request uses
// its connection.
func expectNoResponse(t *testing.T, text string) {
	t.Helper()
	g := NewWithT(t)
	for kind, rt := range roundTrippers(transport.NewPool(transport.Options{})) {
		server := startRaw(t, text)
		for range 3 {
			_, _, err := get(t, rt, server.URL(), "1")
			g.Expect(errorx.IsOfType(err, httphead.ErrInvalid)).To(BeTrue(), "%s, %q: %v", kind, text, err)
		}
		g.Expect(server.Requests()).To(Equal(3))
		g.Expect(server.Reused()).To(BeZero(), "%s, %q", kind, text)
	}
}

// TestAnswerWithoutStatusOfHTTPIsNoResponse guards against answers whose status is none, with a body or without one.
func TestAnswerWithoutStatusOfHTTPIsNoResponse(t *testing.T) {
	for _, status := range []string{"000 Odd", "000", "099 Odd", "+20 Odd", "-00 Odd", "101 Switching Protocols", "600 Odd", "999 Odd"} {
		for _, body := range []string{"body", ""} {
			expectNoResponse(t, fmt.Sprintf("HTTP/1.1 %s\nX-Attempt-Id: 1\nContent-Length: %d\n\n%s", status, len(body), body))
		}
	}
}

// TestInformationalResponsesAreBounded guards against informational responses without end: net/http doesn't bound those that a
// trace sees.
func TestInformationalResponsesAreBounded(t *testing.T) {
	expectNoResponse(t, strings.Repeat("HTTP/1.1 103 Early Hints\n\n", 17)+response(http.StatusOK, "1", "answer"))
	g := NewWithT(t)
	server := startRaw(t, strings.Repeat("HTTP/1.1 103 Early Hints\nLink: x\n\n", 16)+response(http.StatusOK, "1", "answer"))
	status, body, err := get(t, transport.NewPool(transport.Options{}).Idempotent(), server.URL(), "1")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(status).To(Equal(http.StatusOK))
	g.Expect(body).To(Equal("answer"))
}

// TestInformationalResponseWithBodyIsNoResponse guards against a body that is read as the next response.
func TestInformationalResponseWithBodyIsNoResponse(t *testing.T) {
	foreign := response(http.StatusOK, "1", "foreign")
	expectNoResponse(t, fmt.Sprintf("HTTP/1.1 150 Odd\nX-Attempt-Id: 1\nContent-Length: %d\n\n%s", len(foreign), foreign))
}
