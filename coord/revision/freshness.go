package revision

import "time"

// Freshness says why a node may or may not give out work.
type Freshness string

// The verdicts.
const (
	// FreshByStore means that a read of the head row vouches for the revision.
	FreshByStore Freshness = "store"
	// FreshByMembers means that every member vouches for the revision.
	FreshByMembers Freshness = "members"
	// NotReady means that no store and no peer has answered, or that nothing is installed.
	NotReady Freshness = "not_ready"
	// Behind means that a higher revision is known but not yet installed.
	Behind Freshness = "behind"
	// CutOff means that the newest proof is older than FreshFor.
	CutOff Freshness = "cut_off"
)

// Freshness returns the verdict at now.
func (n *Node) Freshness(now time.Time) Freshness {
	members := n.opts.Members()
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.heard || n.installed.Number == 0 {
		return NotReady
	}
	if n.recent(n.confirmed, now) {
		return FreshByStore
	}
	if n.covered(members, now) {
		return FreshByMembers
	}
	if n.known.Number > n.installed.Number {
		return Behind
	}
	return CutOff
}

// Fresh reports whether the node may give out work at now: its revision was the
// newest one no longer than FreshFor ago.
func (n *Node) Fresh(now time.Time) bool {
	verdict := n.Freshness(now)
	return verdict == FreshByStore || verdict == FreshByMembers
}

// Ready reports whether the node is fresh by its own clock.
func (n *Node) Ready() bool {
	return n.Fresh(n.opts.Clock.Now())
}

func (n *Node) recent(at, now time.Time) bool {
	return !at.IsZero() && now.Sub(at) <= n.opts.FreshFor
}

// covered reports whether every member has recently vouched for a revision that is
// not above the installed one.
func (n *Node) covered(members []NodeID, now time.Time) bool {
	if len(members) < 2 || n.proposals > 0 || n.doubt {
		return false
	}
	for _, id := range members {
		if id == n.opts.ID {
			continue
		}
		e, ok := n.peers[id]
		if !ok || e.number > n.installed.Number || !n.recent(e.at, now) {
			return false
		}
	}
	return true
}

// Digest returns what the node tells its peers at now.
func (n *Node) Digest(now time.Time) Digest {
	n.mu.Lock()
	defer n.mu.Unlock()
	d := Digest{
		From:       n.opts.ID,
		Installed:  n.installed,
		Vouches:    n.proposals == 0 && !n.doubt,
		Statements: n.sample(now),
	}
	if n.known.Number > n.installed.Number {
		known := n.known
		d.Known = &known
	}
	if n.recent(n.contact.at, now) {
		d.Contact = &Contact{Number: n.contact.number, AgeMillis: millis(now.Sub(n.contact.at))}
	}
	return d
}

// sample returns at most opts.Statements recent statements, from a random place
// on in the order in which nodes were first heard of.
func (n *Node) sample(now time.Time) Statements {
	size := len(n.order)
	if size == 0 {
		return nil
	}
	picked := make(Statements)
	start, count := n.opts.Rand.IntN(size), 0
	for i := 0; i < size && count < n.opts.Statements; i++ {
		id := n.order[(start+i)%size]
		if e := n.peers[id]; n.recent(e.at, now) {
			picked.add(id, e.number, now.Sub(e.at))
			count++
		}
	}
	return picked
}
