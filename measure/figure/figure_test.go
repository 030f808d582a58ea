package figure_test

import (
	"testing"

	"github.com/joomcode/errorx"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/measure/figure"
)

func TestFigure(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "figures")
}

var _ = Describe("Figures", func() {
	It("are fitted with a line that has the range of sizes and the spread", func() {
		var s figure.Series
		for _, size := range []float64{10, 20, 30} {
			s.Add(size, 5+2*size-1)
			s.Add(size, 5+2*size+1)
		}
		line := s.Fit()
		Expect(line.Intercept).To(BeNumerically("~", 5, 1e-9))
		Expect(line.Slope).To(BeNumerically("~", 2, 1e-9))
		Expect(line.At(100)).To(BeNumerically("~", 205, 1e-6))
		Expect([]float64{line.MinSize, line.MaxSize}).To(Equal([]float64{10, 30}))
		Expect(line.Spread).To(BeNumerically("~", 1.0/65, 1e-9))
		Expect(s.Points[0].Median()).To(BeNumerically("~", 25, 1e-9))
	})

	It("are fitted with a constant for a single size", func() {
		var s figure.Series
		s.Add(1, 3)
		s.Add(1, 5)
		Expect(s.Fit().At(1000)).To(BeNumerically("~", 4, 1e-9))
	})

	It("are unchanged after saving and loading, and Drop removes one mechanism's", func() {
		dir := GinkgoT().TempDir()
		set := &figure.Set{Name: "x", Machine: figure.ThisMachine()}
		set.GetOrAdd("a.cpu", "µs", "nodes").Add(1, 2)
		set.GetOrAdd("b.cpu", "µs", "nodes").Add(1, 2)
		Expect(set.Save(dir)).To(Succeed())
		read, err := figure.Load(dir, "x")
		Expect(err).NotTo(HaveOccurred())
		Expect(read).To(Equal(set))
		read.Drop([]string{"a"})
		_, err = read.Find("a.cpu")
		Expect(errorx.IsOfType(err, figure.ErrMissing)).To(BeTrue())
		_, err = figure.Load(dir, "absent")
		Expect(errorx.IsOfType(err, figure.ErrFile)).To(BeTrue())
	})
})
