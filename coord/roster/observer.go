package roster

// Event names a kind of event in the roster. The values are metric labels.
type Event string

// The events.
const (
	// EventDeparting is a member that became Leaving because of a Departing observation.
	EventDeparting Event = "departing"
	// EventRefused is a member whose phase changed because its address refused a connection.
	EventRefused Event = "refused"
	// EventReturned is a leaving member replaced by a new run of the same member.
	EventReturned Event = "returned"
	// EventGone is a member that became Gone.
	EventGone Event = "gone"
	// EventForgotten is a record deleted because nothing has shown the member for Policy.Retention.
	EventForgotten Event = "forgotten"
	// EventStaleList is a list ignored because a newer one had been applied.
	EventStaleList Event = "stale_list"
	// EventUpdatesDropped is a new update not queued because the queue was full. A Departing update
	// is still sent in rotation.
	EventUpdatesDropped Event = "signs_dropped"
	// EventExchangeFailed is an exchange to which the peer did not reply.
	EventExchangeFailed Event = "exchange_failed"
	// EventInvalidUpdate is a received update of an unsupported kind, which was ignored.
	EventInvalidUpdate Event = "invalid_sign"
)

// Observer receives events, for metrics.
type Observer interface {
	// Observe counts one event. It must be safe for concurrent use, and must not block or call the
	// Roster: it is called with the Roster's lock held.
	Observe(Event)
}

// NopObserver is an Observer that ignores all events.
type NopObserver struct{}

// Observe implements Observer.
func (NopObserver) Observe(Event) {}
