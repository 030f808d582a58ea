// Package coldstart holds what one VM knows of whether one upstream is cold: whether it has
// started lately and ends if it gets much more than a few requests per second.
//
// An upstream reports for how long it is cold, in its entry and in its answers. It may also be
// suspected of it, after signs that it ended or that it could not be seen. A suspicion lasts
// until the upstream has been reached for the length of a cold start since. Suspicions are for
// loads of many VMs that send to an upstream which has just come back, before any report of it.
//
// The package has no clock. Times may carry monotonic readings; those of one State must come
// from the same clock.
package coldstart

import "time"

const (
	// EntryLag is how old an entry may be when a VM reads it. An entry that does not mention a
	// cold start ends only suspicions that are older.
	EntryLag = 3 * time.Second
	// ContinuationDelay is the time after a suspicion from which a further part of an earlier
	// answer shows that the upstream did not end. Earlier parts may have been under way.
	ContinuationDelay = 250 * time.Millisecond
)

// Cause is why an upstream is suspected to be cold.
type Cause uint8

// The causes of suspicions.
const (
	// Contact: a connection was lost or refused, or the upstream was silent.
	Contact Cause = iota
	// Hint: another VM announced that the upstream ended or is cold.
	Hint
	// NewEntry: the entry is new or belongs to a new incarnation.
	NewEntry
	// Evacuation: the evacuation of the upstream's failure domain ended.
	Evacuation
)

// String returns the label of the cause in metrics and logs.
func (c Cause) String() string {
	return [...]string{"contact", "hint", "new_entry", "evacuation"}[c]
}

// isLocal reports whether the cause may be a fault of the way to the upstream.
func (c Cause) isLocal() bool { return c == Contact || c == Hint }

// State is what one VM knows of one incarnation of an upstream. The zero value knows nothing,
// and such an upstream is not cold. It is not safe for concurrent use.
type State struct {
	// entryUntil and answerUntil are until when the upstream is cold by its entry and by its
	// answers.
	entryUntil, answerUntil time.Time
	// startedAt is when the upstream started, by the wall clock; zero if unknown.
	startedAt time.Time
	// suspectedAt is when the upstream was last suspected to be cold; zero if it is not.
	suspectedAt time.Time
	cause       Cause
	// reachedAt is when it was first reached after that; zero if it was not.
	reachedAt time.Time
}

// Start records when the upstream started, by the wall clock.
func (s *State) Start(at time.Time) { s.startedAt = at }

// ReportByEntry records an entry, or a change of one, by which the upstream is cold for d, or
// is not cold if d is zero. It must not be called for an entry that is read again unchanged.
func (s *State) ReportByEntry(d time.Duration, now time.Time) {
	s.entryUntil = now.Add(d)
	if d > 0 || now.Sub(s.suspectedAt) > EntryLag {
		s.clearSuspicion()
	}
}

// ReportByAnswer records that the upstream, by its answer to a request sent at the given time,
// is cold for d, or is not cold if d is zero.
func (s *State) ReportByAnswer(d time.Duration, sentAt, now time.Time) {
	s.answerUntil = now.Add(d)
	if sentAt.After(s.suspectedAt) {
		s.clearSuspicion()
		if d == 0 {
			s.entryUntil, s.startedAt = time.Time{}, time.Time{}
		}
	}
}

// ReportByHint records that another VM announced that the upstream is cold for d.
func (s *State) ReportByHint(d time.Duration, now time.Time) {
	if until := now.Add(d); until.After(s.answerUntil) {
		s.answerUntil = until
	}
}

// Suspect records that the upstream may be cold. The suspicion begins anew if there is one. A
// weaker cause does not replace the cause of a suspicion that a continued answer can't end.
func (s *State) Suspect(cause Cause, now time.Time) {
	if s.suspectedAt.IsZero() || s.cause.isLocal() {
		s.cause = cause
	}
	s.suspectedAt, s.reachedAt = now, time.Time{}
}

// Reach records that a part of the answer to a request sent at the given time came. It begins
// the end of a suspicion if the request was sent after it; if it was sent before, and the part
// can't have been under way by then, the upstream did not end and the suspicion is void.
func (s *State) Reach(sentAt, now time.Time) {
	switch {
	case s.suspectedAt.IsZero() || !s.reachedAt.IsZero():
	case !sentAt.Before(s.suspectedAt):
		s.reachedAt = now
	case s.cause.isLocal() && now.Sub(s.suspectedAt) >= ContinuationDelay:
		s.clearSuspicion()
	}
}

// ForgetContact ends a suspicion that this VM or another one had from its own contacts. It is
// called when this VM was cut off from the upstream.
func (s *State) ForgetContact() {
	if s.cause.isLocal() {
		s.clearSuspicion()
	}
}

// Expire ends a suspicion that is older than the given time.
func (s *State) Expire(age time.Duration, now time.Time) {
	if now.Sub(s.suspectedAt) > age {
		s.clearSuspicion()
	}
}

func (s *State) clearSuspicion() {
	s.suspectedAt, s.reachedAt, s.cause = time.Time{}, time.Time{}, Contact
}

// Suspected reports whether the upstream is suspected to be cold and not known to be reached
// again for long enough.
func (s *State) Suspected(length time.Duration, now time.Time) bool {
	return !s.suspectedAt.IsZero() && (s.reachedAt.IsZero() || now.Sub(s.reachedAt) < length)
}

// Cold reports whether the upstream is to be treated as cold, where a cold start takes the
// given length.
func (s *State) Cold(length time.Duration, now time.Time) bool {
	if now.Before(s.entryUntil) || now.Before(s.answerUntil) || s.Suspected(length, now) {
		return true
	}
	// The clocks of the upstream and of this VM may differ; a start far in the future says nothing.
	age := now.Sub(s.startedAt)
	return !s.startedAt.IsZero() && age < length && age > -length
}
