package transport_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
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
	server, err := rawserver.Listen(rawserver.Lines(text))
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
	for _, status := range rawserver.InvalidStatuses() {
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

// TestAnswerWithOddFieldNameIsNoResponse guards against a name that holds a blank, which hides the length or the coding of the body.
func TestAnswerWithOddFieldNameIsNoResponse(t *testing.T) {
	for _, line := range rawserver.InvalidFields() {
		for _, body := range []string{"body", ""} {
			expectNoResponse(t, fmt.Sprintf("HTTP/1.1 200 OK\nX-Attempt-Id: 1\n%s\nContent-Length: %d\n\n%s", line, len(body), body))
		}
		expectNoResponse(t, "HTTP/1.1 103 Early Hints\n"+line+"\n\n"+response(http.StatusOK, "1", "answer"))
	}
}

// TestOddTrailerEndsNoBody guards against the same in a trailer.
func TestOddTrailerEndsNoBody(t *testing.T) {
	for kind, rt := range roundTrippers(transport.NewPool(transport.Options{})) {
		for _, line := range rawserver.InvalidFields() {
			g := NewWithT(t)
			server := startRaw(t, "HTTP/1.1 200 OK\nX-Attempt-Id: 1\nTransfer-Encoding: chunked\n\n4\nbody\n0\n"+line+"\n\n")
			for range 3 {
				body, err := readAll(t, rt, server.URL())
				g.Expect(body).To(Equal("body"))
				g.Expect(errorx.IsOfType(err, httphead.ErrInvalid)).To(BeTrue(), "%s, %q: %v", kind, line, err)
			}
			g.Expect(server.Reused()).To(BeZero(), "%s, %q", kind, line)
		}
	}
}

// readAll sends a request and reads the body of its response.
func readAll(t *testing.T, rt http.RoundTripper, url string) (string, error) {
	return uploadAndReadAll(t, rt, url, nil)
}

// uploadAndReadAll is like readAll for a request with a body.
func uploadAndReadAll(t *testing.T, rt http.RoundTripper, url string, sent []byte) (string, error) {
	g := NewWithT(t)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, bytes.NewReader(sent))
	g.Expect(err).NotTo(HaveOccurred())
	resp, err := rt.RoundTrip(req)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err == nil {
		// The end is that of later reads, too.
		_, again := resp.Body.Read(make([]byte, 1))
		g.Expect(again).To(Equal(io.EOF))
	}
	return string(body), err
}

const (
	// uploadBytes is the length of a body that no socket takes at once.
	uploadBytes = 4 << 20
	// uploadRuns is the number of uploads whose write and read are raced against each other.
	uploadRuns = 50
)

// upload sends a request over a connection that the server ends after an answer without a length, and returns what came.
func upload(t *testing.T, end rawserver.Upload) (string, error) {
	rt := transport.Checked(&http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) {
		return rawserver.NewConn("HTTP/1.1 200 OK\r\n\r\npart", end), nil
	}})
	return uploadAndReadAll(t, rt, "http://upstream", make([]byte, uploadBytes))
}

// TestAnswerWithoutLengthIsCutIfUploadWasNotTaken guards against a part of an answer that looks whole: the upstream reset the
// connection, and the write of the request learned that in place of the read.
func TestAnswerWithoutLengthIsCutIfUploadWasNotTaken(t *testing.T) {
	for name, end := range map[string]rawserver.Upload{"write failed": rawserver.UploadReset, "write goes on": rawserver.UploadStuck} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			for range uploadRuns {
				body, err := upload(t, end)
				// Without a body, the error of the write came before the response.
				g.Expect(body).To(BeElementOf("part", ""))
				g.Expect(err).To(HaveOccurred())
				if body != "" {
					g.Expect(errorx.IsOfType(err, transport.ErrCut)).To(BeTrue(), "%v", err)
				}
			}
		})
	}
}

// TestAnswerWithoutLengthIsWholeIfUploadWasTaken guards sound answers without a length, to long requests and to ones without a body.
func TestAnswerWithoutLengthIsWholeIfUploadWasTaken(t *testing.T) {
	g := NewWithT(t)
	for range uploadRuns {
		g.Expect(upload(t, rawserver.UploadTaken)).To(Equal("part"))
	}
	server, err := rawserver.Listen(func(*http.Request) rawserver.Answer { return rawserver.Answer{Text: "HTTP/1.1 200 OK\r\n\r\nanswer"} })
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(server.Close)
	for kind, rt := range roundTrippers(transport.NewPool(transport.Options{})) {
		body, err := readAll(t, rt, server.URL())
		g.Expect(err).NotTo(HaveOccurred(), kind)
		g.Expect(body).To(Equal("answer"), kind)
	}
}
