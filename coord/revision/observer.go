package revision

// Event names something worth counting.
type Event string

// The events.
const (
	EventAccepted        Event = "accepted"
	EventConflict        Event = "conflict"
	EventUnknown         Event = "unknown"
	EventUnavailable     Event = "unavailable"
	EventProposeRetry    Event = "propose_retry"
	EventInstalled       Event = "installed"
	EventInstallRefused  Event = "install_refused"
	EventPollFailed      Event = "poll_failed"
	EventExchangeFailed  Event = "exchange_failed"
	EventFetchFailed     Event = "fetch_failed"
	EventAnnounceSkipped Event = "announce_skipped"
	EventFollowSkipped   Event = "follow_skipped"
)

// Observer receives events. Its method must not block.
type Observer interface {
	Observe(Event)
}

// NopObserver ignores every event.
type NopObserver struct{}

// Observe implements Observer.
func (NopObserver) Observe(Event) {}
