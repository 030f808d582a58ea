package gatewayd

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/internal/membudget"
	"github.com/poplarshore/poplarshore/internal/relay"
	"github.com/poplarshore/poplarshore/settings"
)

// The largest answer of a sound upstream must fit into its share on the smallest VM, and what is kept for others into the
// runtime's memory limit.
func TestPartsOfMemoryFitIntoSmallVM(t *testing.T) {
	g := NewWithT(t)
	s := settings.DefaultGateway()
	s.MemoryMB = 112
	parts := partsOf(s)
	largest := relay.DefaultOptions().MaxBufferedBytes
	reservation := membudget.New(parts.kept).Reserve(membudget.Holder{Kind: membudget.Upstream, ID: "u"}, membudget.Holder{Kind: membudget.Service, ID: "s"})
	buffer := membudget.NewBuffer(reservation, largest)
	for part := make([]byte, 4<<10); buffer.Len()+len(part) <= largest; {
		g.Expect(buffer.Append(part)).To(Succeed())
	}
	memory := float64(s.MemoryMB * bytesPerMB)
	g.Expect(float64(parts.kept) + float64(parts.waiting)).To(BeNumerically("<", memory*memoryLimitFraction/2+1))
}
