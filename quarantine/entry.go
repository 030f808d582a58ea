package quarantine

import "time"

// Entry is the quarantine of a key.
type Entry struct {
	Key Key `json:"key"`
	// Since is when the key was found to crash upstreams, on the clock that all VMs share.
	Since time.Duration `json:"since"`
	// Evidence lists crashes that it caused.
	Evidence []Evidence `json:"evidence,omitempty"`
	// Probes is the number of requests with the key that were let through since, and
	// ProbedAt when the last one was granted.
	Probes   int           `json:"probes,omitzero"`
	ProbedAt time.Duration `json:"probed_at,omitzero"`
	// LiftedAt is when the quarantine ended; zero while it lasts.
	LiftedAt time.Duration `json:"lifted_at,omitzero"`
	// LiftedBy tells who ended it: an operator, or the VM with a sound probe.
	LiftedBy string `json:"lifted_by,omitzero"`
}

const (
	// firstProbeAfter is the time from the start of a quarantine to its first probe. The
	// next ones come after probeFactor times as long each.
	firstProbeAfter = time.Minute
	probeFactor     = 8
	// maxProbes is the number of probes of a quarantine. What still crashes upstreams then
	// stays out until an operator lifts it.
	maxProbes = 2
	// maxEvidence is the number of crashes that an entry lists, the latest ones.
	maxEvidence = 6
)

// NewEntry returns the quarantine that follows from a verdict.
func NewEntry(v Verdict, now time.Duration) Entry {
	return Entry{Key: v.Key, Since: now, Evidence: v.Evidence[max(len(v.Evidence)-maxEvidence, 0):]}
}

// Lifted reports whether the quarantine has ended.
func (e Entry) Lifted() bool { return e.LiftedAt > 0 }

// changedAt returns when the entry last changed.
func (e Entry) changedAt() time.Duration { return max(e.Since, e.ProbedAt, e.LiftedAt) }

// Supersedes reports whether e replaces o, the known entry of the same key. VMs that find a
// key independently agree on the one who was first.
func (e Entry) Supersedes(o Entry) bool {
	switch {
	case e.Lifted() || o.Lifted():
		return e.changedAt() > o.changedAt()
	case e.Probes != o.Probes:
		return e.Probes > o.Probes
	}
	return e.Since < o.Since
}

// NextProbe returns when the next request with the key may be let through, and false if
// none is.
func (e Entry) NextProbe() (time.Duration, bool) {
	if e.Lifted() || e.Probes >= maxProbes {
		return 0, false
	}
	wait := firstProbeAfter
	for range e.Probes {
		wait *= probeFactor
	}
	return max(e.Since, e.ProbedAt) + wait, true
}

// withoutProbes is the Retry-After of a quarantine that only an operator can end.
const withoutProbes = time.Hour

// RetryAfter returns when a caller may come back with the key.
func (e Entry) RetryAfter(now time.Duration) time.Duration {
	next, ok := e.NextProbe()
	if !ok {
		return withoutProbes
	}
	return max(next-now, time.Second)
}
