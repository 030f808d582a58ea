package hints

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/internal/members"
	"github.com/poplarshore/poplarshore/upstream"
	"github.com/poplarshore/poplarshore/vm"
)

// newVMs returns n VMs, distributed over the domains d0, d1 and d2.
func newVMs(n int) map[vm.ID]members.Member {
	vms := make(map[vm.ID]members.Member)
	for i := range n {
		id := vm.ID(fmt.Sprintf("vm-%d", i))
		vms[id] = members.Member{ID: id, Domain: domain.ID(fmt.Sprintf("d%d", i%3))}
	}
	return vms
}

func regionOf(id domain.ID) domain.Region { return "r" + domain.Region(id[1:]) }

func TestSmallFleetGetsAllHints(t *testing.T) {
	g := NewWithT(t)
	g.Expect(selectRecipients(newVMs(maxBroadcastVMs), regionOf, Hint{Upstream: "e", Region: "r1"})).To(HaveLen(maxBroadcastVMs))
}

// TestHintsOfLargeFleetStayBounded checks for fleets of 60 to 2000 VMs that a hint reaches
// a bounded number of VMs, all in the upstream's region and the same for the same
// upstream, and that no VM gets the hints about far more upstreams than the others.
func TestHintsOfLargeFleetStayBounded(t *testing.T) {
	g := NewWithT(t)
	for _, n := range []int{60, 295, 2000} {
		vms := newVMs(n)
		received := make(map[vm.ID]int)
		const upstreams = 500
		for i := range upstreams {
			h := Hint{Upstream: upstream.ID(fmt.Sprintf("e-%d", i)), Region: "r1"}
			recipients := selectRecipients(vms, regionOf, h)
			g.Expect(len(recipients)).To(BeNumerically("<=", maxRecipients))
			g.Expect(selectRecipients(vms, regionOf, h)).To(ConsistOf(recipients))
			for _, m := range recipients {
				g.Expect(regionOf(m.Domain)).To(BeEquivalentTo("r1"))
				received[m.ID]++
			}
		}
		mean := upstreams * min(maxRecipients, n/3) / (n / 3)
		for id, hints := range received {
			g.Expect(hints).To(BeNumerically("<", 2*mean+10), "%s of %d VMs", id, n)
		}
	}
}

// TestLossOfRegionLeavesHintsOfTheRestWorking removes the VMs of a lost region from the list of a
// large fleet, as the list does with a lag, and adds them again. It guards against hints about the
// upstreams of other regions that reach other VMs, or fewer ones, meanwhile.
func TestLossOfRegionLeavesHintsOfTheRestWorking(t *testing.T) {
	g := NewWithT(t)
	const fleet = 300
	all, left := newVMs(fleet), newVMs(fleet)
	for id, m := range left {
		if m.Domain == "d0" {
			delete(left, id)
		}
	}
	for i := range 50 {
		h := Hint{Upstream: upstream.ID(fmt.Sprintf("e-%d", i)), Region: "r1"}
		before := selectRecipients(all, regionOf, h)
		g.Expect(before).To(HaveLen(maxRecipients))
		g.Expect(selectRecipients(left, regionOf, h)).To(ConsistOf(before))
		gone := Hint{Upstream: h.Upstream, Region: "r0"}
		g.Expect(selectRecipients(left, regionOf, gone)).To(BeEmpty())
		g.Expect(selectRecipients(all, regionOf, gone)).To(HaveLen(maxRecipients))
	}
}
