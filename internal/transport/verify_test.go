package transport_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/joomcode/errorx"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/internal/transport"
)

// startUpstream starts a server that writes what respond returns for each request, by its number on
// its connection. It returns the URL and the number of connections so far.
func startUpstream(t *testing.T, respond func(n int, r *http.Request) string) (string, *atomic.Int32) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = l.Close() })
	var connections atomic.Int32
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			connections.Add(1)
			go serve(c, respond)
		}
	}()
	return "http://" + l.Addr().String(), &connections
}

// serve answers the requests on a connection until it ends.
func serve(c net.Conn, respond func(n int, r *http.Request) string) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for n := 1; ; n++ {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, strings.ReplaceAll(respond(n, r), "\n", "\r\n"))
	}
}

// response returns a response that names a request unless id is empty.
func response(status int, id, body string) string {
	if id != "" {
		id = "X-Attempt-Id: " + id + "\n"
	}
	return fmt.Sprintf("HTTP/1.1 %d Status\n%sContent-Length: %d\n\n%s", status, id, len(body), body)
}

// get sends a request with an ID and returns the status and the body of its response.
func get(t *testing.T, rt http.RoundTripper, url, id string) (int, string, error) {
	g := NewWithT(t)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, nil)
	g.Expect(err).NotTo(HaveOccurred())
	req.Header.Set(transport.HeaderAttempt, id)
	resp, err := rt.RoundTrip(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	g.Expect(err).NotTo(HaveOccurred())
	return resp.StatusCode, string(body), nil
}

// TestRefusalWrittenAgainIsNoAnswer guards against a refusal of an earlier request that is taken for
// the answer to a later one on the kept connection, as if that had not run.
func TestRefusalWrittenAgainIsNoAnswer(t *testing.T) {
	for name, earlier := range map[string]string{"with the earlier ID": "2", "without ID": ""} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			url, _ := startUpstream(t, func(n int, r *http.Request) string {
				id := r.Header.Get(transport.HeaderAttempt)
				switch id {
				case "1":
					return response(http.StatusOK, id, "")
				case "2":
					return response(http.StatusServiceUnavailable, earlier, "")
				}
				return response(http.StatusServiceUnavailable, earlier, "") + response(http.StatusOK, id, "answer")
			})
			rt := transport.NewPool(transport.Options{}).Idempotent()
			for id, want := range []int{http.StatusOK, http.StatusServiceUnavailable} {
				status, _, err := get(t, rt, url, fmt.Sprint(id+1))
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(status).To(Equal(want))
			}
			_, _, err := get(t, rt, url, "3")
			g.Expect(errorx.IsOfType(err, transport.ErrNoAnswer)).To(BeTrue(), "%v", err)
		})
	}
}

// TestUpstreamThatNamesNoRequestGetsNewConnections guards against an answer to another caller's
// request that can't be told from the own one.
func TestUpstreamThatNamesNoRequestGetsNewConnections(t *testing.T) {
	for _, names := range []bool{false, true} {
		g := NewWithT(t)
		url, connections := startUpstream(t, func(_ int, r *http.Request) string {
			if names {
				return response(http.StatusOK, r.Header.Get(transport.HeaderAttempt), "")
			}
			return response(http.StatusOK, "", "")
		})
		rt := transport.NewPool(transport.Options{}).Idempotent()
		for id := range 4 {
			status, _, err := get(t, rt, url, fmt.Sprint(id+1))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(status).To(Equal(http.StatusOK))
		}
		want := map[bool]int{false: 4, true: 2}
		g.Expect(connections.Load()).To(BeEquivalentTo(want[names]))
	}
}

// TestRefusalWrittenAgainDoesNotAnswerWrite guards against a write that took effect and is reported as
// refused, at services whose responses name no request.
func TestRefusalWrittenAgainDoesNotAnswerWrite(t *testing.T) {
	g := NewWithT(t)
	url, _ := startUpstream(t, func(n int, r *http.Request) string {
		refusal := response(http.StatusServiceUnavailable, "", "")
		switch {
		case r.Header.Get(transport.HeaderAttempt) == "1":
			return refusal
		case n > 1:
			return refusal + response(http.StatusOK, "", "")
		}
		return response(http.StatusOK, "", "")
	})
	rt := transport.NewPool(transport.Options{}).ByMethod()
	for i, want := range []int{http.StatusServiceUnavailable, http.StatusOK} {
		status, _, err := get(t, rt, url, fmt.Sprint(i+1))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(status).To(Equal(want))
	}
}

// TestResponseCutInHeadIsAnError guards against a head that was cut and looks like a whole response
// with an empty body.
func TestResponseCutInHeadIsAnError(t *testing.T) {
	g := NewWithT(t)
	whole := response(http.StatusOK, "1", "answer")
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = l.Close() }()
	go func() {
		for cut := 1; ; cut++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = http.ReadRequest(bufio.NewReader(c))
			_, _ = io.WriteString(c, strings.ReplaceAll(whole[:cut], "\n", "\r\n"))
			_ = c.Close()
		}
	}()
	for n := 1; n < len(whole)-len("answer"); n++ {
		rt := transport.NewPool(transport.Options{}).Idempotent()
		_, _, err := get(t, rt, "http://"+l.Addr().String(), "1")
		g.Expect(err).To(HaveOccurred(), "%d of %d bytes", n, len(whole))
	}
}
