package entryd_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"regexp"
	"strconv"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/coord/ledger"
	"github.com/poplarshore/poplarshore/document"
	"github.com/poplarshore/poplarshore/examples"
	"github.com/poplarshore/poplarshore/internal/rows"
	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/settings"
	"github.com/poplarshore/poplarshore/standin/caller"
	"github.com/poplarshore/poplarshore/standin/engine"
	"github.com/poplarshore/poplarshore/standin/environment"
	"github.com/poplarshore/poplarshore/standin/fault"
	"github.com/poplarshore/poplarshore/standin/platform"
	"github.com/poplarshore/poplarshore/vm"
)

var ledgerPrefix = rows.Keys{Prefix: settings.DefaultEntry().Platform.Prefix}.Ledger()

// records returns the entries of all segments, by request.
func records(e *environment.Environment) map[string][]ledger.Entry {
	ctx, found := context.Background(), make(map[string][]ledger.Entry)
	keys, err := e.Platform.Objects.List(ctx, ledgerPrefix+"/segments/", "", 0)
	Expect(err).NotTo(HaveOccurred())
	for _, key := range keys {
		body, err := e.Platform.Objects.Get(ctx, key)
		Expect(err).NotTo(HaveOccurred())
		_, content, _ := bytes.Cut(body, []byte("\n"))
		var segment struct{ Entries []ledger.Entry }
		Expect(json.Unmarshal(content, &segment)).To(Succeed())
		for _, entry := range segment.Entries {
			found[entry.RequestID] = append(found[entry.RequestID], entry)
		}
	}
	return found
}

// settled returns the account's totals once all segments are folded.
func settled(e *environment.Environment) ledger.Totals {
	s := ledger.NewSettler(ledger.SettlerOptions{Table: e.Platform.Table, Objects: e.Platform.Objects, Prefix: ledgerPrefix, Fence: 1})
	_, err := s.Settle(context.Background())
	Expect(err).NotTo(HaveOccurred())
	totals, err := s.Totals(context.Background(), "demo")
	Expect(err).NotTo(HaveOccurred())
	return totals
}

var usage = regexp.MustCompile(`"(prompt|completion)_tokens":(\d+)`)

// price returns what the answer costs by its own usage; services are free.
func price(a caller.Answer) ledger.Micros {
	ref := model.Ref{Model: model.Name(a.Header.Get("Poplarshore-Model")), Version: model.VersionID(a.Header.Get("Poplarshore-Version"))}
	if ref.Model == "" {
		return 0
	}
	tokens := make(map[string]int64)
	for _, m := range usage.FindAllSubmatch(a.Body, -1) {
		n, err := strconv.ParseInt(string(m[2]), 10, 64)
		Expect(err).NotTo(HaveOccurred())
		tokens[string(m[1])] = n
	}
	Expect(tokens).To(HaveLen(2), "usage in %s", a.Body)
	doc, err := document.Parse(examples.Quickstart)
	Expect(err).NotTo(HaveOccurred())
	return ledger.Micros(document.NewIndex(1, doc).Version(ref).Cost(tokens["prompt"], tokens["completion"]))
}

// checkLedger stops the VM and asserts that each request was billed once: what
// was delivered at its price, and what was refused as not run not at all.
func (b *bench) checkLedger() {
	Expect(b.StopVM("vm-1")).To(BeZero())
	billed := records(b.Environment)
	var requests int64
	var amount ledger.Micros
	for id, entries := range billed {
		Expect(entries).To(HaveLen(1), "request %s", id)
		Expect(entries[0].Account).To(Equal("demo"))
		requests++
		amount += entries[0].Amount
	}
	for _, a := range b.answers {
		entries := billed[a.Header.Get("Poplarshore-Request-Id")]
		switch {
		case a.Reason == "":
			Expect(entries).To(HaveLen(1), "a delivered answer")
			Expect(entries[0].Amount).To(Equal(price(a)))
		case a.Ran == "no":
			Expect(entries).To(BeEmpty(), "refused as not run: %s", a.Reason)
		}
	}
	b.settled = settled(b.Environment)
	Expect(b.settled.Requests).To(Equal(requests))
	Expect(b.settled.Amount).To(Equal(amount))
}

var _ = Describe("billing", func() {
	ctx := context.Background()

	It("counts a kept answer once when it is sent again by another VM", func() {
		e, c := start(ctx, examples.Quickstart, "vm-1", "vm-2")
		other := *c
		other.Address = e.VM("vm-2").CallersAddress()
		key := map[string]string{"Idempotency-Key": "first"}
		for _, at := range []*caller.Caller{c, &other, c} {
			a, err := at.Do(ctx, http.MethodPost, permitsIssue, []byte(`{"street":"Alem 100"}`), key)
			Expect(err).NotTo(HaveOccurred())
			Expect(a.Status).To(Equal(http.StatusCreated))
		}
		Expect(settled(e).Requests).To(BeEquivalentTo(1))
	})

	It("counts a stream once when it is resumed at another VM", func() {
		e, c := start(ctx, examples.Quickstart, "vm-1", "vm-2")
		a, err := c.Chat(ctx, caller.NewRequest("cheap", "one", true), nil)
		Expect(err).NotTo(HaveOccurred())
		other := *c
		other.Address = e.VM("vm-2").CallersAddress()
		again, err := other.Resume(ctx, a.Header.Get("Poplarshore-Resume"), "3")
		Expect(err).NotTo(HaveOccurred())
		Expect(again.Complete).To(BeTrue(), "%s %s", again.Reason, again.Body)
		Expect(again.Header.Get("Poplarshore-Request-Id")).To(Equal(a.Header.Get("Poplarshore-Request-Id")))
		totals := settled(e)
		Expect(totals.Requests).To(BeEquivalentTo(1))
		Expect(totals.Amount).To(Equal(price(a)))
	})

	It("hands records over when a VM stops while the store is out", func() {
		quick := func(s *settings.Entry) { s.Timeouts.VMListPeriodMS, s.Timeouts.BillMS = 10, quickBill }
		e, c := start(ctx, examples.Quickstart)
		e.StopVM("vm-1")
		for _, id := range []vm.ID{"vm-1", "vm-2"} {
			_, err := e.StartVM(environment.VM{ID: id, Domain: "local-1", ConfigureSettings: quick})
			Expect(err).NotTo(HaveOccurred())
		}
		c.Address = e.VM("vm-1").CallersAddress()
		Eventually(e.VM("vm-1").Peers, "1m").ShouldNot(BeEmpty())
		Expect(e.Platform.Faults.Add(fault.Rule{Kind: platform.Unavailable, Path: "/objects"})).To(Succeed())
		a, err := c.Chat(ctx, caller.NewRequest("cheap", "one", false), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Complete).To(BeTrue(), "%s", a.Reason)
		Expect(e.StopVM("vm-1")).To(BeZero())
		Expect(records(e)).To(BeEmpty())
		e.Platform.Faults.Clear()
		Eventually(func() map[string][]ledger.Entry { return records(e) }, "1m").Should(HaveKey(a.Header.Get("Poplarshore-Request-Id")))
		Expect(settled(e).Requests).To(BeEquivalentTo(1))
	})

	DescribeTable("keeps the cost of attempts that all failed, once, and charges nothing", func(s step, rule fault.Rule) {
		b := newBench(ctx)
		for _, e := range b.Engines {
			Expect(e.Faults.Add(rule)).To(Succeed())
		}
		Expect(b.ask(s).Ran).To(Equal("unknown"))
		b.checkLedger()
		Expect(b.settled.Requests).To(BeEquivalentTo(1))
		Expect(b.settled.Cost).To(BeNumerically(">", 0))
		Expect(b.settled.Amount).To(BeZero())
	},
		Entry("of a whole answer", steps[0], fault.Rule{Kind: engine.TruncatedResponse, AfterPieces: 3}),
		Entry("of a cascade", steps[2], fault.Rule{Kind: engine.TruncatedResponse, AfterPieces: 3}),
		Entry("of a streamed cascade", steps[3], fault.Rule{Kind: engine.ResetAfterRead}),
	)

	It("refuses new work truly when the backlog is full", func() {
		b := newBench(ctx, func(s *settings.Entry) { s.Requests.MaxBillBacklog = 10 })
		Expect(b.Platform.Faults.Add(fault.Rule{Kind: platform.Unavailable, Path: "/objects"})).To(Succeed())
		var reason string
		for range mostAsks {
			if a := b.ask(steps[0]); a.Reason != "" {
				Expect(a.Ran).To(Equal("no"))
				reason = a.Reason
				break
			}
		}
		Expect(reason).To(Equal("billing_unavailable"))
		b.Platform.Faults.Clear()
		b.checkLedger()
	})
})
