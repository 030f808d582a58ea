package overload_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/experiment/overload"
)

func TestOverload(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "overload")
}

var _ = Describe("Run", func() {
	policies := overload.Policies()
	all, none := policies[0], policies[len(policies)-1]

	It("meets the deadlines of high priority at 1.5 times the capacity", func() {
		opts := overload.Sustained()
		opts.Duration = time.Minute
		r := overload.Run(opts, all, 1)
		Expect(float64(r.High.InTime)).To(BeNumerically(">=", 0.99*float64(r.High.Offered)))
		Expect(r).To(Equal(overload.Run(opts, all, 1)))
	})

	It("serves small accounts while one is greedy", func() {
		opts := overload.Greedy()
		opts.Duration = time.Minute
		Expect(overload.Run(opts, all, 1).OthersInTime).To(BeNumerically(">=", 0.99))
	})

	It("recovers from a disturbance that is not survived without protection", func() {
		opts := overload.Disturbed()
		opts.Duration = 3 * time.Minute
		Expect(overload.Run(opts, all, 1).Recovery).To(BeNumerically("~", 5, 5))
		Expect(overload.Run(opts, none, 1).Recovery).To(BeNumerically("<", 0))
	})
})
