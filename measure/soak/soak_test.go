package soak_test

import (
	"context"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/measure/load"
	"github.com/poplarshore/poplarshore/measure/soak"
)

func TestSoak(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "soak")
}

var _ = Describe("A short soak run", func() {
	It("violates no guarantee under a seeded schedule of faults, restarts and changes of the version", func() {
		report, err := soak.Run(context.Background(), soak.Options{
			Seed: 1, Rate: 120, Count: 360, FaultEvery: 6, RestartEvery: 150, SwitchEvery: 100, VMs: 3, Engines: 3,
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(report.Violations).To(BeEmpty())
		Expect(report.Traffic.Outcomes[load.Complete]).To(BeNumerically(">", 0))
		Expect(report.Faults).NotTo(BeEmpty())
		Expect(report.Changes).To(BeNumerically(">", 0))
		Expect(report.Pinned).To(BeNumerically(">", 0))
		Expect(report.Billed).To(BeNumerically(">", 0))
		Expect(report.Stops + report.Kills).To(Equal(2))
	})
})
