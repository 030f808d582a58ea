package revision

import "time"

// NodeID identifies one node.
type NodeID string

// Statement says that a node had installed Number, and had no proposal open,
// AgeMillis before the digest which carries it was made.
type Statement struct {
	Node      NodeID `json:"n"`
	Number    uint64 `json:"r"`
	AgeMillis int64  `json:"a"`
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
	Statements []Statement `json:"statements,omitempty"`
}

func millis(age time.Duration) int64 {
	return (age + time.Millisecond - 1).Milliseconds()
}

func before(at time.Time, ageMillis int64) time.Time {
	return at.Add(-time.Duration(max(ageMillis, 0)) * time.Millisecond)
}
