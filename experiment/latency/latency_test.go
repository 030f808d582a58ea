package latency_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/experiment/latency"
	"github.com/poplarshore/poplarshore/route"
)

func TestLatency(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "latency")
}

var _ = Describe("Run", func() {
	opts := latency.DefaultOptions()
	opts.Duration = 40 * time.Second
	policy := func() route.Selector { return route.NewPolicy(route.DefaultOptions()) }

	It("gives the same result for the same seed", func() {
		Expect(latency.Run(opts, 3, policy)).To(Equal(latency.Run(opts, 3, policy)))
	})

	compare := func(opts latency.Options) (ours, turns, least latency.Result) {
		filters := route.DefaultFilters()
		ours = latency.Run(opts, 1, policy)
		turns = latency.Run(opts, 1, func() route.Selector { return &route.RoundRobin{Filters: filters} })
		least = latency.Run(opts, 1, func() route.Selector { return route.LeastRequests{Filters: filters} })
		Expect(ours.Refused).To(BeZero())
		return ours, turns, least
	}

	It("finds the policy at least twice better than round robin and better than least requests", func() {
		ours, turns, least := compare(opts)
		Expect(2 * ours.P99).To(BeNumerically("<", turns.P99))
		Expect(ours.P99).To(BeNumerically("<", least.P99))
	})

	It("finds the policy better than both also on even engines", func() {
		even := opts
		even.Skewed = false
		ours, turns, least := compare(even)
		Expect(ours.P99).To(BeNumerically("<", turns.P99))
		Expect(ours.P99).To(BeNumerically("<", least.P99))
	})
})
