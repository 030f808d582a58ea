package reach

import (
	"testing"

	. "github.com/onsi/gomega"
)

// A VM that is cut off from all its upstreams notices it in time, a VM whose upstreams end
// hardly ever takes that for a lost way, and one whose upstreams are silent for a moment never does.
func TestLostWayIsNoticedInTimeAndSeldomWrongly(t *testing.T) {
	for _, s := range Scenarios {
		if s.PerSecond < 5 || s.trouble == refusesNew {
			continue
		}
		t.Run(s.Name, func(t *testing.T) {
			g := NewWithT(t)
			row := measure(s, Weighed, 5)
			if s.trouble.isCut() {
				g.Expect(row.Missed).To(Equal(0))
				return
			}
			if s.trouble == pauses {
				g.Expect(row.WrongMS).To(BeZero())
				return
			}
			g.Expect(row.WrongMS).To(BeNumerically("<", 500))
		})
	}
}
