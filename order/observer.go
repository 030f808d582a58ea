package order

// Event is something that happened to an order or a round.
type Event string

// The events.
const (
	// EventSent is an order that its engine took.
	EventSent Event = "sent"
	// EventFenced is an order refused for its fencing token.
	EventFenced Event = "fenced"
	// EventRefused is an order that its engine did not take.
	EventRefused Event = "refused"
	// EventThrottled is an order that the weight store held up.
	EventThrottled Event = "throttled"
	// EventUnknown is an order of unknown outcome.
	EventUnknown Event = "unknown"
	// EventNotHeld is an order dropped because the lease had ended.
	EventNotHeld Event = "not_held"
	// EventUnread is a state that could not be read.
	EventUnread Event = "unread"
	// EventNoDesired is a round without the desired state.
	EventNoDesired Event = "no_desired"
	// EventRound is a round that went through.
	EventRound Event = "round"
)

// Observer is told of events, for counters. It must not block.
type Observer interface {
	// OrderEvent records one event.
	OrderEvent(event Event)
}

type noObserver struct{}

func (noObserver) OrderEvent(Event) {}
