package ledger

import "time"

// Event names something worth counting.
type Event string

// The events.
const (
	EventCommitted     Event = "committed"
	EventCommitRetry   Event = "commit_retry"
	EventSettledByRead Event = "settled_by_read"
	EventBacklogFull   Event = "backlog_full"
	EventPending       Event = "pending"
	EventClosed        Event = "closed"
	EventTaken         Event = "incarnation_taken"
	EventHeld          Event = "held_by_peer"
	EventHoldFailed    Event = "hold_failed"
	EventHolderFull    Event = "holder_full"
	EventHolderWrote   Event = "holder_wrote"
	EventFolded        Event = "folded"
	EventDuplicate     Event = "duplicate"
	EventLate          Event = "late"
	EventReplayed      Event = "replayed"
	EventReclaimed     Event = "reclaimed"
	EventGap           Event = "gap"
	EventCorrupt       Event = "corrupt"
	EventFenced        Event = "fenced"
	EventCompacted     Event = "compacted"
)

// Observer receives measurements. Its methods must not block.
type Observer interface {
	// Observe counts n events.
	Observe(e Event, n int)
	// Persisted reports the time that the store took for one committed segment.
	Persisted(latency time.Duration, entries, bytes int)
}

// NopObserver ignores everything.
type NopObserver struct{}

// Observe implements Observer.
func (NopObserver) Observe(Event, int) {}

// Persisted implements Observer.
func (NopObserver) Persisted(time.Duration, int, int) {}
