package load_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/internal/bubble"
	"github.com/poplarshore/poplarshore/measure/load"
)

func TestLoad(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "open-loop load")
}

// TestRunCountsRequestsAndMeasuresLatency checks the counts and the latencies of runs with synthetic time.
func TestRunCountsRequestsAndMeasuresLatency(t *testing.T) {
	for name, tc := range map[string]struct {
		options       load.Options
		responseTime  time.Duration
		sent, dropped int
		p50           time.Duration
	}{
		"ends after Count requests":        {load.Options{Rate: 100, Count: 50, MaxInFlight: 50, Seed: 1}, time.Second, 50, 0, time.Second},
		"drops requests above MaxInFlight": {load.Options{Rate: 1e6, Count: 50, MaxInFlight: 2, Seed: 1}, time.Second, 2, 48, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			bubble.Test(t, func(*testing.T) {
				report := load.Run(context.Background(), tc.options, func(context.Context, int) load.Outcome {
					<-time.After(tc.responseTime)
					return load.Complete
				})
				g.Expect(report.Sent).To(Equal(tc.sent))
				g.Expect(report.Dropped).To(Equal(tc.dropped))
				g.Expect(report.Outcomes).To(Equal(map[load.Outcome]int{load.Complete: tc.sent}))
				g.Expect(report.Latency.P50).To(BeNumerically("~", float64(tc.p50.Microseconds()), 2000))
			})
		})
	}
}

var _ = Describe("Run", func() {
	It("ends when its context is canceled", func() {
		ctx, cancel := context.WithCancel(context.Background())
		report := load.Run(ctx, load.Options{Rate: 1e6, MaxInFlight: 1}, func(context.Context, int) load.Outcome {
			cancel()
			return load.Complete
		})
		Expect(report.Sent).To(BeNumerically(">=", 1))
	})
})
