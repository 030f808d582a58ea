package slopes_test

import (
	"context"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/measure/figure"
	"github.com/poplarshore/poplarshore/measure/slopes"
)

func TestSlopes(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "slopes")
}

var _ = Describe("Probes", func() {
	for _, probe := range slopes.Probes() {
		It("records each series of "+probe.Name+" at both sizes", func() {
			probe.Sizes = []int{3, 6}
			var set figure.Set
			Expect(slopes.Run(context.Background(), []slopes.Probe{probe}, 1, &set)).To(Succeed())
			Expect(set.Series).NotTo(BeEmpty())
			for _, s := range set.Series {
				Expect(s.Points).To(HaveLen(2), s.Name)
			}
		})
	}
})
