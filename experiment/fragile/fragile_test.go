package fragile

import (
	"testing"

	. "github.com/onsi/gomega"
)

// The smaller scenarios, with one seed: without a rule upstreams fall, with divided places
// none does beyond what is allowed, and more requests are served.
func TestDividedPlacesPreventFalls(t *testing.T) {
	for _, s := range Scenarios {
		if s.VMs > 6 || s.Burst < 2 {
			continue
		}
		t.Run(s.Name, func(t *testing.T) {
			g := NewWithT(t)
			none, divided := measure(s, Unbounded, 1), measure(s, Divided, 1)
			g.Expect(none.MaxEnds).To(BeNumerically(">", none.Allowed))
			g.Expect(divided.MaxEnds).To(BeNumerically("<=", divided.Allowed))
			g.Expect(divided.Served).To(BeNumerically(">", none.Served))
		})
	}
}
