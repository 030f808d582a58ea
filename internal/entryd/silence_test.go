package entryd_test

import (
	"context"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/standin/caller"
	"github.com/poplarshore/poplarshore/standin/engine"
	"github.com/poplarshore/poplarshore/standin/fault"
	"github.com/poplarshore/poplarshore/upstream"
)

var _ = Describe("Daemon with an engine that is silent before its answer", func() {
	// Guards against a run that is given up for another engine that isn't there, and started again.
	It("waits on if no other engine serves the model", func() {
		h := newHarness(context.Background())
		e := h.Engines["strong-1"]
		Expect(e.Faults.Add(fault.Rule{Kind: engine.Slow, DelayMs: 2 * idleTimeoutMS, Count: 1})).To(Succeed())
		a, err := h.caller.Chat(context.Background(), caller.NewRequest("strong", "one", true), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Status).To(Equal(http.StatusOK), "%s", a.Body)
		Expect(isCompleteAnswer(a, "one")).To(BeTrue())
		Expect(e.Counts().Runs).To(BeEquivalentTo(1))
	})

	// Guards against requests that wait for a mute engine although another one is idle.
	It("gives it up if another engine serves the model", func() {
		h := newHarness(context.Background())
		for _, name := range []upstream.ID{"cheap-1", "cheap-2"} {
			Expect(h.Engines[name].Faults.Add(fault.Rule{Kind: engine.Stall, Count: 1})).To(Succeed())
		}
		startedAt := time.Now()
		a, err := h.caller.Chat(context.Background(), caller.NewRequest("cheap", "one", true), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Status).To(Equal(http.StatusOK), "%s", a.Body)
		Expect(time.Since(startedAt)).To(BeNumerically("<", eventuallyTimeout))
	})
})
