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

	It("returns the same result for the same seed", func() {
		Expect(latency.Run(opts, 3, policy)).To(Equal(latency.Run(opts, 3, policy)))
	})

	compare := func(opts latency.Options) (measured, roundRobin, leastRequests latency.Result) {
		filters := route.DefaultFilters()
		measured = latency.Run(opts, 1, policy)
		roundRobin = latency.Run(opts, 1, func() route.Selector { return &route.RoundRobin{Filters: filters} })
		leastRequests = latency.Run(opts, 1, func() route.Selector { return route.LeastRequests{Filters: filters} })
		Expect(measured.Refused).To(BeZero())
		return measured, roundRobin, leastRequests
	}

	It("has less than half the p99 of round robin and a lower p99 than least requests on skewed engines", func() {
		measured, roundRobin, leastRequests := compare(opts)
		Expect(2 * measured.P99).To(BeNumerically("<", roundRobin.P99))
		Expect(measured.P99).To(BeNumerically("<", leastRequests.P99))
	})

	It("has a lower p99 than round robin and least requests on even engines", func() {
		even := opts
		even.Skewed = false
		measured, roundRobin, leastRequests := compare(even)
		Expect(measured.P99).To(BeNumerically("<", roundRobin.P99))
		Expect(measured.P99).To(BeNumerically("<", leastRequests.P99))
	})
})
