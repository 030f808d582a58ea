package revision

import (
	"hash/fnv"
	"maps"
	"slices"
	"time"
)

// clockDrift is the allowance for clocks that run at different rates.
const clockDrift = time.Second

// InForce tells which members work by a revision.
type InForce struct {
	Number uint64
	// Confirmed lists the members known to have installed the revision or a
	// later one.
	Confirmed []NodeID
	// Expired lists the members that have not confirmed, but whose proof of an
	// earlier revision has run out: they give out no work by it.
	Expired []NodeID
	// Unknown lists the members that may still work by an earlier revision.
	Unknown []NodeID
}

// Everywhere reports whether no member can work by an earlier revision.
func (f InForce) Everywhere() bool {
	return len(f.Unknown) == 0 && len(f.Confirmed)+len(f.Expired) > 0
}

// InForce returns the standing of every member at now for a revision that was
// known to be accepted at acceptedAt, by the same clock.
func (n *Node) InForce(number uint64, acceptedAt, now time.Time) InForce {
	members := n.opts.Members()
	n.mu.Lock()
	defer n.mu.Unlock()
	expired := now.Sub(acceptedAt) > n.opts.FreshFor+clockDrift
	f := InForce{Number: number}
	for _, id := range members {
		has := n.numbers[id]
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

// Forget drops what is known of nodes that are no longer members.
func (n *Node) Forget() {
	members := n.opts.Members()
	keep := make(map[NodeID]bool, len(members))
	for _, id := range members {
		keep[id] = true
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	maps.DeleteFunc(n.numbers, func(id NodeID, _ uint64) bool { return !keep[id] })
	maps.DeleteFunc(n.peers, func(id NodeID, _ evidence) bool { return !keep[id] })
	n.order = slices.DeleteFunc(n.order, func(id NodeID) bool { return !keep[id] })
}

func seedOf(id NodeID) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id))
	return h.Sum64()
}
