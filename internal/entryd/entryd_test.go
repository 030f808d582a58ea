package entryd_test

import (
	"context"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/examples"
	"github.com/poplarshore/poplarshore/standin/caller"
	"github.com/poplarshore/poplarshore/standin/engine"
	"github.com/poplarshore/poplarshore/standin/environment"
	"github.com/poplarshore/poplarshore/standin/fault"
	"github.com/poplarshore/poplarshore/standin/service"
	"github.com/poplarshore/poplarshore/upstream"
	"github.com/poplarshore/poplarshore/vm"
)

func TestEntryd(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "entryd")
}

const (
	// demoKey is the API key of the demo account.
	demoKey = "demo-key"
	// minTokens and maxTokens bound the length of the stand-in engines' answers.
	minTokens = 8
	maxTokens = 32
	// permitsIssue is the path of a non-idempotent call.
	permitsIssue = "/services/permits/issue"
)

// startEnvironment starts an environment with the entry VMs, by default only vm-1,
// and returns a caller of the first one.
func startEnvironment(ctx context.Context, document []byte, ids ...string) (*environment.Environment, *caller.Caller) {
	if len(ids) == 0 {
		ids = []string{"vm-1"}
	}
	opts := environment.Options{Document: document}
	for _, id := range ids {
		opts.VMs = append(opts.VMs, environment.VM{ID: vm.ID(id), Domain: "local-1"})
	}
	e, err := environment.Start(ctx, opts)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(e.Close)
	return e, &caller.Caller{Address: e.VM(vm.ID(ids[0])).CallersAddress(), Key: demoKey, Client: &http.Client{Transport: &http.Transport{}}}
}

// isCompleteAnswer reports whether the answer is complete and its text is what the
// model version named in its headers generates from the prompt.
func isCompleteAnswer(a caller.Answer, prompt string) bool {
	name, version := a.Header.Get("Poplarshore-Model"), a.Header.Get("Poplarshore-Version")
	return a.Complete && engine.IsAnswer(a.Text, name, version, prompt, minTokens, maxTokens, 0)
}

var _ = Describe("Daemon", func() {
	ctx := context.Background()

	It("answers non-streaming and streaming requests with models and cascades", func() {
		_, c := startEnvironment(ctx, examples.Quickstart)
		for _, name := range []string{"cheap", "strong", "draft"} {
			for _, stream := range []bool{false, true} {
				prompt := "plan for " + name
				a, err := c.Chat(ctx, caller.NewRequest(name, prompt, stream), nil)
				Expect(err).NotTo(HaveOccurred())
				Expect(a.Status).To(Equal(http.StatusOK), string(a.Body))
				Expect(isCompleteAnswer(a, prompt)).To(BeTrue(), "%q from %v", a.Text, a.Header)
			}
		}
	})

	It("returns a cascade's cheap answer when the strong model fails before its first piece", func() {
		e, c := startEnvironment(ctx, examples.Quickstart)
		for _, id := range []upstream.ID{"cheap-1", "cheap-2"} {
			Expect(e.Engines[id].Faults.Add(fault.Rule{Kind: engine.BadQuality})).To(Succeed())
		}
		Expect(e.Engines["strong-1"].Faults.Add(fault.Rule{Kind: engine.Refuse})).To(Succeed())
		for _, stream := range []bool{true, false} {
			a, err := c.Chat(ctx, caller.NewRequest("draft", "plan", stream), nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(isCompleteAnswer(a, "plan")).To(BeTrue(), "%s", a.Body)
			Expect(a.Header.Get("Poplarshore-Model")).To(Equal("cheap"))
		}
	})

	It("pins a session to its version and refuses it once the version is withdrawn", func() {
		e, c := startEnvironment(ctx, examples.Quickstart)
		a, err := c.Chat(ctx, caller.NewRequest("cheap", "one", false), map[string]string{"Poplarshore-Session": "new"})
		Expect(err).NotTo(HaveOccurred())
		token := map[string]string{"Poplarshore-Session": a.Header.Get("Poplarshore-Session")}
		updated := strings.Replace(string(examples.Quickstart), `"current": "v1"`, `"current": "v2"`, 1)
		Expect(e.Publish([]byte(updated))).To(Succeed())
		Expect(e.AwaitRevision(ctx, 2)).To(Succeed())
		a, err = c.Chat(ctx, caller.NewRequest("cheap", "two", false), token)
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Header.Get("Poplarshore-Version")).To(Equal("v1"))
		withoutSession, err := c.Chat(ctx, caller.NewRequest("cheap", "two", false), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(withoutSession.Header.Get("Poplarshore-Version")).To(Equal("v2"))

		withdrawn := strings.Replace(updated, `"session":`, `"withdrawals": [{"version": "cheap@v1", "reason": "test"}], "session":`, 1)
		Expect(e.Publish([]byte(withdrawn))).To(Succeed())
		Expect(e.AwaitRevision(ctx, 3)).To(Succeed())
		a, err = c.Chat(ctx, caller.NewRequest("cheap", "three", false), token)
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Reason).To(Equal("session_version_withdrawn"))
		Expect(a.Ran).To(Equal("no"))
	})

	It("runs a non-idempotent call once when its key is repeated on another VM", func() {
		e, c := startEnvironment(ctx, examples.Quickstart, "vm-1", "vm-2")
		other := *c
		other.Address = e.VM("vm-2").CallersAddress()
		key := map[string]string{"Idempotency-Key": "first"}
		a, err := c.Do(ctx, http.MethodPost, permitsIssue, []byte(`{"street":"Alem 100"}`), key)
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Status).To(Equal(http.StatusCreated), string(a.Body))
		b, err := other.Do(ctx, http.MethodPost, permitsIssue, []byte(`{"street":"Alem 100"}`), key)
		Expect(err).NotTo(HaveOccurred())
		Expect(b.Body).To(Equal(a.Body))
		mismatched, err := other.Do(ctx, http.MethodPost, permitsIssue, []byte(`{"street":"Alem 200"}`), key)
		Expect(err).NotTo(HaveOccurred())
		Expect(mismatched.Reason).To(Equal("idempotency_key_reused"))
		Expect(e.Services["permits-1"].Counts().Runs).To(BeEquivalentTo(1))
	})

	// Guards against a call that is classified by another reading of its target than the one that its service gets.
	DescribeTable("forwards the target of a call as it was sent",
		func(target string) {
			e, c := startEnvironment(ctx, examples.Quickstart)
			_, err := c.Do(ctx, http.MethodGet, "/services/permits"+target, nil, nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(e.Services["permits-1"].LastTarget()).To(Equal(target))
		},
		Entry("plain", "/status/P-1"),
		Entry("encoded slash", "/status/A%2F2026"),
		Entry("encoding that is encoded", "/status/A%252F1"),
		Entry("lower-case digits", "/status/%c3%ad?x=%zz&y"),
		Entry("letter that needs no encoding", "/status/%41"),
		Entry("encoded question mark", "/status/A%3Fx=1"),
		Entry("empty query", "/status/A?"),
		Entry("root", "/"),
	)

	DescribeTable("refuses invalid requests with a specific status and reason",
		func(method, path, body string, headers map[string]string, status int, reason string) {
			_, c := startEnvironment(ctx, examples.Quickstart)
			a, err := c.Do(ctx, method, path, []byte(body), headers)
			Expect(err).NotTo(HaveOccurred())
			Expect(a.Status).To(Equal(status))
			Expect(a.Reason).To(Equal(reason))
			Expect(a.Header.Get("Poplarshore-Ran")).To(Equal("no"))
		},
		Entry("malformed JSON", "POST", "/v1/chat/completions", `{"model":`, nil, 400, "malformed_request"),
		Entry("not an object", "POST", "/v1/chat/completions", `null`, nil, 400, "malformed_request"),
		Entry("no messages", "POST", "/v1/chat/completions", `{"model":"cheap"}`, nil, 400, "malformed_request"),
		Entry("not UTF-8", "POST", "/v1/chat/completions", "\xff", nil, 400, "not_utf8"),
		Entry("max_tokens over the limit", "POST", "/v1/completions", `{"model":"cheap","prompt":"x","max_tokens":99999999}`, nil, 400, "bad_max_tokens"),
		Entry("unknown model", "POST", "/v1/completions", `{"model":"none","prompt":"x"}`, nil, 404, "model_unknown"),
		Entry("dot segments", "POST", "/services/permits/status/../issue", `{}`, nil, 400, "ambiguous_request"),
		Entry("encoded dot segments", "POST", "/services/permits/%2e%2E/stock/x", `{}`, nil, 400, "ambiguous_request"),
		Entry("empty segment", "GET", "/services/permits//status/x", ``, nil, 400, "ambiguous_request"),
		Entry("encoded NUL", "GET", "/services/permits/status/x%00", ``, nil, 400, "ambiguous_request"),
		Entry("unknown service", "GET", "/services/none/x", ``, nil, 404, "service_unknown"),
		Entry("wrong method", "GET", "/v1/completions", ``, nil, 405, "method_not_allowed"),
		Entry("unknown path", "GET", "/v2", ``, nil, 404, "path_unknown"),
		Entry("unknown API key", "GET", "/v1/models", ``, map[string]string{"Authorization": "Bearer other"}, 401, "unauthorized"),
		Entry("loop", "GET", "/v1/models", ``, map[string]string{"Poplarshore-Hop": "x"}, 508, "loop_detected"),
		Entry("invalid session token", "POST", "/v1/completions", `{"model":"cheap","prompt":"x"}`, map[string]string{"Poplarshore-Session": "x"}, 400, "session_invalid"),
		Entry("oversized body", "POST", "/v1/completions", strings.Repeat(" ", 4<<20+1), nil, 413, "body_too_large"),
	)

	It("does not run a non-idempotent call twice when a connection is reset after the request was read", func() {
		e, c := startEnvironment(ctx, examples.Quickstart)
		s := e.Services["permits-1"]
		for i, key := range []string{"a", "b", "c"} {
			if i == 1 {
				Expect(s.Faults.Add(fault.Rule{Kind: service.ResetAfterRead, Count: 1})).To(Succeed())
			}
			a, err := c.Do(ctx, http.MethodPost, permitsIssue, []byte(`{"street":"`+key+`"}`), map[string]string{"Idempotency-Key": key})
			Expect(err).NotTo(HaveOccurred())
			if i == 1 {
				Expect(a.Reason).To(Equal("outcome_unknown"))
				Expect(a.Ran).To(Equal("unknown"))
			} else {
				Expect(a.Status).To(Equal(http.StatusCreated))
			}
		}
		for _, runs := range s.Counts().RunsByBody {
			Expect(runs).To(BeNumerically("<=", 1))
		}
	})
})
