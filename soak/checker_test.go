package soak

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestConfigurationsThatCanBeInForceAreBoundedWithoutAllowance guards against checks that allow a VM more than the bound
// and the stalls of the host.
func TestConfigurationsThatCanBeInForceAreBoundedWithoutAllowance(t *testing.T) {
	sentAt := time.Now()
	bounds := DefaultBounds()
	versions := func(stall time.Duration) []int64 {
		bed := &testbed{configurations: []configuration{
			{version: 1, offeredAt: sentAt.Add(-time.Minute), acceptedAt: sentAt.Add(-time.Minute)},
			{version: 2, offeredAt: sentAt.Add(-bounds.Config), acceptedAt: sentAt.Add(-bounds.Config - 10*time.Millisecond)},
			{version: 3, offeredAt: sentAt.Add(-time.Second), acceptedAt: sentAt.Add(-time.Second)},
			{version: 4, offeredAt: sentAt.Add(time.Minute), acceptedAt: sentAt.Add(time.Minute)},
		}}
		bed.hostStalls.entries = []interval{{from: sentAt.Add(-time.Second), until: sentAt.Add(-time.Second + stall)}}
		c := &checker{testbed: bed, bounds: bounds}
		var got []int64
		for _, cfg := range c.possibleConfigurations(exchange{sentAt: sentAt, doneAt: sentAt.Add(time.Second)}) {
			got = append(got, cfg.version)
		}
		return got
	}
	g := NewWithT(t)
	g.Expect(versions(0)).To(Equal([]int64{2, 3}))
	g.Expect(versions(50*time.Millisecond)).To(Equal([]int64{1, 2, 3}), "the host stood still for some of the time")
}

// TestFaultOfUpstreamDoesNotExcuseFromFollowingTheStore guards against checks that a fault of an upstream turns off.
func TestFaultOfUpstreamDoesNotExcuseFromFollowingTheStore(t *testing.T) {
	g := NewWithT(t)
	x := exchange{vm: &VM{}, sentAt: time.Now(), doneAt: time.Now()}
	bed := &testbed{}
	c := &checker{testbed: bed, bounds: DefaultBounds()}
	during := []interval{{from: x.sentAt.Add(-time.Second), until: x.sentAt}}
	bed.upstreamDisturbances.entries = during
	g.Expect(c.inTouch(x)).To(BeTrue())
	g.Expect(c.undisturbed(x)).To(BeFalse())
	bed.storeDisturbances.entries = during
	g.Expect(c.inTouch(x)).To(BeFalse())
}
