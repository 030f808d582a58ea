package shares_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/experiment/shares"
)

func TestShares(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "shares")
}

var _ = Describe("Run", func() {
	It("admits at most the limit and one burst during a partition, reproducibly", func() {
		for _, s := range shares.Scenarios() {
			if s.PartitionDuration == 0 {
				continue
			}
			s.Duration = 150 * time.Second
			r := shares.Run(s, shares.PolicyLimiter, 1)
			Expect(r.WorstWindow).To(BeNumerically("<=", 1.5))
			Expect(r.Admitted).To(And(BeNumerically("<=", 1.04), BeNumerically(">", 0.7)))
			Expect(r).To(Equal(shares.Run(s, shares.PolicyLimiter, 1)))
		}
	})
})
