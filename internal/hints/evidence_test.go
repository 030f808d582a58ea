package hints

import (
	"maps"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/internal/members"
	"github.com/poplarshore/poplarshore/internal/quarantines"
	"github.com/poplarshore/poplarshore/vm"
)

// spreadEvidence sends a message of vm-0 to all, lets every VM that supports it pass it on,
// and returns how often each VM got it, and the most datagrams that one VM sent.
func spreadEvidence(all map[vm.ID]members.Member) (got map[vm.ID]int, fanOut int) {
	got = make(map[vm.ID]int)
	send := func(from vm.ID, m quarantines.Message) []EvidenceDelivery {
		others := maps.Clone(all)
		delete(others, from)
		router := EvidenceRouter{Region: regionOf(all[from].Domain), RegionOf: regionOf}
		deliveries := router.Route(others, m)
		fanOut = max(fanOut, len(deliveries))
		return deliveries
	}
	waiting := send("vm-0", quarantines.Message{ForAll: true, Topic: "e"})
	for len(waiting) > 0 {
		d := waiting[0]
		waiting = waiting[1:]
		got[d.To.ID]++
		m := d.Message
		switch {
		case m.Spread.Groups > 0:
			waiting = append(waiting, send(d.To.ID, m)...)
		case m.Spread.Region:
			waiting = append(waiting, send(d.To.ID, quarantines.Message{Topic: "e"})...)
		case m.ForAll:
			// An older build passes the message on to all VMs itself.
			for id, to := range all {
				if id != d.To.ID {
					waiting = append(waiting, EvidenceDelivery{To: to})
				}
			}
		}
	}
	return got, fanOut
}

// TestEvidenceReachesAllVMsWithBoundedFanOut guards against VMs that send the evidence on an
// upstream to all others, which grows with the fleet.
func TestEvidenceReachesAllVMsWithBoundedFanOut(t *testing.T) {
	g := NewWithT(t)
	for _, n := range []int{6, 33, 75, 300, 2000} {
		all := newVMs(n)
		for id, m := range all {
			m.PassesEvidence = true
			all[id] = m
		}
		got, fanOut := spreadEvidence(all)
		delete(got, "vm-0")
		g.Expect(got).To(HaveLen(n-1), "%d VMs", n)
		g.Expect(fanOut).To(BeNumerically("<=", 48), "%d VMs", n)
		for id, times := range got {
			g.Expect(times).To(BeNumerically("<=", 3), "%s of %d VMs", id, n)
		}
	}
}

// TestEvidenceReachesVMsOfOlderBuilds guards against evidence that older builds don't pass on,
// as they ignore what they don't know.
func TestEvidenceReachesVMsOfOlderBuilds(t *testing.T) {
	g := NewWithT(t)
	for _, n := range []int{75, 300} {
		for name, passes := range map[string]func(m members.Member) bool{
			"none":               func(members.Member) bool { return false },
			"those of a region":  func(m members.Member) bool { return m.Domain == "d1" },
			"one of each region": func(m members.Member) bool { return len(m.ID) == 4 && m.ID[3] < '3' },
		} {
			all := newVMs(n)
			for id, m := range all {
				m.PassesEvidence = passes(m)
				all[id] = m
			}
			got, _ := spreadEvidence(all)
			delete(got, "vm-0")
			g.Expect(got).To(HaveLen(n-1), "%s of %d VMs support it", name, n)
		}
	}
}
