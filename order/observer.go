package order

// Event is the result of an order, a read or a reconciliation round.
type Event string

// The events of a reconciler.
const (
	// EventSent is an order that the engine accepted.
	EventSent Event = "sent"
	// EventFenced is an order rejected because of its fencing token.
	EventFenced Event = "fenced"
	// EventRefused is an order that the engine refused for another reason.
	EventRefused Event = "refused"
	// EventThrottled is an order whose load the weight store rejected for now.
	EventThrottled Event = "throttled"
	// EventUnknown is an order of unknown outcome.
	EventUnknown Event = "unknown"
	// EventLeaseEnded is an order that was dropped because the lease had ended.
	EventLeaseEnded Event = "not_held"
	// EventReadFailed is a failed read of an engine's state.
	EventReadFailed Event = "unread"
	// EventDesiredUnavailable is a round skipped because the desired state could not be
	// obtained.
	EventDesiredUnavailable Event = "no_desired"
	// EventRound is a completed round.
	EventRound Event = "round"
)

// Observer is notified of events, for instance to count them. It must not block and must
// be safe for concurrent use.
type Observer interface {
	// OrderEvent records one event.
	OrderEvent(event Event)
}

type noObserver struct{}

func (noObserver) OrderEvent(Event) {}
