package entryd_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/settings"
	"github.com/poplarshore/poplarshore/standin/caller"
	"github.com/poplarshore/poplarshore/standin/engine"
	"github.com/poplarshore/poplarshore/standin/fault"
	"github.com/poplarshore/poplarshore/standin/platform"
)

// metrics returns what the VM's metrics are.
func (b *bench) metrics() string {
	resp, err := http.Get("http://" + b.VM("vm-1").OperatorsAddress() + "/metrics")
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	return string(text)
}

var _ = Describe("a slow engine", func() {
	It("is hedged by another", func() {
		b := newBench(context.Background())
		ask := func(prompt string) {
			a, err := b.caller.Chat(context.Background(), caller.NewRequest("cheap", prompt, true), nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(own(a, prompt)).To(BeTrue())
			b.answers = append(b.answers, a)
		}
		for i := range 20 {
			ask(fmt.Sprintf("learn %d", i))
		}
		slow := b.Engines["cheap-1"]
		if other := b.Engines["cheap-2"]; other.Counts().Runs > slow.Counts().Runs {
			slow = other
		}
		Expect(slow.Faults.Add(fault.Rule{Kind: engine.Slow, DelayMs: 250})).To(Succeed())
		for i := range mostAsks {
			ask(fmt.Sprintf("slow %d", i))
			if slow.Faults.Report().Injected[engine.Slow] > 0 {
				break
			}
		}
		Expect(b.metrics()).NotTo(ContainSubstring("\npoplarshore_hedges_total 0\n"))
		b.checkLedger()
	})
})

var _ = Describe("the wait for a billing record", func() {
	It("holds back the end of a streamed answer and nothing before it", func() {
		const longBill = 60_000
		b := newBench(context.Background(), func(s *settings.Entry) { s.Timeouts.BillMS = longBill })
		Expect(b.Platform.Faults.Add(fault.Rule{Kind: platform.Unavailable, Path: "/objects"})).To(Succeed())
		arrived := make(chan struct{})
		b.caller.OnPiece = func(pieces int) {
			if pieces == 1 {
				close(arrived)
			}
		}
		done := make(chan caller.Answer, 1)
		go func() {
			defer GinkgoRecover()
			request := caller.NewRequest("strong", "one token", true)
			request.MaxTokens = 1
			a, err := b.caller.Chat(context.Background(), request, nil)
			Expect(err).NotTo(HaveOccurred())
			done <- a
		}()
		Eventually(arrived).WithTimeout(longBill / 2 * time.Millisecond).Should(BeClosed())
		Expect(done).NotTo(Receive())
		b.Platform.Faults.Clear()
		Eventually(done).WithTimeout(longBill / 2 * time.Millisecond).Should(Receive(HaveField("Whole", BeTrue())))
	})
})
