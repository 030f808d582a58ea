package once

import "github.com/poplarshore/poplarshore/coord/store/settle"

// Event is something that happened to a claim at this VM.
type Event string

// The events.
const (
	// EventClaimed is a claim granted to the caller.
	EventClaimed Event = "claimed"
	// EventReclaimed is a claim granted on a row that an earlier call of this
	// VM left without sending the request.
	EventReclaimed Event = "reclaimed"
	// EventDone is a call answered with a kept result.
	EventDone Event = "done"
	// EventUnknown is a call told that an earlier attempt's outcome is unknown.
	EventUnknown Event = "unknown"
	// EventInProgress is a call told that another attempt is running.
	EventInProgress Event = "in_progress"
	// EventFingerprint is a call refused because the key stands for another request.
	EventFingerprint Event = "fingerprint"
	// EventUnavailable is an operation that the store did not serve.
	EventUnavailable Event = "unavailable"
	// EventSettledApplied is a write of unknown outcome found applied.
	EventSettledApplied = Event(settle.Applied)
	// EventSettledRefused is a write of unknown outcome found without effect.
	EventSettledRefused = Event(settle.Refused)
	// EventUnsettled is a write whose outcome stayed unknown.
	EventUnsettled = Event(settle.Unsettled)
	// EventCompleted is a result kept.
	EventCompleted Event = "completed"
	// EventMarkedUnknown is a claim marked as of unknown outcome.
	EventMarkedUnknown Event = "marked_unknown"
	// EventAbandoned is a key freed because the request was proven not run.
	EventAbandoned Event = "abandoned"
	// EventTooLarge is a result over the limit.
	EventTooLarge Event = "result_too_large"
	// EventLost is a claim whose row is no longer its own.
	EventLost Event = "lost"
	// EventExpired is a row deleted by a sweep.
	EventExpired Event = "expired"
	// EventForgotten is an unsent claim that no longer fits into memory.
	EventForgotten Event = "forgotten"
	// EventMalformed is a row that cannot be decoded.
	EventMalformed Event = "malformed"
)

// Observer is told of events, for counters. It must not block.
type Observer interface {
	// OnceEvent records one event.
	OnceEvent(event Event)
}

type noObserver struct{}

func (noObserver) OnceEvent(Event) {}
