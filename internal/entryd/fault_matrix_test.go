package entryd_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/coord/ledger"
	"github.com/poplarshore/poplarshore/examples"
	"github.com/poplarshore/poplarshore/settings"
	"github.com/poplarshore/poplarshore/standin/caller"
	"github.com/poplarshore/poplarshore/standin/engine"
	"github.com/poplarshore/poplarshore/standin/environment"
	"github.com/poplarshore/poplarshore/standin/fault"
	"github.com/poplarshore/poplarshore/standin/platform"
	"github.com/poplarshore/poplarshore/standin/service"
)

// Timeouts of the entry VM in milliseconds, short so that faults in which the peer
// doesn't answer are detected quickly.
const (
	idleTimeoutMS  = 300 // for headers and between chunks of upstreams
	storeTimeoutMS = 400
	billTimeoutMS  = 500
)

// maxRequests bounds the number of requests sent until a fault has been injected.
const maxRequests = 40

// eventuallyTimeout bounds waits for conditions that hold much earlier unless the
// test fails.
const eventuallyTimeout = 20 * time.Second

// harness is an environment with one entry VM, into which faults are injected. It
// compares the answers with the counts of the stand-ins.
type harness struct {
	*environment.Environment
	caller       *caller.Caller
	requestCount int
	// answers holds the answers to all requests.
	answers []caller.Answer
	// totals are the account's totals. checkLedger sets them.
	totals ledger.Totals
}

// newHarness starts an environment whose VM has short timeouts and the changed
// settings.
func newHarness(ctx context.Context, changes ...func(*settings.Entry)) *harness {
	e, err := environment.Start(ctx, environment.Options{
		Document: examples.Quickstart,
		VMs: []environment.VM{{ID: "vm-1", Domain: "local-1", ConfigureSettings: func(s *settings.Entry) {
			s.Timeouts.HeadersMS, s.Timeouts.IdleMS, s.Timeouts.StoreMS = idleTimeoutMS, idleTimeoutMS, storeTimeoutMS
			s.Timeouts.FreshForMS, s.Timeouts.BillMS, s.Timeouts.ServiceIdleMS = 60_000, billTimeoutMS, idleTimeoutMS
			for _, change := range changes {
				change(s)
			}
		}}},
	})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(e.Close)
	return &harness{Environment: e, caller: &caller.Caller{
		Address: e.VM("vm-1").CallersAddress(), Key: demoKey, Client: &http.Client{Transport: &http.Transport{}},
	}}
}

// runCount returns the number of attempts and calls that upstreams have started.
func (h *harness) runCount() uint64 {
	var n uint64
	for _, e := range h.Engines {
		n += e.Counts().Runs
	}
	for _, s := range h.Services {
		n += s.Counts().Runs
	}
	return n
}

// requestKind is a kind of request that is tested under each fault.
type requestKind struct {
	// name is part of the test's title and of the prompt.
	name string
	// send sends a request. The prompt is a completion's prompt, or the body of a
	// call to a service.
	send func(h *harness, prompt string) (caller.Answer, error)
	// completion reports that the answer is generated from the prompt, so that its
	// text can be checked.
	completion bool
	// repeatable reports that the request may run more than once.
	repeatable bool
}

// chatSender returns a function that requests a chat completion.
func chatSender(model string, stream bool) func(*harness, string) (caller.Answer, error) {
	return func(h *harness, prompt string) (caller.Answer, error) {
		return h.caller.Chat(context.Background(), caller.NewRequest(model, prompt, stream), nil)
	}
}

// permitSender returns a function that calls the non-idempotent permits service.
func permitSender(headers func(prompt string) map[string]string) func(*harness, string) (caller.Answer, error) {
	return func(h *harness, prompt string) (caller.Answer, error) {
		return h.caller.Do(context.Background(), http.MethodPost, permitsIssue, []byte(prompt), headers(prompt))
	}
}

var requestKinds = []requestKind{
	{name: "whole answer", send: chatSender("cheap", false), completion: true, repeatable: true},
	{name: "streamed answer", send: chatSender("cheap", true), completion: true, repeatable: true},
	{name: "cascade", send: chatSender("draft", false), completion: true, repeatable: true},
	{name: "streamed cascade", send: chatSender("draft", true), completion: true, repeatable: true},
	{name: "permit with a key", send: permitSender(func(p string) map[string]string { return map[string]string{"Idempotency-Key": p} })},
	{name: "permit without a key", send: permitSender(func(string) map[string]string { return nil })},
}

// checkAnswer checks what must hold for every answer, by the counts of the
// stand-ins: a refusal that reports that the request did not run started no run, a
// successful answer is complete, and a non-idempotent call ran at most once.
func (h *harness) checkAnswer(request requestKind, prompt string, a caller.Answer, runsBefore uint64) {
	switch {
	case a.Reason != "":
		Expect(a.Header.Get("Poplarshore-Ran")).To(Equal(a.Ran))
		if a.Ran == "no" {
			Expect(h.runCount()).To(Equal(runsBefore), "an upstream ran a request that was refused as not run: %s", a.Reason)
		}
	case request.completion:
		Expect(isCompleteAnswer(a, prompt)).To(BeTrue(), "answer %q to %q, complete: %v", a.Text, prompt, a.Complete)
	default:
		Expect(a.Status).To(Equal(http.StatusCreated))
		Expect(a.Complete).To(BeTrue())
	}
	if !request.repeatable {
		for content, runs := range h.Services["permits-1"].Counts().RunsByBody {
			Expect(runs).To(Equal(1), "permit %q", content)
		}
	}
}

// send sends one request and checks its answer. A truncated stream fails the test,
// because the entry can recover a stream from every fault of the matrix.
func (h *harness) send(request requestKind) caller.Answer {
	h.requestCount++
	prompt := fmt.Sprintf("%s %d", request.name, h.requestCount)
	runsBefore := h.runCount()
	a, err := request.send(h, prompt)
	Expect(err).NotTo(HaveOccurred())
	h.checkAnswer(request, prompt, a, runsBefore)
	h.answers = append(h.answers, a)
	return a
}

// upstreamFault is a fault that is injected into upstreams.
type upstreamFault struct {
	rule fault.Rule
	// engines and services report which upstreams support the fault.
	engines, services bool
	// outcomeUnknown reports that a non-idempotent call that is refused because of
	// the fault may have run.
	outcomeUnknown bool
}

var upstreamFaults = []upstreamFault{
	{rule: fault.Rule{Kind: engine.Refuse}, engines: true, services: true},
	{rule: fault.Rule{Kind: engine.ResetBeforeRead}, engines: true, services: true, outcomeUnknown: true},
	{rule: fault.Rule{Kind: engine.ResetAfterRead}, engines: true, services: true, outcomeUnknown: true},
	{rule: fault.Rule{Kind: engine.ResetAfterRead, ReusedOnly: true}, engines: true, services: true},
	{rule: fault.Rule{Kind: engine.Stall}, engines: true, services: true, outcomeUnknown: true},
	{rule: fault.Rule{Kind: engine.Stall, AfterPieces: 3}, engines: true},
	{rule: fault.Rule{Kind: engine.TruncatedResponse, AfterPieces: 3}, engines: true, services: true, outcomeUnknown: true},
	{rule: fault.Rule{Kind: engine.DuplicatePiece, AfterPieces: 2}, engines: true},
	{rule: fault.Rule{Kind: engine.ReorderPieces, AfterPieces: 2}, engines: true},
	{rule: fault.Rule{Kind: engine.WrongAttemptPiece, AfterPieces: 2}, engines: true},
	{rule: fault.Rule{Kind: engine.ErrorStatus, Status: 500}, engines: true},
	{rule: fault.Rule{Kind: service.Redirect}, services: true},
}

var _ = Describe("Daemon under upstream faults", func() {
	for _, request := range requestKinds {
		for _, f := range upstreamFaults {
			if (request.completion && !f.engines) || (!request.completion && !f.services) {
				continue
			}
			name := strings.TrimSpace(fmt.Sprintf("%s, %s after %d pieces", request.name, f.rule.Kind, f.rule.AfterPieces))
			if f.rule.ReusedOnly {
				name += " on a reused connection"
			}
			It(name, func() { checkUpstreamFault(request, f) })
		}
	}
})

// checkUpstreamFault sends requests before, during and after a fault that each
// upstream injects once. Completions must succeed throughout. A non-idempotent call
// is never sent on a reused connection, so faults of reused connections must not
// affect it.
func checkUpstreamFault(request requestKind, f upstreamFault) {
	h := newHarness(context.Background())
	h.send(request)
	f.rule.Count = 1
	for _, e := range h.Engines {
		if f.engines {
			Expect(e.Faults.Add(f.rule)).To(Succeed())
		}
	}
	for _, v := range h.Services {
		if f.services {
			Expect(v.Faults.Add(f.rule)).To(Succeed())
		}
	}
	neverInjected := f.rule.ReusedOnly && !request.repeatable
	for n := 0; n < 3 || (n < maxRequests && h.injectedFaults(f.rule.Kind) == 0 && !neverInjected); n++ {
		a := h.send(request)
		if request.completion {
			Expect(a.Complete && a.Reason == "").To(BeTrue(), "refused: %s %s", a.Reason, a.Body)
		}
		if f.outcomeUnknown && !request.repeatable && a.Reason != "" {
			Expect(a.Ran).To(Equal("unknown"))
		}
	}
	if neverInjected {
		Expect(h.injectedFaults(f.rule.Kind)).To(BeZero(), "a non-idempotent call was sent on a reused connection")
	} else {
		Expect(h.injectedFaults(f.rule.Kind)).To(BeNumerically(">", 0), "the fault was never injected")
	}
	Expect(h.send(request).Reason).To(BeEmpty())
	h.checkLedger()
}

// injectedFaults returns how often the upstreams have injected a kind of fault.
func (h *harness) injectedFaults(kind fault.Kind) uint64 {
	var n uint64
	for _, e := range h.Engines {
		n += e.Faults.Report().Injected[kind]
	}
	for _, v := range h.Services {
		n += v.Faults.Report().Injected[kind]
	}
	return n
}

var _ = Describe("Daemon under store faults", func() {
	for _, request := range requestKinds {
		for _, kind := range []fault.Kind{platform.Unavailable, platform.Slow, platform.ReplyLost, platform.RequestLost} {
			for _, path := range []string{"/table", "/objects"} {
				It(fmt.Sprintf("%s, %s at %s", request.name, kind, path), func() { checkStoreFault(request, kind, path) })
			}
		}
	}
})

// checkStoreFault sends requests during and after a fault of one of the store's
// services. Completions must succeed throughout, because they need no claim. Calls
// that need one may be refused, but the refusal must report correctly whether the
// call ran.
func checkStoreFault(request requestKind, kind fault.Kind, path string) {
	h := newHarness(context.Background())
	h.send(request)
	Expect(h.Platform.Faults.Add(fault.Rule{Kind: kind, Path: path, DelayMs: 2 * storeTimeoutMS})).To(Succeed())
	for range 2 {
		a := h.send(request)
		if request.completion {
			Expect(a.Complete && a.Reason == "").To(BeTrue(), "refused: %s", a.Reason)
		}
	}
	h.Platform.Faults.Clear()
	Expect(h.send(request).Reason).To(BeEmpty())
	h.checkLedger()
}
