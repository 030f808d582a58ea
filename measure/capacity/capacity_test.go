package capacity_test

import (
	"os"
	"testing"

	"github.com/joomcode/errorx"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/measure/capacity"
	"github.com/poplarshore/poplarshore/measure/figure"
)

func TestCapacity(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "capacity")
}

const (
	pageFile = "../../docs/CAPACITY.md"
	figures  = "../../docs/figures"
)

var _ = Describe("The capacity page", func() {
	It("matches the tables calculated from the saved figures", func() {
		page, err := os.ReadFile(pageFile)
		Expect(err).NotTo(HaveOccurred())
		recomputed, err := capacity.Recompute(string(page), figures)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(page)).To(Equal(recomputed), "run: go run ./cmd/poplarshore-measure capacity")
	})

	It("changes when a figure changes", func() {
		page, err := os.ReadFile(pageFile)
		Expect(err).NotTo(HaveOccurred())
		slopes, err := figure.Load(figures, "slopes")
		Expect(err).NotTo(HaveOccurred())
		entry, err := figure.Load(figures, "entry")
		Expect(err).NotTo(HaveOccurred())
		slopes.GetOrAdd("load.pull_cpu", "", "").Points[0].Values[0] *= 10
		tables, err := capacity.Tables(capacity.FullSize(), capacity.FullLimits(), slopes, entry)
		Expect(err).NotTo(HaveOccurred())
		Expect(capacity.Replace(string(page), tables)).NotTo(Equal(string(page)))
	})

	It("returns an error for a page without markers and for figures without a series", func() {
		_, err := capacity.Recompute("no marks", figures)
		Expect(errorx.IsOfType(err, capacity.ErrPage)).To(BeTrue())
		_, err = capacity.Tables(capacity.FullSize(), capacity.FullLimits(), &figure.Set{}, &figure.Set{})
		Expect(errorx.IsOfType(err, figure.ErrMissing)).To(BeTrue())
	})
})
