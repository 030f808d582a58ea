package load_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/measure/load"
)

func TestLoad(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "open-loop load")
}

// TestOpenLoop runs in a bubble of fake time.
func TestOpenLoop(t *testing.T) {
	for name, c := range map[string]struct {
		options       load.Options
		answer        time.Duration
		sent, dropped int
		p50           time.Duration
	}{
		"bounded by count":    {load.Options{Rate: 100, Count: 50, MaxInFlight: 50, Seed: 1}, time.Second, 50, 0, time.Second},
		"drops above a bound": {load.Options{Rate: 1e6, Count: 50, MaxInFlight: 2, Seed: 1}, time.Second, 2, 48, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			synctest.Test(t, func(*testing.T) {
				report := load.Run(context.Background(), c.options, func(context.Context, int) load.Outcome {
					<-time.After(c.answer)
					return load.Whole
				})
				g.Expect(report.Sent).To(Equal(c.sent))
				g.Expect(report.Dropped).To(Equal(c.dropped))
				g.Expect(report.Outcomes).To(Equal(map[load.Outcome]int{load.Whole: c.sent}))
				g.Expect(report.Latency.P50).To(BeNumerically("~", float64(c.p50.Microseconds()), 2000))
			})
		})
	}
}

var _ = Describe("Run", func() {
	It("stops with its context", func() {
		ctx, cancel := context.WithCancel(context.Background())
		report := load.Run(ctx, load.Options{Rate: 1e6, MaxInFlight: 1}, func(context.Context, int) load.Outcome {
			cancel()
			return load.Whole
		})
		Expect(report.Sent).To(BeNumerically(">=", 1))
	})
})
