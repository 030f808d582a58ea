package roster

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// minServedInterval is the minimal time between two updates of a member's LastServed while nothing
// else about the member changes. It keeps most calls of RecordServed off the write lock.
const minServedInterval = 100 * time.Millisecond

// Options configures a Roster. Self is required.
type Options struct {
	// Self identifies this process in digests.
	Self ID
	// Policy determines how observations are judged. Its zero fields have defaults.
	Policy Policy
	// Queue bounds the updates sent to peers. Its zero fields have defaults.
	Queue QueueOptions
	// Clock defaults to the real clock.
	Clock clockwork.Clock
	// Observer defaults to NopObserver.
	Observer Observer
}

// Roster holds one process's records of all members. It is safe for concurrent use.
type Roster struct {
	opts Options

	mu       sync.RWMutex
	records  map[ID]Record
	queue    *updateQueue
	listedAt time.Time     // time of the newest list
	changed  chan struct{} // buffers one signal that a new update is queued
}

// New returns an empty roster. It runs nothing by itself; see Gossip.
func New(opts Options) *Roster {
	opts.Policy = opts.Policy.withDefaults()
	opts.Queue = opts.Queue.withDefaults()
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}
	if opts.Observer == nil {
		opts.Observer = NopObserver{}
	}
	return &Roster{
		opts:    opts,
		records: make(map[ID]Record),
		queue:   newUpdateQueue(opts.Queue),
		changed: make(chan struct{}, 1),
	}
}

// ListEntry is one member in the platform's list.
type ListEntry struct {
	ID          ID
	Incarnation Incarnation // zero if unknown
	Leaving     bool        // the list shows the member as leaving
}

// ApplyList applies the platform's complete list, which was requested at the given time: known members
// that it does not contain count as absent. A list no newer than one already applied is ignored.
// ApplyList also deletes expired records, so call it periodically.
func (r *Roster) ApplyList(at time.Time, entries []ListEntry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !at.After(r.listedAt) {
		r.opts.Observer.Observe(EventStaleList)
		return
	}
	r.listedAt = at
	present := make(map[ID]bool, len(entries))
	for _, e := range entries {
		present[e.ID] = true
		r.merge(Observation{ID: e.ID, Incarnation: e.Incarnation, Kind: Listed, At: at})
		if e.Leaving {
			r.merge(Observation{ID: e.ID, Incarnation: e.Incarnation, Kind: Departing, At: at})
		}
	}
	for _, id := range slices.Sorted(maps.Keys(r.records)) {
		if !present[id] {
			r.merge(Observation{ID: id, Kind: Absent, At: at})
		}
	}
	r.removeExpired()
}

// RecordServed records that the member has answered a request. Incarnation is zero if unknown. It is
// cheap enough to be called for every answer: within 100 ms of the last one it usually only takes a
// read lock.
func (r *Roster) RecordServed(id ID, incarnation Incarnation) {
	now := r.opts.Clock.Now()
	r.mu.RLock()
	record := r.records[id]
	r.mu.RUnlock()
	sameRun := record.Incarnation == incarnation || incarnation == 0
	if sameRun && record.LastServed.After(record.LastRefused) && now.Sub(record.LastServed) < minServedInterval {
		return
	}
	r.observe(Observation{ID: id, Incarnation: incarnation, Kind: Served, At: now})
}

// RecordRefused records that the member's address refused a connection. If this makes the member
// suspect, the update is sent to the peers.
func (r *Roster) RecordRefused(id ID) {
	r.observe(Observation{ID: id, Kind: Refused, At: r.opts.Clock.Now()})
}

// RecordDeparting records that the member said that it is leaving, and sends the update to the peers if it
// is new. Incarnation is zero if unknown. Leaving can't be undone within one incarnation.
func (r *Roster) RecordDeparting(id ID, incarnation Incarnation) {
	r.observe(Observation{ID: id, Incarnation: incarnation, Kind: Departing, At: r.opts.Clock.Now()})
}

// observe merges an observation made by this process.
func (r *Roster) observe(o Observation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.merge(o)
}

// merge updates one record, and queues an update for the peers if the observation is new to this
// process: the first one of kind Departing, or one of kind Refused that changes the phase. The caller
// holds r.mu.
func (r *Roster) merge(o Observation) {
	before := r.records[o.ID]
	after := r.opts.Policy.Merge(before, o)
	if after == before {
		return
	}
	r.records[o.ID] = after
	now := r.opts.Clock.Now()
	oldPhase, phase := r.opts.Policy.Phase(before, now), r.opts.Policy.Phase(after, now)
	r.observeChange(o, before, after, oldPhase, phase)
	isNew := o.Kind == Departing && before.DepartingSince.IsZero() || o.Kind == Refused && phase != oldPhase
	if isNew {
		if !r.queue.add(o.ID, o.Kind) {
			r.opts.Observer.Observe(EventUpdatesDropped)
		}
		r.notifyChanged()
	}
}

// observeChange reports a changed record to the observer.
func (r *Roster) observeChange(o Observation, before, after Record, oldPhase, phase Phase) {
	switch {
	case !before.DepartingSince.IsZero() && after.DepartingSince.IsZero():
		r.opts.Observer.Observe(EventReturned)
	case phase == oldPhase:
	case phase == Gone:
		r.opts.Observer.Observe(EventGone)
	case o.Kind == Departing:
		r.opts.Observer.Observe(EventDeparting)
	case o.Kind == Refused:
		r.opts.Observer.Observe(EventRefused)
	}
}

// removeExpired deletes the expired records. The caller holds r.mu.
func (r *Roster) removeExpired() {
	now := r.opts.Clock.Now()
	for id, record := range r.records {
		if r.opts.Policy.Expired(record, now) {
			delete(r.records, id)
			r.opts.Observer.Observe(EventForgotten)
		}
	}
}

// notifyChanged signals on the channel of Changed, unless a signal is pending.
func (r *Roster) notifyChanged() {
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

// Changed returns a channel that receives after new updates have been queued for the peers; several
// updates may share one signal. It supports one reader, which is the Gossip.
func (r *Roster) Changed() <-chan struct{} { return r.changed }

// Phase returns the member's phase now, or Unknown for an unknown member.
func (r *Roster) Phase(id ID) Phase {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.opts.Policy.Phase(r.records[id], r.opts.Clock.Now())
}

// Member is one member with its phase.
type Member struct {
	ID          ID
	Incarnation Incarnation
	Phase       Phase
}

// Members returns every known member, in order of the IDs, with its phase now.
func (r *Roster) Members() []Member {
	r.mu.RLock()
	defer r.mu.RUnlock()
	now := r.opts.Clock.Now()
	members := make([]Member, 0, len(r.records))
	for _, id := range slices.Sorted(maps.Keys(r.records)) {
		record := r.records[id]
		members = append(members, Member{id, record.Incarnation, r.opts.Policy.Phase(record, now)})
	}
	return members
}
