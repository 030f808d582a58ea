package revision

import (
	"maps"
	"slices"
	"time"
)

// NodeID identifies a node. It must be unique within the group.
type NodeID string

// ageUnit is the resolution of the ages in Ages. Ages are rounded up, so that a
// statement never looks newer than it is.
const ageUnit = 100 * time.Millisecond

// maxAge is the highest age that a digest conveys; higher ones count as this one. It is far
// above Options.FreshFor, and no age overflows when it becomes a duration.
const maxAge = 366 * 24 * time.Hour

// Ages maps nodes to the age of a statement by each of them, in tenths of a second,
// rounded up. The statement says that the node had installed a certain revision and
// had no open proposal.
type Ages map[NodeID]int64

// Statements groups statements of nodes by the revision number that each node had
// installed.
type Statements map[uint64]Ages

func (s Statements) add(id NodeID, number uint64, age time.Duration) {
	if s[number] == nil {
		s[number] = make(Ages)
	}
	s[number][id] = int64((age + ageUnit - 1) / ageUnit)
}

// forEach calls visit for every statement, ordered by revision number, then node.
// Negative ages count as 0, and those above maxAge as maxAge.
func (s Statements) forEach(visit func(id NodeID, number uint64, age time.Duration)) {
	for _, number := range slices.Sorted(maps.Keys(s)) {
		ages := s[number]
		for _, id := range slices.Sorted(maps.Keys(ages)) {
			visit(id, number, ageOf(ages[id], ageUnit))
		}
	}
}

// HeadObservation is evidence that the head row named a certain revision at a
// certain time.
type HeadObservation struct {
	// Number is the number of the revision that the head row named.
	Number uint64 `json:"r"`
	// AgeMillis is the time from the observation to the creation of the digest,
	// in milliseconds, rounded up.
	AgeMillis int64 `json:"a"`
}

// Digest is the message that two nodes exchange. It is encoded as JSON.
type Digest struct {
	// From is the sender.
	From NodeID `json:"from"`
	// Installed is the sender's installed revision, whose body it can serve.
	Installed Revision `json:"installed"`
	// Known is the highest revision that the sender knows of; nil if that is not
	// higher than Installed.
	Known *Revision `json:"known,omitempty"`
	// NoOpenProposal reports that the sender has no proposal in progress and
	// none whose outcome is unknown. Only then the digest counts as a statement
	// of the sender.
	NoOpenProposal bool `json:"vouches"`
	// LastHead is the sender's newest evidence about the head row; nil if that is
	// older than Options.FreshFor.
	LastHead *HeadObservation `json:"contact,omitempty"`
	// Statements is a sample of the recent statements of other nodes that the
	// sender knows of, at most Options.Statements.
	Statements Statements `json:"statements,omitempty"`
}

// ceilMillis returns the age in milliseconds, rounded up.
func ceilMillis(age time.Duration) int64 {
	return (age + time.Millisecond - 1).Milliseconds()
}

// subtractAge returns the time that is ageMillis milliseconds before at. A negative
// age counts as 0, and one above maxAge as maxAge.
func subtractAge(at time.Time, ageMillis int64) time.Time {
	return at.Add(-ageOf(ageMillis, time.Millisecond))
}

// ageOf returns an age of n units, bounded to the range from 0 to maxAge.
func ageOf(n int64, unit time.Duration) time.Duration {
	return time.Duration(min(max(n, 0), int64(maxAge/unit))) * unit
}
