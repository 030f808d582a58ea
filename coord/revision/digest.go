package revision

import (
	"maps"
	"slices"
	"time"
)

// NodeID identifies one node.
type NodeID string

// ageUnit is the resolution of the ages in Ages, which are rounded up.
const ageUnit = 100 * time.Millisecond

// Ages maps nodes to the age, in tenths of a second, of a statement by each: that
// it had installed a revision and had no proposal open.
type Ages map[NodeID]int64

// Statements maps revision numbers to the nodes that had installed them.
type Statements map[uint64]Ages

func (s Statements) add(id NodeID, number uint64, age time.Duration) {
	if s[number] == nil {
		s[number] = make(Ages)
	}
	s[number][id] = int64((age + ageUnit - 1) / ageUnit)
}

// each calls visit for every statement in a fixed order.
func (s Statements) each(visit func(id NodeID, number uint64, age time.Duration)) {
	for _, number := range slices.Sorted(maps.Keys(s)) {
		ages := s[number]
		for _, id := range slices.Sorted(maps.Keys(ages)) {
			visit(id, number, time.Duration(max(ages[id], 0))*ageUnit)
		}
	}
}

// Contact says that the head row named Number AgeMillis before the digest was made.
type Contact struct {
	Number    uint64 `json:"r"`
	AgeMillis int64  `json:"a"`
}

// Digest is what two nodes tell one another.
type Digest struct {
	From NodeID `json:"from"`
	// Installed is the sender's revision, whose body it can serve.
	Installed Revision `json:"installed"`
	// Known is the highest revision that the sender has heard of, if that is
	// higher than Installed.
	Known *Revision `json:"known,omitempty"`
	// Vouches reports that the sender has no proposal whose outcome is open.
	Vouches bool `json:"vouches"`
	// Contact is the sender's newest evidence about the head row, if any.
	Contact *Contact `json:"contact,omitempty"`
	// Statements is a bounded sample of what the sender knows of others.
	Statements Statements `json:"statements,omitempty"`
}

func millis(age time.Duration) int64 {
	return (age + time.Millisecond - 1).Milliseconds()
}

func before(at time.Time, ageMillis int64) time.Time {
	return at.Add(-time.Duration(max(ageMillis, 0)) * time.Millisecond)
}
