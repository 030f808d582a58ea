package deadline

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Most good versions must complete, and of versions that are clearly bad none.
func TestProofCompletesGoodVersionsOnly(t *testing.T) {
	g := NewWithT(t)
	const runs = 30
	rule := Rules()[1]
	for _, service := range Services {
		g.Expect(count(rule, service, Good, runs).Completed).To(BeNumerically(">", runs/2), service.Name)
		for _, fault := range Faults {
			if fault.ErrorRate+fault.SlowRate >= 0.3 && !fault.AtFullShare {
				g.Expect(count(rule, service, fault, runs).Completed).To(BeNumerically("<=", runs/10), service.Name+": "+fault.Name)
			}
		}
	}
}

func TestBaselineCompletesSlowVersions(t *testing.T) {
	g := NewWithT(t)
	slow := Fault{Name: "half slow", SlowRate: 0.5, Slowdown: 5}
	g.Expect(count(Rules()[0], Services[0], slow, 30).Completed).To(BeNumerically(">", 5))
}

// Whatever the fault, a version stays within the bound on its requests.
func TestExposureStaysWithinBound(t *testing.T) {
	g := NewWithT(t)
	for _, service := range Services {
		for _, fault := range Faults {
			g.Expect(count(Rules()[1], service, fault, 10).MaxExposed).To(BeNumerically("<=", 1), service.Name+": "+fault.Name)
		}
	}
}

func TestSameSeedGivesSameOutcome(t *testing.T) {
	g := NewWithT(t)
	rule := Rules()[1]
	g.Expect(simulate(rule, Services[0], Good, 7)).To(Equal(simulate(rule, Services[0], Good, 7)))
}
