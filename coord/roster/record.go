package roster

import "time"

// ID identifies one member.
type ID string

// Incarnation distinguishes runs of one member; a later run has a higher one.
// Zero stands for unknown.
type Incarnation uint64

// Phase is the standing of a member.
type Phase string

// The phases. Only a live member receives new work.
const (
	Live Phase = "live"
	// Suspect members have refused a connection and have not served since.
	Suspect Phase = "suspect"
	Leaving Phase = "leaving"
	Gone    Phase = "gone"
	Unknown Phase = "unknown"
)

// Kind tells what an observation shows.
type Kind string

// The kinds of observations.
const (
	// Served: the member answered a request or an exchange.
	Served Kind = "served"
	// Refused: the member's address refused a connection.
	Refused Kind = "refused"
	// Departing: the member said that it is leaving, or the list said so.
	Departing Kind = "departing"
	// Listed: the platform's list contains the member.
	Listed Kind = "listed"
	// Absent: the platform's list does not contain the member.
	Absent Kind = "absent"
)

// Observation is one piece of evidence about one member.
type Observation struct {
	ID          ID
	Incarnation Incarnation
	Kind        Kind
	At          time.Time
}

// Record is what is known of one member.
type Record struct {
	Incarnation Incarnation
	// Born is when the record began; older observations belong to an earlier
	// incarnation. It is zero for the first.
	Born time.Time
	// Departing is when the earliest sign of leaving was seen.
	Departing time.Time
	Served    time.Time
	Refused   time.Time
	Listed    time.Time
	Absent    time.Time
}

// Policy holds the times by which records are judged.
type Policy struct {
	// SuspectFor is how long a refused connection counts. Default 5 s.
	SuspectFor time.Duration
	// ListLag bounds the age of what the platform's list shows. A member without
	// an incarnation that was absent for longer and is listed again is a new one.
	// Default 2 min.
	ListLag time.Duration
	// Forget is how long a member is remembered without any evidence of its
	// presence. Default 1 h.
	Forget time.Duration
}

const (
	defaultSuspectFor = 5 * time.Second
	defaultListLag    = 2 * time.Minute
	defaultForget     = time.Hour
)

func (p Policy) withDefaults() Policy {
	if p.SuspectFor <= 0 {
		p.SuspectFor = defaultSuspectFor
	}
	if p.ListLag <= 0 {
		p.ListLag = defaultListLag
	}
	if p.Forget <= 0 {
		p.Forget = defaultForget
	}
	return p
}

// Merge returns the record after an observation.
func (p Policy) Merge(r Record, o Observation) Record {
	switch {
	case o.Incarnation != 0 && o.Incarnation < r.Incarnation:
		return r
	case o.Incarnation > r.Incarnation && r.Incarnation != 0:
		r = Record{Incarnation: o.Incarnation}
	case o.Incarnation > r.Incarnation:
		r.Incarnation = o.Incarnation
	case p.returned(r, o):
		r = Record{Born: r.Absent.Add(p.ListLag)}
	}
	if r.Incarnation == 0 && o.At.Before(r.Born) {
		return r
	}
	return r.with(o)
}

// returned reports whether a list shows a new run of a member whose
// incarnations are unknown.
func (p Policy) returned(r Record, o Observation) bool {
	return r.Incarnation == 0 && o.Kind == Listed && !r.Absent.IsZero() &&
		r.Absent.After(r.Listed) && o.At.Sub(r.Absent) > p.ListLag
}

func (r Record) with(o Observation) Record {
	switch o.Kind {
	case Served:
		r.Served = later(r.Served, o.At)
	case Refused:
		r.Refused = later(r.Refused, o.At)
	case Departing:
		if r.Departing.IsZero() || o.At.Before(r.Departing) {
			r.Departing = o.At
		}
	case Listed:
		r.Listed = later(r.Listed, o.At)
	case Absent:
		// A list that has never shown the member may only be late. The
		// first absence counts, for as long as it lasts.
		if !r.Listed.IsZero() && !r.Absent.After(r.Listed) {
			r.Absent = later(r.Absent, o.At)
		}
	}
	return r
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// Phase returns the member's standing at now.
func (p Policy) Phase(r Record, now time.Time) Phase {
	switch {
	case r == Record{}:
		return Unknown
	case r.Absent.After(r.Listed) && r.Absent.After(r.Served):
		return Gone
	case !r.Departing.IsZero():
		return Leaving
	case r.Refused.After(r.Served) && now.Sub(r.Refused) <= p.SuspectFor:
		return Suspect
	case r.Served.IsZero() && r.Listed.IsZero():
		return Unknown
	default:
		return Live
	}
}

// Forgotten reports whether nothing has shown the member for so long that the
// record can be dropped.
func (p Policy) Forgotten(r Record, now time.Time) bool {
	newest := later(later(r.Served, r.Listed), later(r.Departing, r.Refused))
	return now.Sub(newest) > p.Forget
}
