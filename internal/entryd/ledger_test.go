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

// ledgerPrefix is the key prefix of the ledger under the default settings.
var ledgerPrefix = rows.Keys{Prefix: settings.DefaultEntry().Platform.Prefix}.Ledger()

// ledgerEntries returns the entries of all segments by request ID.
func ledgerEntries(e *environment.Environment) map[string][]ledger.Entry {
	ctx, entriesByRequest := context.Background(), make(map[string][]ledger.Entry)
	keys, err := e.Platform.Objects.List(ctx, ledgerPrefix+"/segments/", "", 0)
	Expect(err).NotTo(HaveOccurred())
	for _, key := range keys {
		body, err := e.Platform.Objects.Get(ctx, key)
		Expect(err).NotTo(HaveOccurred())
		_, content, _ := bytes.Cut(body, []byte("\n"))
		var segment struct{ Entries []ledger.Entry }
		Expect(json.Unmarshal(content, &segment)).To(Succeed())
		for _, entry := range segment.Entries {
			entriesByRequest[entry.RequestID] = append(entriesByRequest[entry.RequestID], entry)
		}
	}
	return entriesByRequest
}

// settledTotals settles all segments and returns the account's totals.
func settledTotals(e *environment.Environment) ledger.Totals {
	s := ledger.NewSettler(ledger.SettlerOptions{Table: e.Platform.Table, Objects: e.Platform.Objects, Prefix: ledgerPrefix, Fence: 1})
	_, err := s.Settle(context.Background())
	Expect(err).NotTo(HaveOccurred())
	totals, err := s.Totals(context.Background(), "demo")
	Expect(err).NotTo(HaveOccurred())
	return totals
}

// usagePattern matches the token counts in an answer's usage.
var usagePattern = regexp.MustCompile(`"(prompt|completion)_tokens":(\d+)`)

// priceOf returns the price of an answer by the usage that it reports. Calls to
// services are free.
func priceOf(a caller.Answer) ledger.Micros {
	ref := model.Ref{Model: model.Name(a.Header.Get("Poplarshore-Model")), Version: model.VersionID(a.Header.Get("Poplarshore-Version"))}
	if ref.Model == "" {
		return 0
	}
	tokens := make(map[string]int64)
	for _, m := range usagePattern.FindAllSubmatch(a.Body, -1) {
		n, err := strconv.ParseInt(string(m[2]), 10, 64)
		Expect(err).NotTo(HaveOccurred())
		tokens[string(m[1])] = n
	}
	Expect(tokens).To(HaveLen(2), "usage in %s", a.Body)
	doc, err := document.Parse(examples.Quickstart)
	Expect(err).NotTo(HaveOccurred())
	return ledger.Micros(document.NewIndex(1, doc).Version(ref).Cost(tokens["prompt"], tokens["completion"]))
}

// checkLedger stops the VM and checks that no request was billed twice, that each
// delivered answer was billed at its price, and that requests refused as not run were
// not billed. It sets h.totals.
func (h *harness) checkLedger() {
	Expect(h.StopVM("vm-1")).To(BeZero())
	billed := ledgerEntries(h.Environment)
	var requests int64
	var amount ledger.Micros
	for id, entries := range billed {
		Expect(entries).To(HaveLen(1), "request %s", id)
		Expect(entries[0].Account).To(Equal("demo"))
		requests++
		amount += entries[0].Amount
	}
	for _, a := range h.answers {
		entries := billed[a.Header.Get("Poplarshore-Request-Id")]
		switch {
		case a.Reason == "":
			Expect(entries).To(HaveLen(1), "entries of a delivered answer")
			Expect(entries[0].Amount).To(Equal(priceOf(a)))
		case a.Ran == "no":
			Expect(entries).To(BeEmpty(), "refused as not run: %s", a.Reason)
		}
	}
	h.totals = settledTotals(h.Environment)
	Expect(h.totals.Requests).To(Equal(requests))
	Expect(h.totals.Amount).To(Equal(amount))
}

var _ = Describe("billing", func() {
	ctx := context.Background()

	It("counts a stored response once when another VM repeats it", func() {
		e, c := startEnvironment(ctx, examples.Quickstart, "vm-1", "vm-2")
		other := *c
		other.Address = e.VM("vm-2").CallersAddress()
		key := map[string]string{"Idempotency-Key": "first"}
		for _, target := range []*caller.Caller{c, &other, c} {
			a, err := target.Do(ctx, http.MethodPost, permitsIssue, []byte(`{"street":"Alem 100"}`), key)
			Expect(err).NotTo(HaveOccurred())
			Expect(a.Status).To(Equal(http.StatusCreated))
		}
		Expect(settledTotals(e).Requests).To(BeEquivalentTo(1))
	})

	It("counts a stream once when it is resumed on another VM", func() {
		e, c := startEnvironment(ctx, examples.Quickstart, "vm-1", "vm-2")
		a, err := c.Chat(ctx, caller.NewRequest("cheap", "one", true), nil)
		Expect(err).NotTo(HaveOccurred())
		other := *c
		other.Address = e.VM("vm-2").CallersAddress()
		resumed, err := other.Resume(ctx, a.Header.Get("Poplarshore-Resume"), "3")
		Expect(err).NotTo(HaveOccurred())
		Expect(resumed.Complete).To(BeTrue(), "%s %s", resumed.Reason, resumed.Body)
		Expect(resumed.Header.Get("Poplarshore-Request-Id")).To(Equal(a.Header.Get("Poplarshore-Request-Id")))
		totals := settledTotals(e)
		Expect(totals.Requests).To(BeEquivalentTo(1))
		Expect(totals.Amount).To(Equal(priceOf(a)))
	})

	It("sends uncommitted records to another VM when it stops while the store is unavailable", func() {
		shortTimeouts := func(s *settings.Entry) { s.Timeouts.VMListPeriodMS, s.Timeouts.BillMS = 10, billTimeoutMS }
		e, c := startEnvironment(ctx, examples.Quickstart)
		e.StopVM("vm-1")
		for _, id := range []vm.ID{"vm-1", "vm-2"} {
			_, err := e.StartVM(environment.VM{ID: id, Domain: "local-1", ConfigureSettings: shortTimeouts})
			Expect(err).NotTo(HaveOccurred())
		}
		c.Address = e.VM("vm-1").CallersAddress()
		Eventually(e.VM("vm-1").Peers, "1m").ShouldNot(BeEmpty())
		Expect(e.Platform.Faults.Add(fault.Rule{Kind: platform.Unavailable, Path: "/objects"})).To(Succeed())
		a, err := c.Chat(ctx, caller.NewRequest("cheap", "one", false), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Complete).To(BeTrue(), "%s", a.Reason)
		Expect(e.StopVM("vm-1")).To(BeZero())
		Expect(ledgerEntries(e)).To(BeEmpty())
		e.Platform.Faults.Clear()
		Eventually(func() map[string][]ledger.Entry { return ledgerEntries(e) }, "1m").Should(HaveKey(a.Header.Get("Poplarshore-Request-Id")))
		Expect(settledTotals(e).Requests).To(BeEquivalentTo(1))
	})

	DescribeTable("records the cost of failed attempts once and charges nothing when all attempts fail", func(request requestKind, rule fault.Rule) {
		h := newHarness(ctx)
		for _, e := range h.Engines {
			Expect(e.Faults.Add(rule)).To(Succeed())
		}
		Expect(h.send(request).Ran).To(Equal("unknown"))
		h.checkLedger()
		Expect(h.totals.Requests).To(BeEquivalentTo(1))
		Expect(h.totals.Cost).To(BeNumerically(">", 0))
		Expect(h.totals.Amount).To(BeZero())
	},
		Entry("non-streaming completion", requestKinds[0], fault.Rule{Kind: engine.TruncatedResponse, AfterPieces: 3}),
		Entry("cascade", requestKinds[2], fault.Rule{Kind: engine.TruncatedResponse, AfterPieces: 3}),
		Entry("streamed cascade", requestKinds[3], fault.Rule{Kind: engine.ResetAfterRead}),
	)

	It("refuses new requests as not run when the backlog is full", func() {
		h := newHarness(ctx, func(s *settings.Entry) { s.Requests.MaxBillBacklog = 10 })
		Expect(h.Platform.Faults.Add(fault.Rule{Kind: platform.Unavailable, Path: "/objects"})).To(Succeed())
		var reason string
		for range maxRequests {
			if a := h.send(requestKinds[0]); a.Reason != "" {
				Expect(a.Ran).To(Equal("no"))
				reason = a.Reason
				break
			}
		}
		Expect(reason).To(Equal("billing_unavailable"))
		h.Platform.Faults.Clear()
		h.checkLedger()
	})
})
