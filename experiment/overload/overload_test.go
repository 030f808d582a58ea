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

	It("answers 99% of high-priority requests in time at 1.5 times the capacity, reproducibly", func() {
		opts := overload.Sustained()
		opts.Duration = time.Minute
		r := overload.Run(opts, all, 1)
		Expect(float64(r.High.InTime)).To(BeNumerically(">=", 0.99*float64(r.High.Offered)))
		Expect(r).To(Equal(overload.Run(opts, all, 1)))
	})

	It("answers 99% of the other accounts' requests in time while one account causes the overload", func() {
		opts := overload.Greedy()
		opts.Duration = time.Minute
		Expect(overload.Run(opts, all, 1).OtherAccountsInTime).To(BeNumerically(">=", 0.99))
	})

	It("recovers within 10 s from a disturbance after which unprotected engines never recover", func() {
		opts := overload.Disturbed()
		opts.Duration = 3 * time.Minute
		Expect(overload.Run(opts, all, 1).RecoverySeconds).To(BeNumerically("~", 5, 5))
		Expect(overload.Run(opts, none, 1).RecoverySeconds).To(BeNumerically("<", 0))
	})
})
