package revision

import (
	"hash/fnv"
	"maps"
	"slices"
	"time"
)

// maxClockDrift is how far two clocks may drift apart during FreshFor.
const maxClockDrift = time.Second

// InForce reports which members use a revision. Each member is in exactly one of
// the lists.
type InForce struct {
	// Number is the number of the revision.
	Number uint64
	// Confirmed lists the members that are known to have installed the revision
	// or a later one.
	Confirmed []NodeID
	// Expired lists the members that have not confirmed the revision, but can no
	// longer prove that an earlier one is the newest. They are not fresh and must
	// not accept work by it.
	Expired []NodeID
	// Unknown lists the members that may still use an earlier revision.
	Unknown []NodeID
}

// Everywhere reports whether no member can still use an earlier revision. It is
// false if there are no members.
func (f InForce) Everywhere() bool {
	return len(f.Unknown) == 0 && len(f.Confirmed)+len(f.Expired) > 0
}

// InForce reports which members use the revision at now. The caller knows that the
// revision had been accepted at acceptedAt; both times are read from one clock.
// From FreshFor plus 1 s for clock drift after acceptedAt, members that have not
// confirmed count as expired. This requires the same FreshFor on all members.
func (n *Node) InForce(number uint64, acceptedAt, now time.Time) InForce {
	members := n.opts.Members()
	n.mu.Lock()
	defer n.mu.Unlock()
	expired := now.Sub(acceptedAt) > n.opts.FreshFor+maxClockDrift
	f := InForce{Number: number}
	for _, id := range members {
		has := n.installedNumbers[id]
		if id == n.opts.ID {
			has = n.installed.Number
		}
		switch {
		case has >= number:
			f.Confirmed = append(f.Confirmed, id)
		case expired:
			f.Expired = append(f.Expired, id)
		default:
			f.Unknown = append(f.Unknown, id)
		}
	}
	return f
}

// ForgetNonMembers drops the records of nodes that Options.Members does not list.
// Syncer.Run calls it with each poll.
func (n *Node) ForgetNonMembers() {
	members := n.opts.Members()
	keep := make(map[NodeID]bool, len(members))
	for _, id := range members {
		keep[id] = true
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	maps.DeleteFunc(n.installedNumbers, func(id NodeID, _ uint64) bool { return !keep[id] })
	maps.DeleteFunc(n.statements, func(id NodeID, _ observation) bool { return !keep[id] })
	n.statementOrder = slices.DeleteFunc(n.statementOrder, func(id NodeID) bool { return !keep[id] })
}

// seedOf returns a random seed that differs between nodes.
func seedOf(id NodeID) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id))
	return h.Sum64()
}
