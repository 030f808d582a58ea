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

// metrics returns the VM's metrics in the Prometheus text format.
func (h *harness) metrics() string {
	resp, err := http.Get("http://" + h.VM("vm-1").OperatorsAddress() + "/metrics")
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	return string(text)
}

var _ = Describe("Daemon with a slow engine", func() {
	It("hedges requests with another engine", func() {
		h := newHarness(context.Background())
		chat := func(prompt string) {
			a, err := h.caller.Chat(context.Background(), caller.NewRequest("cheap", prompt, true), nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(isCompleteAnswer(a, prompt)).To(BeTrue())
			h.answers = append(h.answers, a)
		}
		for i := range 20 {
			chat(fmt.Sprintf("learn %d", i))
		}
		// Placement may choose either engine, so each of them delays its next request.
		cheapEngines := []*engine.Server{h.Engines["cheap-1"], h.Engines["cheap-2"]}
		for _, e := range cheapEngines {
			Expect(e.Faults.Add(fault.Rule{Kind: engine.Slow, DelayMs: 1000, Count: 1})).To(Succeed())
		}
		chat("slow")
		for _, e := range cheapEngines {
			Expect(e.Faults.Report().Injected[engine.Slow]).To(BeEquivalentTo(1), "the request must reach both engines")
		}
		Expect(h.metrics()).NotTo(ContainSubstring("\npoplarshore_hedges_total 0\n"))
		h.checkLedger()
	})
})

var _ = Describe("Daemon while the billing record can't be committed", func() {
	It("delays only the end of a streamed answer", func() {
		const longBillTimeoutMS = 60_000
		h := newHarness(context.Background(), func(s *settings.Entry) { s.Timeouts.BillMS = longBillTimeoutMS })
		Expect(h.Platform.Faults.Add(fault.Rule{Kind: platform.Unavailable, Path: "/objects"})).To(Succeed())
		firstPiece := make(chan struct{})
		h.caller.OnPiece = func(pieces int) {
			if pieces == 1 {
				close(firstPiece)
			}
		}
		done := make(chan caller.Answer, 1)
		go func() {
			defer GinkgoRecover()
			request := caller.NewRequest("strong", "one token", true)
			request.MaxTokens = 1
			a, err := h.caller.Chat(context.Background(), request, nil)
			Expect(err).NotTo(HaveOccurred())
			done <- a
		}()
		Eventually(firstPiece).WithTimeout(longBillTimeoutMS / 2 * time.Millisecond).Should(BeClosed())
		Expect(done).NotTo(Receive())
		h.Platform.Faults.Clear()
		Eventually(done).WithTimeout(longBillTimeoutMS / 2 * time.Millisecond).Should(Receive(HaveField("Complete", BeTrue())))
	})
})
