package slowstart

import (
	"testing"

	. "github.com/onsi/gomega"
)

// TestPeersFloodLessThanNoLimit guards against a window that no longer limits new upstreams, and
// against one that costs more late answers in all than it saves.
func TestPeersFloodLessThanNoLimit(t *testing.T) {
	for _, s := range Scenarios {
		if s.VMs != 6 {
			continue
		}
		t.Run(s.Name, func(t *testing.T) {
			g := NewWithT(t)
			none, peers := measure(s, None, 2), measure(s, ByPeers, 2)
			g.Expect(peers.Flooded).To(BeNumerically("<", 0.7*none.Flooded))
			g.Expect(peers.Late).To(BeNumerically("<", none.Late))
		})
	}
}
