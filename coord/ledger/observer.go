package ledger

import "time"

// Event names a kind of event in the ledger. The values are metric labels.
type Event string

// The events. Unless noted otherwise, each is counted once per occurrence.
const (
	// EventCommitted counts the entries of segments that a Writer committed.
	EventCommitted Event = "committed"
	// EventCommitRetry is a failed attempt of a Writer to commit a segment, which it will repeat.
	EventCommitRetry Event = "commit_retry"
	// EventSettledByRead is a segment that a Writer found in the store, with its own bytes, after
	// the reply to an earlier attempt was lost or a Holder had written it.
	EventSettledByRead Event = "settled_by_read"
	// EventBacklogFull is an Append rejected with ErrBacklogFull.
	EventBacklogFull Event = "backlog_full"
	// EventPending is an Append, Flush or Close that returned ErrPending.
	EventPending Event = "pending"
	// EventClosed is an Append rejected with ErrClosed.
	EventClosed Event = "closed"
	// EventIncarnationTaken is a segment that can't be committed because its key holds other bytes,
	// seen by a Writer, which then stops, or by a Holder, which drops its copy.
	EventIncarnationTaken Event = "incarnation_taken"
	// EventHeldByPeer is a segment copied to another VM's Holder.
	EventHeldByPeer Event = "held_by_peer"
	// EventHoldFailed is a failed attempt to copy a segment to another VM's Holder.
	EventHoldFailed Event = "hold_failed"
	// EventHolderFull is a copy rejected by this process's Holder with ErrBacklogFull.
	EventHolderFull Event = "holder_full"
	// EventHolderWrote is a segment of another process committed by this process's Holder.
	EventHolderWrote Event = "holder_wrote"
	// EventFolded counts entries added to the totals.
	EventFolded Event = "folded"
	// EventDuplicate counts entries whose request ID had been counted before.
	EventDuplicate Event = "duplicate"
	// EventLate counts entries that arrived after the retention and were stored for an operator.
	EventLate Event = "late"
	// EventReplayed is a segment that reappeared after it had been settled and was ignored.
	EventReplayed Event = "replayed"
	// EventReclaimed is a settled segment deleted from the object store.
	EventReclaimed Event = "reclaimed"
	// EventGap counts sequence numbers newly found missing.
	EventGap Event = "gap"
	// EventCorrupt is a segment that can't be decoded. It stays in the store, and each pass counts
	// it again.
	EventCorrupt Event = "corrupt"
	// EventUnreadable counts entries that can't be decoded or that no writer accepts. They were stored
	// for an operator, under the key prefix "unreadable/".
	EventUnreadable Event = "unreadable"
	// EventFenced is a settler call that ended with ErrFenced.
	EventFenced Event = "fenced"
	// EventCompacted is a bucket row added to its account's total row.
	EventCompacted Event = "compacted"
)

// Observer receives events and measurements, for metrics. Its methods must be safe for concurrent
// use and must not block or call back into the ledger: some are called with a lock held.
type Observer interface {
	// Observe counts n events of one kind; n may be zero.
	Observe(e Event, n int)
	// Persisted reports one committed segment: the time from the first attempt to the commit, the
	// number of entries, and the size of the segment in bytes.
	Persisted(latency time.Duration, entries, bytes int)
}

// NopObserver is an Observer that ignores all events and measurements.
type NopObserver struct{}

// Observe implements Observer.
func (NopObserver) Observe(Event, int) {}

// Persisted implements Observer.
func (NopObserver) Persisted(time.Duration, int, int) {}
