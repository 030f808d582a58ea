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
	demoKey      = "demo-key"
	minTokens    = 8
	maxTokens    = 32
	permitsIssue = "/services/permits/issue"
)

// start runs an environment with one entry VM and returns a caller of it.
func start(ctx context.Context, document []byte, ids ...string) (*environment.Environment, *caller.Caller) {
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

// own tells whether the text is a whole answer of the model to the prompt.
func own(a caller.Answer, prompt string) bool {
	name, version := a.Header.Get("Poplarshore-Model"), a.Header.Get("Poplarshore-Version")
	return a.Complete && engine.IsAnswer(a.Text, name, version, prompt, minTokens, maxTokens, 0)
}

var _ = Describe("the whole path", func() {
	ctx := context.Background()

	It("answers whole and streamed, from models and cascades", func() {
		_, c := start(ctx, examples.Quickstart)
		for _, name := range []string{"cheap", "strong", "draft"} {
			for _, stream := range []bool{false, true} {
				prompt := "plan for " + name
				a, err := c.Chat(ctx, caller.NewRequest(name, prompt, stream), nil)
				Expect(err).NotTo(HaveOccurred())
				Expect(a.Status).To(Equal(http.StatusOK), string(a.Body))
				Expect(own(a, prompt)).To(BeTrue(), "%q from %v", a.Text, a.Header)
			}
		}
	})

	It("falls back to the cheap answer of a cascade when the strong model fails before its first piece", func() {
		e, c := start(ctx, examples.Quickstart)
		for _, id := range []upstream.ID{"cheap-1", "cheap-2"} {
			Expect(e.Engines[id].Faults.Add(fault.Rule{Kind: engine.BadQuality})).To(Succeed())
		}
		Expect(e.Engines["strong-1"].Faults.Add(fault.Rule{Kind: engine.Refuse})).To(Succeed())
		for _, stream := range []bool{true, false} {
			a, err := c.Chat(ctx, caller.NewRequest("draft", "plan", stream), nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(own(a, "plan")).To(BeTrue(), "%s", a.Body)
			Expect(a.Header.Get("Poplarshore-Model")).To(Equal("cheap"))
		}
	})

	It("keeps a session on its version, and ends it when the version is withdrawn", func() {
		e, c := start(ctx, examples.Quickstart)
		a, err := c.Chat(ctx, caller.NewRequest("cheap", "one", false), map[string]string{"Poplarshore-Session": "new"})
		Expect(err).NotTo(HaveOccurred())
		token := map[string]string{"Poplarshore-Session": a.Header.Get("Poplarshore-Session")}
		moved := strings.Replace(string(examples.Quickstart), `"current": "v1"`, `"current": "v2"`, 1)
		Expect(e.Publish([]byte(moved))).To(Succeed())
		Expect(e.AwaitRevision(ctx, 2)).To(Succeed())
		a, err = c.Chat(ctx, caller.NewRequest("cheap", "two", false), token)
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Header.Get("Poplarshore-Version")).To(Equal("v1"))
		fresh, err := c.Chat(ctx, caller.NewRequest("cheap", "two", false), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(fresh.Header.Get("Poplarshore-Version")).To(Equal("v2"))

		withdrawn := strings.Replace(moved, `"session":`, `"withdrawals": [{"version": "cheap@v1", "reason": "test"}], "session":`, 1)
		Expect(e.Publish([]byte(withdrawn))).To(Succeed())
		Expect(e.AwaitRevision(ctx, 3)).To(Succeed())
		a, err = c.Chat(ctx, caller.NewRequest("cheap", "three", false), token)
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Reason).To(Equal("session_version_withdrawn"))
		Expect(a.Ran).To(Equal("no"))
	})

	It("issues one permit for a repeated key, on whichever VM", func() {
		e, c := start(ctx, examples.Quickstart, "vm-1", "vm-2")
		other := *c
		other.Address = e.VM("vm-2").CallersAddress()
		key := map[string]string{"Idempotency-Key": "first"}
		a, err := c.Do(ctx, http.MethodPost, permitsIssue, []byte(`{"street":"Alem 100"}`), key)
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Status).To(Equal(http.StatusCreated), string(a.Body))
		b, err := other.Do(ctx, http.MethodPost, permitsIssue, []byte(`{"street":"Alem 100"}`), key)
		Expect(err).NotTo(HaveOccurred())
		Expect(b.Body).To(Equal(a.Body))
		wrong, err := other.Do(ctx, http.MethodPost, permitsIssue, []byte(`{"street":"Alem 200"}`), key)
		Expect(err).NotTo(HaveOccurred())
		Expect(wrong.Reason).To(Equal("idempotency_key_reused"))
		Expect(e.Services["permits-1"].Counts().Runs).To(BeEquivalentTo(1))
	})

	DescribeTable("refuses bad input with a reason of its own",
		func(method, path, body string, headers map[string]string, status int, reason string) {
			_, c := start(ctx, examples.Quickstart)
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
		Entry("absurd max_tokens", "POST", "/v1/completions", `{"model":"cheap","prompt":"x","max_tokens":99999999}`, nil, 400, "bad_max_tokens"),
		Entry("unknown model", "POST", "/v1/completions", `{"model":"none","prompt":"x"}`, nil, 404, "model_unknown"),
		Entry("unknown service", "GET", "/services/none/x", ``, nil, 404, "service_unknown"),
		Entry("wrong method", "GET", "/v1/completions", ``, nil, 405, "method_not_allowed"),
		Entry("unknown path", "GET", "/v2", ``, nil, 404, "path_unknown"),
		Entry("no such account", "GET", "/v1/models", ``, map[string]string{"Authorization": "Bearer other"}, 401, "unauthorized"),
		Entry("loop", "GET", "/v1/models", ``, map[string]string{"Poplarshore-Hop": "x"}, 508, "loop_detected"),
		Entry("bad session", "POST", "/v1/completions", `{"model":"cheap","prompt":"x"}`, map[string]string{"Poplarshore-Session": "x"}, 400, "session_invalid"),
		Entry("oversize body", "POST", "/v1/completions", strings.Repeat(" ", 4<<20+1), nil, 413, "body_too_large"),
	)

	It("never lets a broken reused connection run a call twice", func() {
		e, c := start(ctx, examples.Quickstart)
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
