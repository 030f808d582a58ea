package roster

// Event names something worth counting.
type Event string

// The events.
const (
	EventDeparting      Event = "departing"
	EventRefused        Event = "refused"
	EventReturned       Event = "returned"
	EventGone           Event = "gone"
	EventForgotten      Event = "forgotten"
	EventStaleList      Event = "stale_list"
	EventSignsDropped   Event = "signs_dropped"
	EventExchangeFailed Event = "exchange_failed"
	EventInvalidSign    Event = "invalid_sign"
)

// Observer receives events. Its method must not block.
type Observer interface {
	Observe(Event)
}

// NopObserver ignores every event.
type NopObserver struct{}

// Observe implements Observer.
func (NopObserver) Observe(Event) {}
