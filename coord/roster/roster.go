package roster

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// servedResolution is the least time between two updates of a member's Served.
const servedResolution = 100 * time.Millisecond

// Options configures a Roster. Self is required.
type Options struct {
	// Self names this process in digests.
	Self     ID
	Policy   Policy
	Rumours  RumourOptions
	Clock    clockwork.Clock
	Observer Observer
}

// Roster holds the records of one process. It is safe for concurrent use.
type Roster struct {
	opts Options

	mu       sync.RWMutex
	records  map[ID]Record
	rumours  *rumours
	listedAt time.Time     // of the newest list
	changed  chan struct{} // holds one token after a new sign
}

// New returns an empty roster.
func New(opts Options) *Roster {
	opts.Policy = opts.Policy.withDefaults()
	opts.Rumours = opts.Rumours.withDefaults()
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}
	if opts.Observer == nil {
		opts.Observer = NopObserver{}
	}
	return &Roster{
		opts:    opts,
		records: make(map[ID]Record),
		rumours: newRumours(opts.Rumours),
		changed: make(chan struct{}, 1),
	}
}

// ListEntry is one member in the platform's list.
type ListEntry struct {
	ID          ID
	Incarnation Incarnation
	Leaving     bool
}

// List takes in the whole of the platform's list, as asked for at the time. A
// list older than one already taken in is ignored.
func (r *Roster) List(at time.Time, entries []ListEntry) {
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
	r.forget()
}

// Served records that the member answered.
func (r *Roster) Served(id ID, incarnation Incarnation) {
	now := r.opts.Clock.Now()
	r.mu.RLock()
	known := r.records[id]
	r.mu.RUnlock()
	current := known.Incarnation == incarnation || incarnation == 0
	if current && known.Served.After(known.Refused) && now.Sub(known.Served) < servedResolution {
		return
	}
	r.observe(Observation{ID: id, Incarnation: incarnation, Kind: Served, At: now})
}

// Refused records that the member's address refused a connection.
func (r *Roster) Refused(id ID) {
	r.observe(Observation{ID: id, Kind: Refused, At: r.opts.Clock.Now()})
}

// Departing records that the member said it is leaving.
func (r *Roster) Departing(id ID, incarnation Incarnation) {
	r.observe(Observation{ID: id, Incarnation: incarnation, Kind: Departing, At: r.opts.Clock.Now()})
}

func (r *Roster) observe(o Observation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.merge(o)
}

// merge updates one record, and queues a sign for the peers if it is news.
func (r *Roster) merge(o Observation) {
	before := r.records[o.ID]
	after := r.opts.Policy.Merge(before, o)
	if after == before {
		return
	}
	r.records[o.ID] = after
	now := r.opts.Clock.Now()
	old, phase := r.opts.Policy.Phase(before, now), r.opts.Policy.Phase(after, now)
	r.report(o, before, after, old, phase)
	news := o.Kind == Departing && before.Departing.IsZero() || o.Kind == Refused && phase != old
	if news {
		if !r.rumours.add(o.ID, o.Kind) {
			r.opts.Observer.Observe(EventSignsDropped)
		}
		r.signal()
	}
}

func (r *Roster) report(o Observation, before, after Record, old, phase Phase) {
	switch {
	case !before.Departing.IsZero() && after.Departing.IsZero():
		r.opts.Observer.Observe(EventReturned)
	case phase == old:
	case phase == Gone:
		r.opts.Observer.Observe(EventGone)
	case o.Kind == Departing:
		r.opts.Observer.Observe(EventDeparting)
	case o.Kind == Refused:
		r.opts.Observer.Observe(EventRefused)
	}
}

func (r *Roster) forget() {
	now := r.opts.Clock.Now()
	for id, record := range r.records {
		if r.opts.Policy.Forgotten(record, now) {
			delete(r.records, id)
			r.opts.Observer.Observe(EventForgotten)
		}
	}
}

func (r *Roster) signal() {
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

// Changed returns a channel that holds a token after a new sign. It has one
// reader, the Gossip.
func (r *Roster) Changed() <-chan struct{} { return r.changed }

// Phase returns the member's standing now.
func (r *Roster) Phase(id ID) Phase {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.opts.Policy.Phase(r.records[id], r.opts.Clock.Now())
}

// Member is one member's standing.
type Member struct {
	ID          ID
	Incarnation Incarnation
	Phase       Phase
}

// Members returns every member, in order of the identities.
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
