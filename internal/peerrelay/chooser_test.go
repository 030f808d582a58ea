package peerrelay_test

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/internal/members"
	"github.com/poplarshore/poplarshore/internal/peerrelay"
	"github.com/poplarshore/poplarshore/vm"
)

const service = "models"

// fleet returns n other VMs, in the domains d0, d1 and d2 in turn.
func fleet(n int) map[vm.ID]members.Member {
	others := make(map[vm.ID]members.Member)
	for i := range n {
		id := vm.ID(fmt.Sprintf("vm-%d", i))
		others[id] = members.Member{
			ID: id, Domain: domain.ID(fmt.Sprintf("d%d", i%3)), KeepsRegions: true, Relay: netip.MustParseAddrPort(fmt.Sprintf("10.0.%d.%d:1", i/200, i%200)),
		}
	}
	return others
}

// newChooser returns a chooser of a VM in d0, which shares its region with d1.
func newChooser(others map[vm.ID]members.Member) (*peerrelay.Chooser, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	return peerrelay.NewChooser(peerrelay.Options{
		Domain: "d0", Region: "r0", Members: func() map[vm.ID]members.Member { return others }, Clock: clock,
		RegionOf: func(d domain.ID) domain.Region {
			if d == "d2" {
				return "r2"
			}
			return "r0"
		},
	}), clock
}

func TestNearestVMIsAskedFirst(t *testing.T) {
	g := NewWithT(t)
	c, _ := newChooser(fleet(3))
	var order, tried []vm.ID
	for range 3 {
		p, ok := c.Choose(service, domain.RegionSet{}, tried)
		g.Expect(ok).To(BeTrue())
		p.End(peerrelay.Inconclusive)
		tried = append(tried, p.ID)
		order = append(order, p.ID)
	}
	g.Expect(order).To(Equal([]vm.ID{"vm-0", "vm-1", "vm-2"}))
	_, ok := c.Choose(service, domain.RegionSet{}, tried)
	g.Expect(ok).To(BeFalse())
}

func TestRequestsAreSpreadOverVMs(t *testing.T) {
	g := NewWithT(t)
	c, _ := newChooser(fleet(6))
	asked := make(map[vm.ID]int)
	for range 90 {
		p, ok := c.Choose(service, domain.RegionSet{}, nil)
		g.Expect(ok).To(BeTrue())
		asked[p.ID]++
	}
	g.Expect(asked).To(HaveLen(6))
}

func TestVMThatRefusedAServiceIsLeftAloneForIt(t *testing.T) {
	g := NewWithT(t)
	c, clock := newChooser(fleet(1))
	p, _ := c.Choose(service, domain.RegionSet{}, nil)
	p.End(peerrelay.RefusedService)
	_, ok := c.Choose(service, domain.RegionSet{}, nil)
	g.Expect(ok).To(BeFalse())
	_, ok = c.Choose("other", domain.RegionSet{}, nil)
	g.Expect(ok).To(BeTrue())
	clock.Advance(time.Second)
	_, ok = c.Choose(service, domain.RegionSet{}, nil)
	g.Expect(ok).To(BeTrue())
}

func TestVMThatCannotBeReachedIsLeftAlone(t *testing.T) {
	g := NewWithT(t)
	c, _ := newChooser(fleet(1))
	p, _ := c.Choose(service, domain.RegionSet{}, nil)
	p.End(peerrelay.Unavailable)
	_, ok := c.Choose("other", domain.RegionSet{}, nil)
	g.Expect(ok).To(BeFalse())
}

func TestProvenVMIsPreferred(t *testing.T) {
	g := NewWithT(t)
	c, _ := newChooser(fleet(300))
	p, _ := c.Choose(service, domain.RegionSet{}, nil)
	p.End(peerrelay.Relayed)
	for range 5 {
		again, _ := c.Choose(service, domain.RegionSet{}, nil)
		again.End(peerrelay.Relayed)
		g.Expect(again.ID).To(Equal(p.ID))
	}
}

func TestVMThatRelaysNothingIsNotAsked(t *testing.T) {
	g := NewWithT(t)
	others := fleet(1)
	m := others["vm-0"]
	m.Relay = netip.AddrPort{}
	others["vm-0"] = m
	c, _ := newChooser(others)
	_, ok := c.Choose(service, domain.RegionSet{}, nil)
	g.Expect(ok).To(BeFalse())
	g.Expect(peerrelay.IsMember(others, netip.MustParseAddr("10.0.0.0"))).To(BeFalse())
	g.Expect(peerrelay.IsMember(fleet(1), netip.MustParseAddr("10.0.0.0"))).To(BeTrue())
}

// All VMs of this VM's failure domain are cut off, and there are many of them.
func TestVMsOfOtherDomainsAreAskedSoonIfAWholeDomainIsCutOff(t *testing.T) {
	g := NewWithT(t)
	c, _ := newChooser(fleet(300))
	var tried []vm.ID
	for range 2 {
		p, ok := c.Choose(service, domain.RegionSet{}, tried)
		g.Expect(ok).To(BeTrue())
		if id, err := strconv.Atoi(strings.TrimPrefix(string(p.ID), "vm-")); err == nil && id%3 != 0 {
			p.End(peerrelay.Relayed)
			return
		}
		p.End(peerrelay.RefusedService)
		tried = append(tried, p.ID)
	}
	t.Fatal("only VMs of the own domain were asked")
}

// TestVMOutsideTheRegionsIsNotAsked guards against a body that leaves its home regions by a relay;
// a VM whose region is unknown is in none of them.
func TestVMOutsideTheRegionsIsNotAsked(t *testing.T) {
	g := NewWithT(t)
	c, _ := newChooser(fleet(30))
	var tried []vm.ID
	for {
		p, ok := c.Choose(service, domain.NewRegionSet("r2"), tried)
		if !ok {
			break
		}
		g.Expect(p.ID).To(WithTransform(func(id vm.ID) int {
			n, err := strconv.Atoi(strings.TrimPrefix(string(id), "vm-"))
			g.Expect(err).NotTo(HaveOccurred())
			return n % 3
		}, Equal(2)))
		tried = append(tried, p.ID)
	}
	g.Expect(tried).To(HaveLen(10))
	_, ok := c.Choose(service, domain.NewRegionSet("r9"), nil)
	g.Expect(ok).To(BeFalse())
}

// TestVMOfOlderBuildRelaysNoRestrictedRequest guards against a request that leaves its regions through
// a VM that doesn't know of them.
func TestVMOfOlderBuildRelaysNoRestrictedRequest(t *testing.T) {
	g := NewWithT(t)
	others := fleet(3)
	for id, m := range others {
		m.KeepsRegions = false
		others[id] = m
	}
	c, _ := newChooser(others)
	_, ok := c.Choose(service, domain.NewRegionSet("r0", "r2"), nil)
	g.Expect(ok).To(BeFalse())
	_, ok = c.Choose(service, domain.RegionSet{}, nil)
	g.Expect(ok).To(BeTrue())
}

// TestRelayingVMIsAlwaysInTheRegions checks over drawn fleets, regions and results of earlier
// requests that no VM outside the regions is asked, and that one inside is as long as none was
// left alone.
func TestRelayingVMIsAlwaysInTheRegions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		others := fleet(rapid.IntRange(0, 100).Draw(t, "vms"))
		c, clock := newChooser(others)
		lastFailed := false
		for range rapid.IntRange(1, 12).Draw(t, "requests") {
			names := rapid.SliceOfDistinct(rapid.SampledFrom([]domain.Region{"r0", "r2", "r9"}), rapid.ID).Draw(t, "regions")
			regions := domain.NewRegionSet(names...)
			p, ok := c.Choose(service, regions, nil)
			if !ok {
				inside := slices.Contains(names, "r0") || len(names) == 0
				g.Expect(inside && len(others) > 0 && !lastFailed).To(BeFalse())
				continue
			}
			region := domain.Region("r0")
			if others[p.ID].Domain == "d2" {
				region = "r2"
			}
			g.Expect(regions.Contains(region)).To(BeTrue(), "%s for %v", p.ID, regions)
			result := rapid.SampledFrom([]peerrelay.Result{peerrelay.Relayed, peerrelay.RefusedService, peerrelay.Unavailable}).Draw(t, "result")
			lastFailed = lastFailed || result != peerrelay.Relayed
			p.End(result)
			clock.Advance(50 * time.Millisecond)
		}
	})
}

// TestLossOfRegionLeavesRelayWorking guards against a relay that goes on asking the VMs of a lost
// region, which is the nearest one, and against one that never asks them again.
func TestLossOfRegionLeavesRelayWorking(t *testing.T) {
	g := NewWithT(t)
	c, clock := newChooser(fleet(60))
	inLostRegion := func(p *peerrelay.Peer) bool {
		id, err := strconv.Atoi(strings.TrimPrefix(string(p.ID), "vm-"))
		g.Expect(err).NotTo(HaveOccurred())
		return id%3 != 2
	}
	asked := 0
	for {
		p, ok := c.Choose(service, domain.RegionSet{}, nil)
		g.Expect(ok).To(BeTrue())
		if !inLostRegion(p) {
			p.End(peerrelay.Relayed)
			break
		}
		p.End(peerrelay.Unavailable)
		asked++
	}
	g.Expect(asked).To(BeNumerically("<=", 40))
	for range 40 {
		p, ok := c.Choose(service, domain.NewRegionSet("r2"), nil)
		g.Expect(ok).To(BeTrue())
		g.Expect(inLostRegion(p)).To(BeFalse())
		p.End(peerrelay.Relayed)
	}
	clock.Advance(10 * time.Second)
	p, ok := c.Choose(service, domain.RegionSet{}, nil)
	g.Expect(ok).To(BeTrue())
	g.Expect(inLostRegion(p)).To(BeTrue(), "the nearest VMs are asked again")
	p.End(peerrelay.Relayed)
}
