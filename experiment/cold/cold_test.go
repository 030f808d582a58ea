package cold

import (
	"testing"

	. "github.com/onsi/gomega"
)

// TestTurnsKeepTheBound guards against a division of the rate that exceeds the bound, and against
// scenarios in which nothing exceeds it.
func TestTurnsKeepTheBound(t *testing.T) {
	for _, s := range Scenarios {
		if s.VMs > 82 || s.Lagging > 0 {
			continue
		}
		t.Run(s.Name, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(measure(s, Turns, 1).Beyond).To(BeZero())
			if s.Load > 10 {
				g.Expect(measure(s, Buckets, 1).Beyond).To(BeNumerically(">", 0))
			}
		})
	}
}
