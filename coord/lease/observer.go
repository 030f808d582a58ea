package lease

import "github.com/poplarshore/poplarshore/coord/store/settle"

// Event is the kind of an event of a job's lease, as seen by this holder. Its value
// is suitable as a metric label.
type Event string

// Events reported to an Observer.
const (
	// EventAcquired: a job that was free was acquired.
	EventAcquired Event = "acquired"
	// EventTakenOver: a job was acquired whose holder had stopped renewing.
	EventTakenOver Event = "taken_over"
	// EventRefused: an attempt to acquire failed because the job is held.
	EventRefused Event = "refused"
	// EventUnavailable: an acquisition, renewal or release failed because of the
	// store, or because the job's row cannot be decoded.
	EventUnavailable Event = "unavailable"
	// EventRenewed: a lease was renewed.
	EventRenewed Event = "renewed"
	// EventSettledApplied: a write of unknown outcome was found to have taken effect.
	EventSettledApplied = Event(settle.Applied)
	// EventSettledRefused: a write of unknown outcome was found to have had no effect.
	EventSettledRefused = Event(settle.Refused)
	// EventUnsettled: the outcome of a write could not be determined.
	EventUnsettled = Event(settle.Unsettled)
	// EventLost: a valid lease was replaced by another holder, found at a renewal.
	EventLost Event = "lost"
	// EventExpired: a lease expired before it was renewed.
	EventExpired Event = "expired"
	// EventReleased: a lease was released.
	EventReleased Event = "released"
	// EventOverrun: a Func was still running at a time when another holder may
	// have acquired the job.
	EventOverrun Event = "overrun"
)

// Observer receives events, for instance to count them. It must be safe for
// concurrent use. It is called with locks held: it must not block or call methods of
// the Lease or the Manager.
type Observer interface {
	// LeaseEvent is called once for each event of the job.
	LeaseEvent(job string, event Event)
}

type noObserver struct{}

func (noObserver) LeaseEvent(string, Event) {}
