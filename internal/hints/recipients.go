package hints

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/internal/members"
	"github.com/poplarshore/poplarshore/upstream"
	"github.com/poplarshore/poplarshore/vm"
)

const (
	// maxBroadcastVMs is the largest number of other VMs to which all hints are sent.
	maxBroadcastVMs = 32
	// maxRecipients bounds the VMs that get a hint in a larger fleet, so that the hints
	// that each VM sends and receives don't grow with the fleet.
	maxRecipients = 32
)

// selectRecipients returns the VMs that get a hint about an upstream of the given region.
// In a small fleet these are all VMs. In a larger one they are VMs of that region, which
// use the upstream most, at most maxRecipients. These are the same for all hints about
// the upstream, so that they know all of its expensive work.
func selectRecipients(vms map[vm.ID]members.Member, regionOf func(domain.ID) domain.Region, h Hint) []members.Member {
	recipients := make([]members.Member, 0, len(vms))
	for _, m := range vms {
		if len(vms) <= maxBroadcastVMs || regionOf(m.Domain) == h.Region {
			recipients = append(recipients, m)
		}
	}
	if len(recipients) <= max(maxBroadcastVMs, maxRecipients) {
		return recipients
	}
	return highestRanked(recipients, h.Upstream, maxRecipients)
}

// highestRanked returns the n VMs that rank highest for an upstream.
func highestRanked(vms []members.Member, u upstream.ID, n int) []members.Member {
	rank := func(m members.Member) uint64 { return xxhash.Sum64String(string(u) + "/" + string(m.ID)) }
	slices.SortFunc(vms, func(a, b members.Member) int { return cmp.Compare(rank(b), rank(a)) })
	return vms[:min(n, len(vms))]
}
