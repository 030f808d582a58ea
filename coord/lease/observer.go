package lease

import "github.com/poplarshore/poplarshore/coord/store/settle"

// Event is something that happened to a job at this holder.
type Event string

// The events.
const (
	// EventAcquired is the grant of a job that was free.
	EventAcquired Event = "acquired"
	// EventTakenOver is the grant of a job whose holder fell silent.
	EventTakenOver Event = "taken_over"
	// EventRefused is an attempt refused because the job is held.
	EventRefused Event = "refused"
	// EventUnavailable is an attempt or renewal that the store did not serve.
	EventUnavailable Event = "unavailable"
	// EventRenewed is a renewal that took effect.
	EventRenewed Event = "renewed"
	// EventSettledApplied is a write of unknown outcome found applied.
	EventSettledApplied = Event(settle.Applied)
	// EventSettledRefused is a write of unknown outcome found without effect.
	EventSettledRefused = Event(settle.Refused)
	// EventUnsettled is a write whose outcome stayed unknown.
	EventUnsettled = Event(settle.Unsettled)
	// EventLost is a lease that another holder took.
	EventLost Event = "lost"
	// EventExpired is a lease that ran out before it could be renewed.
	EventExpired Event = "expired"
	// EventReleased is a lease given back.
	EventReleased Event = "released"
	// EventOverrun is a job function that was still running
	// when another holder may have taken the job.
	EventOverrun Event = "overrun"
)

// Observer is told of events, for counters. It must not block.
type Observer interface {
	// LeaseEvent records one event of the job.
	LeaseEvent(job string, event Event)
}

type noObserver struct{}

func (noObserver) LeaseEvent(string, Event) {}
