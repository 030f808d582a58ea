package revision

import "time"

// Freshness is why a node is fresh or not. The values are stable and suit as
// status texts.
type Freshness string

const (
	// FreshByStore means that the node is fresh: a read of the head row at most
	// FreshFor ago, by this node or passed on by peers, named no revision above
	// the installed one.
	FreshByStore Freshness = "store"
	// FreshByMembers means that the node is fresh: there is no recent read of the
	// head row, but every other member stated at most FreshFor ago that it had no
	// revision above the installed one and no open proposal.
	FreshByMembers Freshness = "members"
	// NotReady means that the node is not fresh: neither the store nor a peer has
	// answered since it was created, or no revision is installed.
	NotReady Freshness = "not_ready"
	// Behind means that the node is not fresh: it has no recent proof, and it
	// knows of a higher revision that is not installed yet.
	Behind Freshness = "behind"
	// CutOff means that the node is not fresh: its newest proof is older than
	// FreshFor, and it knows of no higher revision.
	CutOff Freshness = "cut_off"
)

// Freshness returns whether the node is fresh at now, and why.
func (n *Node) Freshness(now time.Time) Freshness {
	members := n.opts.Members()
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.contacted || n.installed.Number == 0 {
		return NotReady
	}
	if n.isRecent(n.confirmedAt, now) {
		return FreshByStore
	}
	if n.confirmedByMembers(members, now) {
		return FreshByMembers
	}
	if n.known.Number > n.installed.Number {
		return Behind
	}
	return CutOff
}

// Fresh reports whether the node may accept new work at now: it can prove that its
// revision was the newest one at most FreshFor ago. The caller must check it before
// each piece of work.
func (n *Node) Fresh(now time.Time) bool {
	state := n.Freshness(now)
	return state == FreshByStore || state == FreshByMembers
}

// Ready reports whether the node is fresh at the present time of Options.Clock.
func (n *Node) Ready() bool {
	return n.Fresh(n.opts.Clock.Now())
}

// isRecent reports whether at is set and at most FreshFor before now.
func (n *Node) isRecent(at, now time.Time) bool {
	return !at.IsZero() && now.Sub(at) <= n.opts.FreshFor
}

// confirmedByMembers reports whether there is a recent statement of every other
// member with a revision that is not above the installed one. It is false while this
// node has an open proposal, which may have moved the head, and if there is no
// other member.
func (n *Node) confirmedByMembers(members []NodeID, now time.Time) bool {
	if len(members) < 2 || n.openProposals > 0 || n.outcomeUnknown {
		return false
	}
	for _, id := range members {
		if id == n.opts.ID {
			continue
		}
		s, ok := n.statements[id]
		if !ok || s.number > n.installed.Number || !n.isRecent(s.at, now) {
			return false
		}
	}
	return true
}

// Digest returns the digest to send to a peer at now.
func (n *Node) Digest(now time.Time) Digest {
	n.mu.Lock()
	defer n.mu.Unlock()
	d := Digest{
		From:           n.opts.ID,
		Installed:      n.installed,
		NoOpenProposal: n.openProposals == 0 && !n.outcomeUnknown,
		Statements:     n.sampleStatements(now),
	}
	if n.known.Number > n.installed.Number {
		known := n.known
		d.Known = &known
	}
	if n.isRecent(n.lastHead.at, now) {
		d.LastHead = &HeadObservation{Number: n.lastHead.number, AgeMillis: ceilMillis(now.Sub(n.lastHead.at))}
	}
	return d
}

// sampleStatements returns at most opts.Statements recent statements. It starts at
// a random position in statementOrder and wraps around.
func (n *Node) sampleStatements(now time.Time) Statements {
	size := len(n.statementOrder)
	if size == 0 {
		return nil
	}
	picked := make(Statements)
	start, count := n.opts.Rand.IntN(size), 0
	for i := 0; i < size && count < n.opts.Statements; i++ {
		id := n.statementOrder[(start+i)%size]
		if s := n.statements[id]; n.isRecent(s.at, now) {
			picked.add(id, s.number, now.Sub(s.at))
			count++
		}
	}
	return picked
}
