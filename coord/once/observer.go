package once

import "github.com/poplarshore/poplarshore/coord/store/settle"

// Event is the kind of an event of a claim, as seen by this VM. Its value is suitable
// as a metric label.
type Event string

// Events reported to an Observer.
const (
	// EventClaimed: a claim was granted.
	EventClaimed Event = "claimed"
	// EventReclaimed: a claim was granted by replacing the row of an earlier
	// attempt on this VM for which no request was sent.
	EventReclaimed Event = "reclaimed"
	// EventDone: a call was answered with a stored result.
	EventDone Event = "done"
	// EventUnknown: a call was refused because the outcome of an earlier attempt is
	// unknown.
	EventUnknown Event = "unknown"
	// EventInProgress: a call was refused because another attempt is in progress.
	EventInProgress Event = "in_progress"
	// EventFingerprintMismatch: a call was refused because the key was used for a
	// different request.
	EventFingerprintMismatch Event = "fingerprint"
	// EventUnavailable: a claim or a write for it failed because of the store.
	EventUnavailable Event = "unavailable"
	// EventSettledApplied: a write of unknown outcome was found to have taken effect.
	EventSettledApplied = Event(settle.Applied)
	// EventSettledRefused: a write of unknown outcome was found to have had no effect.
	EventSettledRefused = Event(settle.Refused)
	// EventUnsettled: the outcome of a write could not be determined.
	EventUnsettled = Event(settle.Unsettled)
	// EventCompleted: a result was stored.
	EventCompleted Event = "completed"
	// EventMarkedUnknown: a claim was marked as having an unknown outcome.
	EventMarkedUnknown Event = "marked_unknown"
	// EventAbandoned: a claim was deleted because its request has not run.
	EventAbandoned Event = "abandoned"
	// EventResultTooLarge: a result larger than the maximum was rejected.
	EventResultTooLarge Event = "result_too_large"
	// EventLost: a write failed because the row no longer belongs to the claim.
	EventLost Event = "lost"
	// EventExpired: Sweep deleted an expired row.
	EventExpired Event = "expired"
	// EventUnsentEvicted: the oldest unsent claim was evicted from memory.
	EventUnsentEvicted Event = "forgotten"
	// EventMalformed: a row cannot be decoded, or a new one cannot be encoded.
	EventMalformed Event = "malformed"
)

// Observer receives events, for instance to count them. It must be safe for
// concurrent use. It may be called with the lock of a Claim held: it must not block or
// call methods of the Claim.
type Observer interface {
	// OnceEvent is called once for each event.
	OnceEvent(event Event)
}

type noObserver struct{}

func (noObserver) OnceEvent(Event) {}
