package entryd_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/examples"
	"github.com/poplarshore/poplarshore/settings"
	"github.com/poplarshore/poplarshore/standin/caller"
	"github.com/poplarshore/poplarshore/standin/environment"
	"github.com/poplarshore/poplarshore/standin/rawserver"
	"github.com/poplarshore/poplarshore/upstream"
)

// permitStatus is the path of an idempotent call.
const permitStatus = "/services/permits/status/1"

// startRawUpstreams starts an environment in which a server that answers by raw bytes is in the place of the upstreams, and
// returns it with a caller.
func startRawUpstreams(t *testing.T, respond func(*http.Request) rawserver.Answer, ids ...upstream.ID) (*rawserver.Server, *caller.Caller) {
	g := NewWithT(t)
	server, err := rawserver.Listen(respond)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(server.Close)
	e, err := environment.Start(t.Context(), environment.Options{
		Document: examples.Quickstart,
		VMs: []environment.VM{{ID: "vm-1", Domain: "local-1", ConfigureSettings: func(s *settings.Entry) {
			for _, id := range ids {
				s.Upstreams = replaceUpstream(s.Upstreams, id, server.URL())
			}
		}}},
	})
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(e.Close)
	return server, &caller.Caller{Address: e.VM("vm-1").CallersAddress(), Key: demoKey, Client: &http.Client{Transport: &http.Transport{}}}
}

// rawAnswer returns an answer to a request with a status line after the protocol and further lines of the head, each with its end.
func rawAnswer(r *http.Request, status, lines, body string) rawserver.Answer {
	return rawserver.Answer{Text: fmt.Sprintf("HTTP/1.1 %s\r\nX-Attempt-Id: %s\r\n%s\r\n%s", status, r.Header.Get("X-Attempt-Id"), lines, body)}
}

// atOnce is a time well before the timeouts of the calls.
const atOnce = 3 * time.Second

// expectUnknownOutcome sends a call that may run once, without a key and twice with one, and expects that its caller is told at
// once that the outcome is unknown, that the service gets it once, and that nothing of the answer is stored.
func expectUnknownOutcome(t *testing.T, what, body string, respond func(*http.Request) rawserver.Answer) {
	t.Helper()
	g := NewWithT(t)
	server, c := startRawUpstreams(t, respond, "permits-1")
	for keyNumber, key := range []string{"", "one"} {
		header := map[string]string{}
		if key != "" {
			header["Idempotency-Key"] = key
		}
		for range keyNumber + 1 {
			began := time.Now()
			a, err := c.Do(t.Context(), http.MethodPost, permitsIssue, []byte(body), header)
			g.Expect(err).NotTo(HaveOccurred(), what)
			g.Expect(time.Since(began)).To(BeNumerically("<", atOnce), what)
			g.Expect(a.Status).To(Equal(http.StatusConflict), "%s: %s", what, a.Body)
			g.Expect(a.Reason).To(Equal("outcome_unknown"), what)
			g.Expect(a.Ran).To(Equal("unknown"), what)
		}
		g.Expect(server.Requests()).To(Equal(keyNumber+1), what)
	}
	g.Expect(server.Reused()).To(BeZero(), what)
}

// TestCallAnsweredWithoutStatusOfHTTPHasUnknownOutcome guards against answers whose status is none: the caller's connection was
// cut, or it got a 101, or a status that is none.
func TestCallAnsweredWithoutStatusOfHTTPHasUnknownOutcome(t *testing.T) {
	for _, status := range rawserver.InvalidStatuses() {
		expectUnknownOutcome(t, status, "{}", func(r *http.Request) rawserver.Answer {
			return rawAnswer(r, status, "Content-Length: 4\r\n", "body")
		})
	}
}

// expectReadFails sends an idempotent call and a completion to upstreams with broken answers, and expects that neither gets one.
func expectReadFails(t *testing.T, what string, respond func(*http.Request) rawserver.Answer) {
	t.Helper()
	g := NewWithT(t)
	server, c := startRawUpstreams(t, respond, "permits-1", "cheap-1", "cheap-2")
	a, err := c.Do(t.Context(), http.MethodGet, permitStatus, nil, nil)
	g.Expect(err).NotTo(HaveOccurred(), what)
	g.Expect(a.Status).To(Equal(http.StatusBadGateway), "%s: %s", what, a.Body)
	for _, stream := range []bool{false, true} {
		a, err = c.Chat(t.Context(), caller.NewRequest("cheap", "one", stream), nil)
		g.Expect(err).NotTo(HaveOccurred(), what)
		g.Expect(a.Status).To(Equal(http.StatusBadGateway), "%s: %s", what, a.Body)
		g.Expect(strings.Contains(string(a.Body), "foreign")).To(BeFalse(), what)
	}
	g.Expect(server.Requests()).To(BeNumerically(">=", 3), what)
	g.Expect(server.Reused()).To(BeZero(), what)
}

// TestReadAnsweredWithoutStatusOfHTTPFails is the same for calls that may run more than once, and for completions.
func TestReadAnsweredWithoutStatusOfHTTPFails(t *testing.T) {
	const stream = "id: a/0\ndata: foreign\n\ndata: [DONE]\n\n"
	for _, status := range rawserver.InvalidStatuses() {
		expectReadFails(t, status, func(r *http.Request) rawserver.Answer {
			return rawAnswer(r, status, "Content-Type: text/event-stream\r\n", stream)
		})
	}
}

// oddFields returns lines of a head with a name that holds a blank or a control byte. Without the framing that they seem to name,
// the body ends with the connection.
func oddFields() []string { return append(rawserver.InvalidFields(), "X\x01A: 1", "X\tA: 1") }

// TestCallAnsweredWithOddFieldNameHasUnknownOutcome guards against answers in whose head the name of a field is none: the caller
// got them, with another body if it named the length or the coding, and again with its key.
func TestCallAnsweredWithOddFieldNameHasUnknownOutcome(t *testing.T) {
	for _, line := range oddFields() {
		expectUnknownOutcome(t, line, "{}", func(r *http.Request) rawserver.Answer { return rawAnswer(r, "200 OK", line+"\r\n", "body") })
	}
}

// TestReadAnsweredWithOddFieldNameFails is the same for calls that may run more than once, and for completions.
func TestReadAnsweredWithOddFieldNameFails(t *testing.T) {
	const stream = "id: a/0\ndata: foreign\n\ndata: [DONE]\n\n"
	for _, line := range oddFields() {
		expectReadFails(t, line, func(r *http.Request) rawserver.Answer {
			return rawAnswer(r, "200 OK", "Content-Type: text/event-stream\r\n"+line+"\r\n", stream)
		})
	}
}

const (
	// uploadBytes is the length of a request body that no socket takes at once.
	uploadBytes = 4 << 20
	// uploadRuns is the number of uploads.
	uploadRuns = 10
)

// TestPartOfAnswerToUnreadUploadHasUnknownOutcome guards against a part of an answer that looks whole, as its service reset the
// connection while the call was still being written: the write learns of the reset in place of the read.
func TestPartOfAnswerToUnreadUploadHasUnknownOutcome(t *testing.T) {
	body := strings.Repeat("x", uploadBytes)
	for _, after := range []time.Duration{0, 2 * time.Millisecond, 30 * time.Millisecond} {
		for range uploadRuns {
			expectUnknownOutcome(t, after.String(), body, func(r *http.Request) rawserver.Answer {
				a := rawAnswer(r, "200 OK", "", "part")
				a.Unread, a.After, a.End = true, after, rawserver.Reset
				return a
			})
		}
	}
}

// TestAnswerWithoutLengthToUploadIsWhole guards sound answers without a length to long calls that their service took whole.
func TestAnswerWithoutLengthToUploadIsWhole(t *testing.T) {
	g := NewWithT(t)
	_, c := startRawUpstreams(t, func(r *http.Request) rawserver.Answer { return rawAnswer(r, "200 OK", "", "answer") }, "permits-1")
	for run := range uploadRuns {
		header := map[string]string{"Idempotency-Key": strconv.Itoa(run)}
		for range 2 {
			a, err := c.Do(t.Context(), http.MethodPost, permitsIssue, []byte(strings.Repeat("x", uploadBytes)), header)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(a.Status).To(Equal(http.StatusOK), "%s", a.Body)
			g.Expect(string(a.Body)).To(Equal("answer"))
		}
	}
}
