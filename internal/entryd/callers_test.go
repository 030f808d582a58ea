package entryd_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/examples"
	"github.com/poplarshore/poplarshore/settings"
	"github.com/poplarshore/poplarshore/standin/engine"
	"github.com/poplarshore/poplarshore/standin/environment"
	"github.com/poplarshore/poplarshore/upstream"
)

// sendRaw sends text unchanged on a new connection and returns the status codes of
// all responses until the server closes the connection.
func sendRaw(address, text string) []int {
	conn, err := net.Dial("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	_, err = conn.Write([]byte(text))
	Expect(err).NotTo(HaveOccurred())
	var statuses []int
	for r := bufio.NewReader(conn); ; {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			return statuses
		}
		statuses = append(statuses, resp.StatusCode)
		_ = resp.Body.Close()
		if resp.Close {
			return statuses
		}
	}
}

// completionRequest returns a completion request with the header lines and the body.
func completionRequest(headers, body string) string {
	return fmt.Sprintf("POST /v1/completions HTTP/1.1\r\nHost: x\r\nConnection: close\r\nAuthorization: Bearer %s\r\n%s\r\n%s", demoKey, headers, body)
}

var _ = Describe("Daemon with malformed or incomplete requests", func() {
	var e *environment.Environment
	var address string
	const readTimeoutMS = 200

	BeforeEach(func() {
		var err error
		e, err = environment.Start(context.Background(), environment.Options{
			Document: examples.Quickstart,
			VMs: []environment.VM{{ID: "vm-1", Domain: "local-1", ConfigureSettings: func(s *settings.Entry) {
				s.Requests.HeaderTimeoutMS, s.Requests.BodyTimeoutMS = readTimeoutMS, readTimeoutMS
				s.Requests.MaxHeaderBytes = 8 << 10
			}}},
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { e.Close() })
		address = e.VM("vm-1").CallersAddress()
	})

	DescribeTable("sends one error response, runs nothing and closes the connection, so that no request is smuggled",
		func(request string, status int) {
			Expect(sendRaw(address, request)).To(Equal([]int{status}))
			for _, engine := range e.Engines {
				Expect(engine.Counts().Runs).To(BeZero())
			}
		},
		Entry("two Content-Length headers", completionRequest("Content-Length: 4\r\nContent-Length: 40\r\n", "{}GET /smuggled HTTP/1.1\r\n\r\n"), 400),
		Entry("an unknown transfer coding", completionRequest("Transfer-Encoding: xchunked\r\n", "0\r\n\r\n"), 501),
		Entry("two transfer codings", completionRequest("Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n", "0\r\n\r\n"), 501),
		Entry("a space after a header name", completionRequest("Content-Length : 2\r\n", "{}"), 400),
		Entry("an obsolete folded header", completionRequest("X: a\r\n b\r\nContent-Length : 2\r\n", "{}"), 400),
		Entry("an invalid chunk size", completionRequest("Transfer-Encoding: chunked\r\n", "zz\r\n{}\r\n0\r\n\r\n"), 400),
		Entry("an oversized header", completionRequest("X: "+strings.Repeat("a", 32<<10)+"\r\n", ""), 431),
		Entry("an incomplete body", completionRequest("Content-Length: 40\r\n", "{"), 408),
		Entry("a chunked body without its end", completionRequest("Transfer-Encoding: chunked\r\n", "2\r\n{}\r\n0\r\n"), 408),
	)

	It("closes the connection without a response when the header stays incomplete", func() {
		Expect(sendRaw(address, "POST /v1/completions HTTP/1.1\r\nHost: x\r\n")).To(BeEmpty())
	})
})

var _ = Describe("Daemon with a caller that stops reading", func() {
	It("aborts the request after the write timeout and leaves the answer without its end marker", func() {
		const writeTimeoutMS = 200
		e, err := environment.Start(context.Background(), environment.Options{
			Document:        examples.Quickstart,
			ConfigureEngine: func(_ upstream.Upstream, o *engine.Options) { o.MinTokens, o.MaxTokens = 200_000, 200_000 },
			VMs: []environment.VM{{ID: "vm-1", Domain: "local-1", ConfigureSettings: func(s *settings.Entry) {
				s.Requests.WriteTimeoutMS, s.Requests.MaxTokens = writeTimeoutMS, 1_000_000
			}}},
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(e.Close)
		conn, err := net.Dial("tcp", e.VM("vm-1").CallersAddress())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		body := `{"model":"strong","prompt":"x","stream":true,"max_tokens":200000}`
		_, err = conn.Write([]byte(completionRequest(fmt.Sprintf("Content-Length: %d\r\n", len(body)), body)))
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() uint64 { return e.Engines["strong-1"].Counts().Runs }).WithTimeout(20 * time.Second).Should(BeNumerically(">", 0))
		Eventually(func() int { return e.VM("vm-1").Status().InFlight }).WithTimeout(20 * time.Second).Should(BeZero())
		rest, _ := io.ReadAll(conn)
		Expect(string(rest)).NotTo(ContainSubstring("[DONE]"))
	})
})
