package blame

import (
	"testing"

	. "github.com/onsi/gomega"
)

const testRuns = 3

// find returns the scenario with a name.
func find(t *testing.T, name string) Scenario {
	for _, s := range Scenarios {
		if s.Name == name {
			return s
		}
	}
	t.Fatalf("no scenario %q", name)
	return Scenario{}
}

func TestSharedEvidenceKeepsLateArrivalsWithinBound(t *testing.T) {
	g := NewWithT(t)
	for _, s := range Scenarios {
		if s.VMs > smallFleet {
			continue
		}
		row := measure(s, Shared, testRuns)
		g.Expect(row.Over).To(Equal(0), s.Name)
		g.Expect(row.KeptOut).To(BeNumerically("<", 0.05), s.Name)
	}
}

func TestWithoutCulpritHardlyAnySoundRequestIsKeptOut(t *testing.T) {
	g := NewWithT(t)
	for _, s := range Scenarios {
		if s.Parts+s.Requests == 0 {
			g.Expect(measure(s, Shared, testRuns).KeptOut).To(BeNumerically("<", 0.01), s.Name)
		}
	}
}

func TestBaselinesLetCulpritsArrive(t *testing.T) {
	g := NewWithT(t)
	s := find(t, "1 part")
	g.Expect(measure(s, None, 1).Late).To(BeNumerically(">", 50))
	g.Expect(measure(s, Alone, 1).Late).To(BeNumerically(">", allowedLate))
}

func TestSameSeedGivesSameResult(t *testing.T) {
	g := NewWithT(t)
	s := find(t, "1 request, 3 plain engines")
	g.Expect(measure(s, None, 1)).To(Equal(measure(s, None, 1)))
}

// TestSameSeedGivesSameResultWithSharedEvidence guards against results that differ from run to run
// because VMs keep, merge or send evidence in the random order of a map.
func TestSameSeedGivesSameResultWithSharedEvidence(t *testing.T) {
	g := NewWithT(t)
	for _, name := range []string{"3 parts and 3 requests", "1 part, 30% of messages lost, VMs replaced and cut off"} {
		s := find(t, name)
		g.Expect(measure(s, Shared, 1)).To(Equal(measure(s, Shared, 1)), name)
	}
}
