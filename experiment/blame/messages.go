package blame

import (
	"cmp"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/internal/hints"
	"github.com/poplarshore/poplarshore/internal/members"
	"github.com/poplarshore/poplarshore/internal/quarantines"
	"github.com/poplarshore/poplarshore/vm"
)

// announce sends a message to the VMs that get it from this one, in a fixed order, as each draws
// from the same random numbers.
func (s *simulation) announce(from int, m quarantines.Message) {
	others := maps.Clone(s.members)
	delete(others, vmID(from))
	router := hints.EvidenceRouter{Region: domain.Region(s.members[vmID(from)].Domain), RegionOf: regionOf}
	deliveries := router.Route(others, m)
	slices.SortFunc(deliveries, func(a, b hints.EvidenceDelivery) int { return cmp.Compare(a.To.Hints.Port(), b.To.Hints.Port()) })
	for _, d := range deliveries {
		s.sendMessage(from, int(d.To.Hints.Port()), d.Message)
	}
}

// newMembers returns the list of the VMs, over several regions. The port of a VM is its index.
func newMembers(vms int) map[vm.ID]members.Member {
	all := make(map[vm.ID]members.Member)
	for i := range vms {
		all[vmID(i)] = members.Member{
			ID: vmID(i), Domain: domain.ID(fmt.Sprint("d-", i%regions)), PassesEvidence: true,
			Hints: netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(i)),
		}
	}
	return all
}

func vmID(index int) vm.ID { return vm.ID(fmt.Sprint("vm-", index)) }

func regionOf(d domain.ID) domain.Region { return domain.Region(d) }

// sendMessage sends a message between two VMs, unless it is lost.
func (s *simulation) sendMessage(from, to int, m quarantines.Message) {
	isCut := s.cutUntil[from] > s.now || s.cutUntil[to] > s.now
	if from == to || s.rule != Shared || isCut || s.rand.Float64() < s.Loss {
		return
	}
	delay := time.Duration(s.rand.Int64N(int64(messageDelay)))
	s.after(delay, func() {
		if m.Spread.Groups > 0 {
			s.announce(to, m)
		}
		s.guards[to].Receive(m)
	})
}
