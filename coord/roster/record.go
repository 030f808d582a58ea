package roster

import "time"

// ID identifies a member. It stays the same when the member restarts.
type ID string

// Incarnation distinguishes the runs of a member; a later run has a higher number. Zero means
// unknown: without incarnations, a new run is recognized only by an absence from the platform's list
// of more than Policy.ListLag.
type Incarnation uint64

// Phase is the state of a member.
type Phase string

// The phases. Send new work only to live members.
const (
	// Live members have been listed or have served, and no other phase applies.
	Live Phase = "live"
	// Suspect members have refused a connection within Policy.SuspectFor and have not served since.
	Suspect Phase = "suspect"
	// Leaving members have announced that they are leaving, or the platform's list said so.
	Leaving Phase = "leaving"
	// Gone members are no longer in the platform's list and have not served since.
	Gone Phase = "gone"
	// Unknown members have neither been listed nor have served.
	Unknown Phase = "unknown"
)

// Kind is the kind of an observation.
type Kind string

// The kinds of observations.
const (
	// Served means that the member answered a request or an exchange.
	Served Kind = "served"
	// Refused means that the member's address refused a connection.
	Refused Kind = "refused"
	// Departing means that the member, or the platform's list, said that it is leaving.
	Departing Kind = "departing"
	// Listed means that the platform's list contains the member.
	Listed Kind = "listed"
	// Absent means that the platform's list does not contain the member.
	Absent Kind = "absent"
)

// Observation is one piece of evidence about a member.
type Observation struct {
	ID          ID
	Incarnation Incarnation // zero if unknown
	Kind        Kind
	At          time.Time // when it was observed
}

// Record is what is known about a member: the times of the observations about its current
// incarnation. A zero time means no such observation; the zero Record means that nothing is known.
type Record struct {
	// Incarnation is the highest one observed, or zero if none is known.
	Incarnation Incarnation
	// NotBefore is set if a new run was recognized without an incarnation: observations before this
	// time belong to an earlier run and are ignored.
	NotBefore time.Time
	// DepartingSince is the earliest time at which the member was observed to be leaving.
	DepartingSince time.Time
	LastServed     time.Time
	LastRefused    time.Time
	LastListed     time.Time
	// AbsentSince is the time of the first list without the member after LastListed.
	AbsentSince time.Time
}

// Policy holds the durations that determine how observations are merged and judged.
type Policy struct {
	// SuspectFor is how long a refused connection makes a member Suspect. Default 5 s.
	SuspectFor time.Duration
	// ListLag is the maximal age of what the platform's list shows. A member without an incarnation
	// that was absent for longer and is listed again counts as a new run. Default 2 min.
	ListLag time.Duration
	// Retention is how long a member is remembered without any observation of its presence.
	// Default 1 h.
	Retention time.Duration
}

// Defaults of Policy.
const (
	defaultSuspectFor = 5 * time.Second
	defaultListLag    = 2 * time.Minute
	defaultRetention  = time.Hour
)

func (p Policy) withDefaults() Policy {
	if p.SuspectFor <= 0 {
		p.SuspectFor = defaultSuspectFor
	}
	if p.ListLag <= 0 {
		p.ListLag = defaultListLag
	}
	if p.Retention <= 0 {
		p.Retention = defaultRetention
	}
	return p
}

// Merge returns the record r updated with the observation o. An observation of an earlier incarnation
// has no effect, and one of a later incarnation starts a new record. Merge is a pure function. For
// observations other than Listed and Absent the result does not depend on their order or repetition,
// provided that either all of them have an incarnation or none has.
func (p Policy) Merge(r Record, o Observation) Record {
	switch {
	case o.Incarnation != 0 && o.Incarnation < r.Incarnation:
		return r
	case o.Incarnation > r.Incarnation && r.Incarnation != 0:
		r = Record{Incarnation: o.Incarnation}
	case o.Incarnation > r.Incarnation:
		r.Incarnation = o.Incarnation
	case p.isNewRun(r, o):
		r = Record{NotBefore: r.AbsentSince.Add(p.ListLag)}
	}
	if r.Incarnation == 0 && o.At.Before(r.NotBefore) {
		return r
	}
	return r.apply(o)
}

// isNewRun reports whether o is a list that shows a new run of a member without known incarnation.
func (p Policy) isNewRun(r Record, o Observation) bool {
	return r.Incarnation == 0 && o.Kind == Listed && !r.AbsentSince.IsZero() &&
		r.AbsentSince.After(r.LastListed) && o.At.Sub(r.AbsentSince) > p.ListLag
}

// apply returns the record with the time of o, which belongs to the record's incarnation.
func (r Record) apply(o Observation) Record {
	switch o.Kind {
	case Served:
		r.LastServed = latest(r.LastServed, o.At)
	case Refused:
		r.LastRefused = latest(r.LastRefused, o.At)
	case Departing:
		if r.DepartingSince.IsZero() || o.At.Before(r.DepartingSince) {
			r.DepartingSince = o.At
		}
	case Listed:
		r.LastListed = latest(r.LastListed, o.At)
	case Absent:
		// If no list has shown the member yet, its absence may only mean that the list lags, and
		// is ignored. Otherwise the first absence counts until the member is listed again.
		if !r.LastListed.IsZero() && !r.AbsentSince.After(r.LastListed) {
			r.AbsentSince = latest(r.AbsentSince, o.At)
		}
	}
	return r
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// Phase returns the phase that the record shows at now.
func (p Policy) Phase(r Record, now time.Time) Phase {
	switch {
	case r == Record{}:
		return Unknown
	case r.AbsentSince.After(r.LastListed) && r.AbsentSince.After(r.LastServed):
		return Gone
	case !r.DepartingSince.IsZero():
		return Leaving
	case r.LastRefused.After(r.LastServed) && now.Sub(r.LastRefused) <= p.SuspectFor:
		return Suspect
	case r.LastServed.IsZero() && r.LastListed.IsZero():
		return Unknown
	default:
		return Live
	}
}

// Expired reports whether nothing has shown the member for longer than Retention, so that its record
// can be deleted.
func (p Policy) Expired(r Record, now time.Time) bool {
	newest := latest(latest(r.LastServed, r.LastListed), latest(r.DepartingSince, r.LastRefused))
	return now.Sub(newest) > p.Retention
}
