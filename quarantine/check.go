package quarantine

import "time"

// ErrOutOfBounds reports an entry with values that no VM writes.
var ErrOutOfBounds = namespace.NewType("out_of_bounds")

const (
	// maxSharedTime bounds times on the clock that all VMs share, so that sums of them can be
	// represented.
	maxSharedTime = 200 * 365 * 24 * time.Hour
	// maxCheckedProbes bounds the probes of an entry that was read. It is above that of any build.
	maxCheckedProbes = 1000
)

// IsTime reports whether a time on the clock that all VMs share is within bounds.
func IsTime(at time.Duration) bool { return at.Abs() <= maxSharedTime }

// Check reports whether an entry that was read has values within bounds. Errors: ErrOutOfBounds.
func (e Entry) Check() error {
	if e.Key.Kind == "" {
		return ErrOutOfBounds.New("entry without a key")
	}
	if e.Probes < 0 || e.Probes > maxCheckedProbes {
		return ErrOutOfBounds.New("%s: %d probes", e.Key, e.Probes)
	}
	if !IsTime(e.Since) || !IsTime(e.ProbedAt) || !IsTime(e.LiftedAt) {
		return ErrOutOfBounds.New("%s: since %s, probed at %s, lifted at %s", e.Key, e.Since, e.ProbedAt, e.LiftedAt)
	}
	for _, c := range e.Evidence {
		if !IsTime(c.At) {
			return ErrOutOfBounds.New("%s: evidence at %s", e.Key, c.At)
		}
	}
	return nil
}
