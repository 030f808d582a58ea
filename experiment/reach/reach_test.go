package reach

import (
	"testing"

	. "github.com/onsi/gomega"
)

// A VM that is cut off from all its upstreams notices it in time, and a VM whose upstreams end
// hardly ever takes that for a lost way.
func TestLostWayIsNoticedInTimeAndSeldomWrongly(t *testing.T) {
	for _, s := range Scenarios {
		if s.PerSecond < 5 || s.trouble == refusesNew || s.trouble == pauses {
			continue
		}
		t.Run(s.Name, func(t *testing.T) {
			g := NewWithT(t)
			row := measure(s, Weighed, 5)
			if s.trouble.isCut() {
				g.Expect(row.Missed).To(Equal(0))
				return
			}
			g.Expect(row.WrongMS).To(BeNumerically("<", 500))
		})
	}
}
