package roster

import (
	"math/bits"
	"slices"
	"time"
)

// QueueOptions bounds the traffic and the memory of the updates sent to peers.
type QueueOptions struct {
	// MaxUpdatesPerDigest bounds the updates in one digest. Default 24.
	MaxUpdatesPerDigest int
	// RefreshPerDigest is the maximal number of older Departing updates that are repeated in each
	// digest, in rotation, for processes that missed them or started later. Default 4.
	RefreshPerDigest int
	// RetransmitMultiplier times (2 + the integer part of the binary logarithm of the number of
	// peers) is the number of digests in which a new update is sent. Default 3.
	RetransmitMultiplier int
	// MaxQueued bounds the new updates that wait to be sent. Beyond it, a Departing update is only
	// sent in rotation and a Refused update is not sent. Default 4,096.
	MaxQueued int
}

// Defaults of QueueOptions.
const (
	defaultMaxUpdatesPerDigest  = 24
	defaultRefreshPerDigest     = 4
	defaultRetransmitMultiplier = 3
	defaultMaxQueued            = 4096
)

func (o QueueOptions) withDefaults() QueueOptions {
	o.MaxUpdatesPerDigest = orDefault(o.MaxUpdatesPerDigest, defaultMaxUpdatesPerDigest)
	o.RefreshPerDigest = orDefault(o.RefreshPerDigest, defaultRefreshPerDigest)
	o.RetransmitMultiplier = orDefault(o.RetransmitMultiplier, defaultRetransmitMultiplier)
	o.MaxQueued = orDefault(o.MaxQueued, defaultMaxQueued)
	return o
}

// orDefault returns fallback if value is zero or negative.
func orDefault[T int | time.Duration](value, fallback T) T {
	if value <= 0 {
		return fallback
	}
	return value
}

// queuedUpdate is a new update that is still to be sent.
type queuedUpdate struct {
	id        ID
	kind      Kind
	sendCount int // digests that contained it
}

// updateQueue holds the new updates for the peers, and the rotation of older ones. Roster.mu guards
// it.
type updateQueue struct {
	opts             QueueOptions
	pending          []queuedUpdate
	refreshIDs       []ID // leaving members, whose updates are repeated in rotation
	nextRefreshIndex int  // in refreshIDs
}

func newUpdateQueue(opts QueueOptions) *updateQueue {
	return &updateQueue{opts: opts}
}

// add queues an update, replacing an earlier one about the same member. It reports false if the queue
// is full; a Departing update is then only repeated in rotation.
func (q *updateQueue) add(id ID, kind Kind) bool {
	if kind == Departing && !slices.Contains(q.refreshIDs, id) {
		q.refreshIDs = append(q.refreshIDs, id)
	}
	q.pending = slices.DeleteFunc(q.pending, func(r queuedUpdate) bool { return r.id == id })
	if len(q.pending) >= q.opts.MaxQueued {
		return false
	}
	q.pending = append(q.pending, queuedUpdate{id: id, kind: kind})
	return true
}

// nextBatch returns the new updates for one digest, those sent least often first, and counts them as
// sent. It removes updates that have been sent often enough for the number of peers.
func (q *updateQueue) nextBatch(peers int) []queuedUpdate {
	slices.SortStableFunc(q.pending, func(a, b queuedUpdate) int { return a.sendCount - b.sendCount })
	batch := slices.Clone(q.pending[:min(len(q.pending), q.opts.MaxUpdatesPerDigest)])
	for i := range batch {
		q.pending[i].sendCount++
	}
	limit := q.opts.RetransmitMultiplier * (bits.Len(uint(peers)) + 1)
	q.pending = slices.DeleteFunc(q.pending, func(r queuedUpdate) bool { return r.sendCount >= limit })
	return batch
}

// nextRefresh returns the next leaving members in the rotation, at most count. It removes members
// that are no longer leaving from the rotation.
func (q *updateQueue) nextRefresh(count int, leaving func(ID) bool) []ID {
	var ids []ID
	for range min(count, len(q.refreshIDs)) {
		q.nextRefreshIndex %= len(q.refreshIDs)
		id := q.refreshIDs[q.nextRefreshIndex]
		if leaving(id) {
			ids = append(ids, id)
			q.nextRefreshIndex++
			continue
		}
		q.refreshIDs = slices.Delete(q.refreshIDs, q.nextRefreshIndex, q.nextRefreshIndex+1)
		if len(q.refreshIDs) == 0 {
			break
		}
	}
	return ids
}
