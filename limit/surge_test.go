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

// Guards against a limit that stays low, or queues that stay full, after a burst.
func TestServiceRecoversAfterSurge(t *testing.T) {
	for _, vms := range vmCounts {
		t.Run(fmt.Sprint(vms), func(t *testing.T) {
			g := NewWithT(t)
			m := newSurgeModel(vms, true, 1)
			calm := m.run(10 * time.Second).valueOf()
			m.surge()
			m.run(15 * time.Second)
			m.setDown(false)
			m.hog = 1
			m.run(5 * time.Second)
			after := m.run(5 * time.Second).valueOf()
			t.Logf("value in calm %.3f, 5 s after %.3f", calm, after)
			g.Expect(after).To(BeNumerically(">", 0.9*calm))
		})
	}
}
