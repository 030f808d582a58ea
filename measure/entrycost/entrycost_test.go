package entrycost_test

import (
	"context"
	"net"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/measure/entrycost"
	"github.com/poplarshore/poplarshore/measure/load"
	"github.com/poplarshore/poplarshore/standin/engine"
	"github.com/poplarshore/poplarshore/standin/fault"
	"github.com/poplarshore/poplarshore/standin/oldrouter"
)

func TestEntryCost(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "entry cost")
}

func listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	return l
}

var _ = Describe("Measurements", func() {
	var (
		ctx    = context.Background()
		model  *engine.Server
		target entrycost.Target
	)
	BeforeEach(func() {
		version := engine.VersionRef{Model: "cheap", Version: "v1"}
		model = engine.Start(listen(), engine.Options{Versions: []engine.VersionRef{version}, MinTokens: 4, MaxTokens: 9})
		DeferCleanup(model.Close)
		router := oldrouter.Start(listen(), oldrouter.Options{
			Models: map[string]string{"cheap": "cheap@v1"}, Engines: []string{model.URL()},
		})
		DeferCleanup(router.Close)
		target = entrycost.Target{
			EntryURL: router.URL(), Key: "k", Model: "cheap", EngineURL: model.URL(), Version: version, MinTokens: 4, MaxTokens: 9,
		}
	})

	DescribeTable("compare both ways and check every answer", func(stream bool) {
		added := entrycost.MeasureAdded(ctx, target, entrycost.AddedOptions{
			Rate: 1e5, Count: 60, Seed: 3, Stream: stream, MaxInFlight: 60,
		})
		Expect(added.Report.Outcomes).To(Equal(map[load.Outcome]int{load.Whole: 60}))
		Expect(added.Entry.P50).To(BeNumerically(">", 0))
		Expect(added.Direct.P50).To(BeNumerically(">", 0))
	}, Entry("whole", false), Entry("streamed", true))

	It("notices a wrong answer", func() {
		Expect(model.Faults.Add(fault.Rule{Kind: engine.WrongAttemptPiece, Count: 3})).To(Succeed())
		added := entrycost.MeasureAdded(ctx, target, entrycost.AddedOptions{Rate: 1e5, Count: 20, MaxInFlight: 20})
		Expect(added.Report.Outcomes["wrong"]).To(Equal(3))
	})

	It("counts tokens of whole answers", func() {
		result := entrycost.MeasureThroughput(ctx, target.EntryURL, "k", "cheap", 2, time.Millisecond)
		Expect(result.Failed).To(BeZero())
		Expect(result.Tokens).To(BeNumerically(">=", 4*result.Answers))
	})

	It("holds open streams while it reads the memory", func() {
		Expect(model.Faults.Add(fault.Rule{Kind: engine.Stall, AfterPieces: 1})).To(Succeed())
		Expect(entrycost.MeasureMemory(ctx, target, 3).Failed).To(BeZero())
	})
})
