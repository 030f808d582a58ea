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

// The limits that find silent connections, in milliseconds.
const (
	quickIdle  = 300
	quickStore = 400
	quickBill  = 500
)

// mostAsks bounds the requests made until a fault has struck.
const mostAsks = 40

// waitLong bounds waits whose outcome does not depend on it.
const waitLong = 20 * time.Second

// bench is an environment under faults, with counts from its stand-ins.
type bench struct {
	*environment.Environment
	caller *caller.Caller
	asked  int
	// answers are all that were given.
	answers []caller.Answer
	// settled is the account's totals at the end.
	settled ledger.Totals
}

func newBench(ctx context.Context, changes ...func(*settings.Entry)) *bench {
	e, err := environment.Start(ctx, environment.Options{
		Document: examples.Quickstart,
		VMs: []environment.VM{{ID: "vm-1", Domain: "local-1", ConfigureSettings: func(s *settings.Entry) {
			s.Timeouts.HeadersMS, s.Timeouts.IdleMS, s.Timeouts.StoreMS = quickIdle, quickIdle, quickStore
			s.Timeouts.FreshForMS, s.Timeouts.BillMS, s.Timeouts.ServiceIdleMS = 60_000, quickBill, quickIdle
			for _, change := range changes {
				change(s)
			}
		}}},
	})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(e.Close)
	return &bench{Environment: e, caller: &caller.Caller{
		Address: e.VM("vm-1").CallersAddress(), Key: demoKey, Client: &http.Client{Transport: &http.Transport{}},
	}}
}

// runs returns how many attempts and calls the upstreams have begun.
func (b *bench) runs() uint64 {
	var n uint64
	for _, e := range b.Engines {
		n += e.Counts().Runs
	}
	for _, s := range b.Services {
		n += s.Counts().Runs
	}
	return n
}

// step is one kind of request.
type step struct {
	name string
	// prompt is what a completion asks; empty for services.
	ask func(b *bench, prompt string) (caller.Answer, error)
	// completion tells that an answer's text can be checked.
	completion bool
	// repeatable tells that the request may run more than once.
	repeatable bool
}

func chat(model string, stream bool) func(*bench, string) (caller.Answer, error) {
	return func(b *bench, prompt string) (caller.Answer, error) {
		return b.caller.Chat(context.Background(), caller.NewRequest(model, prompt, stream), nil)
	}
}

func permit(headers func(prompt string) map[string]string) func(*bench, string) (caller.Answer, error) {
	return func(b *bench, prompt string) (caller.Answer, error) {
		return b.caller.Do(context.Background(), http.MethodPost, permitsIssue, []byte(prompt), headers(prompt))
	}
}

var steps = []step{
	{name: "whole answer", ask: chat("cheap", false), completion: true, repeatable: true},
	{name: "streamed answer", ask: chat("cheap", true), completion: true, repeatable: true},
	{name: "cascade", ask: chat("draft", false), completion: true, repeatable: true},
	{name: "streamed cascade", ask: chat("draft", true), completion: true, repeatable: true},
	{name: "permit with a key", ask: permit(func(p string) map[string]string { return map[string]string{"Idempotency-Key": p} })},
	{name: "permit without a key", ask: permit(func(string) map[string]string { return nil })},
}

// check asserts what must hold of any answer, from the stand-ins' own counts.
func (b *bench) check(s step, prompt string, a caller.Answer, before uint64) {
	switch {
	case a.Reason != "":
		Expect(a.Header.Get("Poplarshore-Ran")).To(Equal(a.Ran))
		if a.Ran == "no" {
			Expect(b.runs()).To(Equal(before), "a refusal that says not run: %s", a.Reason)
		}
	case s.completion:
		Expect(own(a, prompt)).To(BeTrue(), "answer %q to %q, whole %v", a.Text, prompt, a.Complete)
	default:
		Expect(a.Status).To(Equal(http.StatusCreated))
		Expect(a.Complete).To(BeTrue())
	}
	if !s.repeatable {
		for content, runs := range b.Services["permits-1"].Counts().RunsByBody {
			Expect(runs).To(Equal(1), "permit %q", content)
		}
	}
}

// ask sends one request and checks it. A stream that broke off is a failure,
// as no fault of the matrix is beyond mending for a stream.
func (b *bench) ask(s step) caller.Answer {
	b.asked++
	prompt := fmt.Sprintf("%s %d", s.name, b.asked)
	before := b.runs()
	a, err := s.ask(b, prompt)
	Expect(err).NotTo(HaveOccurred())
	b.check(s, prompt, a, before)
	b.answers = append(b.answers, a)
	return a
}

// strike is a fault at an upstream.
type strike struct {
	rule fault.Rule
	// engines and services tell where the fault exists.
	engines, services bool
	// unknown tells that a call that runs at most once ends with unknown outcome.
	unknown bool
}

var strikes = []strike{
	{rule: fault.Rule{Kind: engine.Refuse}, engines: true, services: true},
	{rule: fault.Rule{Kind: engine.ResetBeforeRead}, engines: true, services: true, unknown: true},
	{rule: fault.Rule{Kind: engine.ResetAfterRead}, engines: true, services: true, unknown: true},
	{rule: fault.Rule{Kind: engine.ResetAfterRead, ReusedOnly: true}, engines: true, services: true},
	{rule: fault.Rule{Kind: engine.Stall}, engines: true, services: true, unknown: true},
	{rule: fault.Rule{Kind: engine.Stall, AfterPieces: 3}, engines: true},
	{rule: fault.Rule{Kind: engine.TruncatedResponse, AfterPieces: 3}, engines: true, services: true, unknown: true},
	{rule: fault.Rule{Kind: engine.DuplicatePiece, AfterPieces: 2}, engines: true},
	{rule: fault.Rule{Kind: engine.ReorderPieces, AfterPieces: 2}, engines: true},
	{rule: fault.Rule{Kind: engine.WrongAttemptPiece, AfterPieces: 2}, engines: true},
	{rule: fault.Rule{Kind: engine.ErrorStatus, Status: 500}, engines: true},
	{rule: fault.Rule{Kind: service.Redirect}, services: true},
}

var _ = Describe("the fault matrix", func() {
	for _, s := range steps {
		for _, f := range strikes {
			if (s.completion && !f.engines) || (!s.completion && !f.services) {
				continue
			}
			name := strings.TrimSpace(fmt.Sprintf("%s, %s after %d pieces", s.name, f.rule.Kind, f.rule.AfterPieces))
			if f.rule.ReusedOnly {
				name += " on a reused connection"
			}
			It(name, func() { strikeUpstreams(s, f) })
		}
	}
})

// strikeUpstreams asks before, under and after one strike of the fault at
// every upstream.
func strikeUpstreams(s step, f strike) {
	b := newBench(context.Background())
	b.ask(s)
	f.rule.Count = 1
	for _, e := range b.Engines {
		if f.engines {
			Expect(e.Faults.Add(f.rule)).To(Succeed())
		}
	}
	for _, v := range b.Services {
		if f.services {
			Expect(v.Faults.Add(f.rule)).To(Succeed())
		}
	}
	onceOnly := f.rule.ReusedOnly && !s.repeatable
	for n := 0; n < 3 || (n < mostAsks && b.struck(f.rule.Kind) == 0 && !onceOnly); n++ {
		a := b.ask(s)
		if s.completion {
			Expect(a.Complete && a.Reason == "").To(BeTrue(), "refused: %s %s", a.Reason, a.Body)
		}
		if f.unknown && !s.repeatable && a.Reason != "" {
			Expect(a.Ran).To(Equal("unknown"))
		}
	}
	if onceOnly {
		Expect(b.struck(f.rule.Kind)).To(BeZero(), "a call that runs at most once went out on a reused connection")
	} else {
		Expect(b.struck(f.rule.Kind)).To(BeNumerically(">", 0), "the fault never struck")
	}
	Expect(b.ask(s).Reason).To(BeEmpty())
	b.checkLedger()
}

// struck returns how often a fault struck any upstream.
func (b *bench) struck(kind fault.Kind) uint64 {
	var n uint64
	for _, e := range b.Engines {
		n += e.Faults.Report().Injected[kind]
	}
	for _, v := range b.Services {
		n += v.Faults.Report().Injected[kind]
	}
	return n
}

var _ = Describe("the store's faults", func() {
	for _, s := range steps {
		for _, kind := range []fault.Kind{platform.Unavailable, platform.Slow, platform.ReplyLost, platform.RequestLost} {
			for _, path := range []string{"/table", "/objects"} {
				It(fmt.Sprintf("%s, %s of %s", s.name, kind, path), func() { strikeStore(s, kind, path) })
			}
		}
	}
})

// strikeStore asks during a fault of one of the store's services and after it.
// Answers that need no memory go on; calls that need a claim are refused truly.
func strikeStore(s step, kind fault.Kind, path string) {
	b := newBench(context.Background())
	b.ask(s)
	Expect(b.Platform.Faults.Add(fault.Rule{Kind: kind, Path: path, DelayMs: 2 * quickStore})).To(Succeed())
	for range 2 {
		a := b.ask(s)
		if s.completion {
			Expect(a.Complete && a.Reason == "").To(BeTrue(), "refused: %s", a.Reason)
		}
	}
	b.Platform.Faults.Clear()
	Expect(b.ask(s).Reason).To(BeEmpty())
	b.checkLedger()
}
