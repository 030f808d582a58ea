package limit_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// vmCounts are the numbers of VMs that the load is replayed with.
var vmCounts = []int{1, 6, 75, 300}

// servedOf returns the part of the requests that was served, and the part of their value.
func (t modelTally) servedOf() float64 { return float64(t.served) / float64(t.offered) }
func (t modelTally) valueOf() float64  { return t.value / t.offeredValue }

func ofRank(rank int) func(tallyKey) bool { return func(k tallyKey) bool { return k.rank == rank } }

// surge lets a third of the engines fail and one account send eight times as much.
func (m *surgeModel) surge() {
	m.setDown(true)
	m.hog = 8
}

// Guards against upstreams that reject most of what they are sent, ranks served in the wrong
// order, and goodput below that of today's tries at five upstreams.
func TestSurgeIsRefusedByVMsInOrderOfRank(t *testing.T) {
	for _, vms := range vmCounts {
		t.Run(fmt.Sprint(vms), func(t *testing.T) {
			g := NewWithT(t)
			values := map[bool]float64{}
			for _, admit := range []bool{false, true} {
				m := newSurgeModel(vms, admit, 1)
				m.run(10 * time.Second)
				m.surge()
				m.run(5 * time.Second)
				values[admit] = m.run(15 * time.Second).valueOf()
				if !admit {
					continue
				}
				g.Expect(float64(m.rejected)).To(BeNumerically("<", 0.1*float64(m.arrivals)))
				for rank := range 2 {
					g.Expect(m.sum(ofRank(rank)).servedOf()).To(BeNumerically(">", m.sum(ofRank(rank+1)).servedOf()-0.05))
				}
				large := m.sum(func(k tallyKey) bool { return k.rank == 1 && k.large })
				g.Expect(large.servedOf()).To(BeNumerically(">", 0.5*m.sum(ofRank(1)).servedOf()))
			}
			t.Logf("value today %.3f, with admission %.3f", values[false], values[true])
			g.Expect(values[true]).To(BeNumerically(">", 0.98*values[false]))
		})
	}
}

// valuesAroundSurge returns the value in calm, and from 5 to 10 s after a surge.
func valuesAroundSurge(vms int) (calm, after float64) {
	m := newSurgeModel(vms, true, 1)
	calm = m.run(10 * time.Second).valueOf()
	m.surge()
	m.run(15 * time.Second)
	m.setDown(false)
	m.hog = 1
	m.run(5 * time.Second)
	return calm, m.run(5 * time.Second).valueOf()
}

func expectRecovery(t *testing.T, vms int) {
	calm, after := valuesAroundSurge(vms)
	t.Logf("%d VMs: value in calm %.3f, 5 s after %.3f", vms, calm, after)
	NewWithT(t).Expect(after).To(BeNumerically(">", 0.9*calm))
}

// Guards against a limit that stays low, or queues that stay full, after a burst.
func TestServiceRecoversAfterSurge(t *testing.T) {
	for _, vms := range []int{1, 6, 75} {
		expectRecovery(t, vms)
	}
}

// Guards against the same where a VM has some three places only.
func TestServiceRecoversOf300VMsAfterSurge(t *testing.T) { expectRecovery(t, 300) }

// Guards against VMs that see the same reports and leave engines idle together, or flood them.
func TestVMsDoNotOscillateUnderOverload(t *testing.T) {
	for _, vms := range vmCounts {
		t.Run(fmt.Sprint(vms), func(t *testing.T) {
			g := NewWithT(t)
			m := newSurgeModel(vms, true, 1)
			m.surge()
			m.run(10 * time.Second)
			least := 1.0
			for range 60 {
				m.run(250 * time.Millisecond)
				least = min(least, m.busy())
			}
			t.Logf("least part of busy slots %.3f", least)
			g.Expect(least).To(BeNumerically(">", 0.75))
		})
	}
}

// goodputAt returns the value of the requests served within 15 s at a multiple of the room.
func goodputAt(vms int, load float64) float64 {
	m := newSurgeModel(vms, true, 1)
	// 743 requests in flight are offered at load 1, and there is room for 1,440.
	m.load = load * 1440 / 743
	m.run(10 * time.Second)
	return m.run(15 * time.Second).value
}

func expectGoodputKept(t *testing.T, vms int) {
	at12, at30 := goodputAt(vms, 1.2), goodputAt(vms, 3)
	t.Logf("%d VMs: goodput at 1.2 times the room %.0f, at 3 times %.0f", vms, at12, at30)
	NewWithT(t).Expect(at30).To(BeNumerically(">", 0.95*at12))
}

// Guards against goodput that falls the more is offered beyond the room.
func TestGoodputDoesNotFallWithLoad(t *testing.T) {
	for _, vms := range []int{1, 6, 75} {
		t.Run(fmt.Sprint(vms), func(t *testing.T) { expectGoodputKept(t, vms) })
	}
}

// Guards against the same where a VM has some three places only.
func TestGoodputOf300VMsDoesNotFallWithLoad(t *testing.T) { expectGoodputKept(t, 300) }

// Guards against an account that takes what others need.
func TestWellBehavedAccountKeepsItsValue(t *testing.T) {
	for _, vms := range vmCounts {
		t.Run(fmt.Sprint(vms), func(t *testing.T) {
			g := NewWithT(t)
			m := newSurgeModel(vms, true, 1)
			m.run(10 * time.Second)
			m.hog = 8
			m.run(5 * time.Second)
			m.run(15 * time.Second)
			well := m.sum(func(k tallyKey) bool { return k.account != "a0" })
			hog := m.sum(func(k tallyKey) bool { return k.account == "a0" })
			t.Logf("value of others %.3f, of the account %.3f", well.valueOf(), hog.valueOf())
			g.Expect(well.valueOf()).To(BeNumerically(">", 0.95))
			g.Expect(hog.valueOf()).To(BeNumerically("<", well.valueOf()))
		})
	}
}
