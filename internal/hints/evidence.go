package hints

import (
	"maps"
	"math"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/internal/members"
	"github.com/poplarshore/poplarshore/internal/quarantines"
	"github.com/poplarshore/poplarshore/vm"
)

// maxRegionFanOut is the largest number of VMs of a region to which one VM sends evidence
// itself. In a larger region it sends it to one VM of each group.
const maxRegionFanOut = 32

// EvidenceDelivery is a message to be sent to a VM.
type EvidenceDelivery struct {
	To      members.Member
	Message quarantines.Message
}

// EvidenceRouter decides which VMs get evidence on requests that crash upstreams, so that a
// VM sends a message to few others whatever the number of VMs.
type EvidenceRouter struct {
	// Region is the region of this VM.
	Region   domain.Region
	RegionOf func(domain.ID) domain.Region
}

// Route returns what to send for a message to the other VMs. In a small fleet it goes to all
// of them. In a larger one, a message with ForAll goes to one VM of each region, which passes
// it on, one with a group as its Spread to that group, and any other to the VMs of this VM's
// region.
func (r EvidenceRouter) Route(others map[vm.ID]members.Member, m quarantines.Message) []EvidenceDelivery {
	if m.Spread.Groups > 0 {
		return r.withinGroup(others, m)
	}
	forAll := m.ForAll
	m.ForAll, m.Spread = false, quarantines.Spread{}
	byRegion := make(map[domain.Region][]members.Member)
	for _, other := range others {
		region := r.RegionOf(other.Domain)
		byRegion[region] = append(byRegion[region], other)
	}
	switch {
	case len(others) <= maxBroadcastVMs:
		return directly(nil, slices.Collect(maps.Values(others)), m)
	case !forAll:
		return withinRegion(byRegion[r.Region], m)
	}
	var deliveries []EvidenceDelivery
	for _, vms := range byRegion {
		deliveries = append(deliveries, throughOne(vms, m)...)
	}
	return deliveries
}

// withinGroup returns the deliveries to the VMs of a group of this VM's region.
func (r EvidenceRouter) withinGroup(others map[vm.ID]members.Member, m quarantines.Message) []EvidenceDelivery {
	group, groups := m.Spread.Group, m.Spread.Groups
	m.ForAll, m.Spread = false, quarantines.Spread{}
	var deliveries []EvidenceDelivery
	for _, other := range others {
		if r.RegionOf(other.Domain) == r.Region && groupOf(other.ID, groups) == group {
			deliveries = append(deliveries, EvidenceDelivery{To: other, Message: m})
		}
	}
	return deliveries
}

// directly appends a delivery to each VM.
func directly(deliveries []EvidenceDelivery, vms []members.Member, m quarantines.Message) []EvidenceDelivery {
	for _, to := range vms {
		deliveries = append(deliveries, EvidenceDelivery{To: to, Message: m})
	}
	return deliveries
}

// throughOne returns a delivery to the VM of a region that passes the message on there. If
// none supports this, one VM of an older build is asked to pass on what older builds do.
func throughOne(vms []members.Member, m quarantines.Message) []EvidenceDelivery {
	if to, ok := selectForwarder(vms, m); ok {
		m.Spread.Region = true
		return []EvidenceDelivery{{To: to, Message: m}}
	}
	if len(m.Entries) > 0 {
		return directly(nil, vms, m)
	}
	m.ForAll = true
	to, _ := highestFor(m, vms, func(members.Member) bool { return true })
	return []EvidenceDelivery{{To: to, Message: m}}
}

// withinRegion returns the deliveries to all VMs of a region: to all of them, or to
// one VM of each group.
func withinRegion(vms []members.Member, m quarantines.Message) []EvidenceDelivery {
	if len(vms) <= maxRegionFanOut {
		return directly(nil, vms, m)
	}
	groups := int(math.Ceil(math.Sqrt(float64(len(vms)))))
	byGroup := make([][]members.Member, groups)
	for _, other := range vms {
		group := groupOf(other.ID, groups)
		byGroup[group] = append(byGroup[group], other)
	}
	var deliveries []EvidenceDelivery
	for group, there := range byGroup {
		to, ok := selectForwarder(there, m)
		if !ok {
			deliveries = directly(deliveries, there, m)
			continue
		}
		passed := m
		passed.Spread = quarantines.Spread{Group: group, Groups: groups}
		deliveries = append(deliveries, EvidenceDelivery{To: to, Message: passed})
	}
	return deliveries
}

// selectForwarder returns the VM that passes a message on, and false if none supports this.
func selectForwarder(vms []members.Member, m quarantines.Message) (members.Member, bool) {
	return highestFor(m, vms, func(other members.Member) bool { return other.PassesEvidence })
}

// highestFor returns the VM that ranks highest for the topic and turn of a message, of those
// that match, and false if none does. Ranks differ by topic and turn, so that the work of passing on is
// spread.
func highestFor(m quarantines.Message, vms []members.Member, match func(members.Member) bool) (best members.Member, found bool) {
	topic := string(m.Upstream()) + "/" + strconv.FormatInt(m.Turn, 36) + "/"
	var highest uint64
	for _, other := range vms {
		if !match(other) {
			continue
		}
		if rank := xxhash.Sum64String(topic + string(other.ID)); !found || rank > highest {
			best, highest, found = other, rank, true
		}
	}
	return best, found
}

// groupOf returns the group of a VM, from 0.
func groupOf(id vm.ID, groups int) int { return int(xxhash.Sum64String(string(id)) % uint64(groups)) }
