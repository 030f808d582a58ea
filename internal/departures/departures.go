// Package departures keeps new work away from upstreams that leave.
//
// The model: any VM's sign that an upstream is leaving spreads to all VMs through
// a roster and its gossip, and is applied as soon as it comes. Engines
// show no incarnation, so that the roster is given the upstreams in sight as its list: a
// leaving one is not listed until the VM has read a load report, taken
// ReturnLag after the departure was settled, that says nothing of
// leaving. It then counts as a new run.
package departures

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/poplarshore/poplarshore/coord/roster"
	"github.com/poplarshore/poplarshore/internal/duty"
	"github.com/poplarshore/poplarshore/upstream"
	"github.com/poplarshore/poplarshore/vm"
)

const (
	// ReviewPeriod is the time between two reviews.
	ReviewPeriod = 10 * time.Second
	// ReturnLag is the least time from a departure to the load report that ends it.
	ReturnLag = 2 * time.Minute
)

// Options configures Departures. All are required.
type Options struct {
	Self vm.ID
	// Directory reaches the other VMs.
	Directory roster.Directory
	// Sight returns the upstreams in sight of this VM.
	Sight func() []upstream.ID
	// SetLeaving keeps new work away from an upstream, or no longer.
	SetLeaving func(id upstream.ID, leaving bool)
	Clock      clockwork.Clock
}

// Departures holds what the VMs together know of upstreams that leave. It is
// safe for concurrent use.
type Departures struct {
	opts    Options
	roster  *roster.Roster
	gossip  *roster.Gossip
	events  *prometheus.CounterVec
	changed chan struct{} // holds one token after a change of standing
	applied atomic.Pointer[[]upstream.ID]

	applying sync.Mutex // one Apply at a time

	mu       sync.Mutex
	stayed   map[upstream.ID]time.Time // newest load report without a sign of leaving
	gone     map[upstream.ID]time.Time // when a departure was first seen as settled
	unlisted map[upstream.ID]bool      // left out of the last list
}

// New returns departures; nothing runs before Start.
func New(opts Options, registry prometheus.Registerer) *Departures {
	d := &Departures{
		opts: opts, changed: make(chan struct{}, 1),
		events: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "poplarshore", Name: "roster_events_total", Help: "Events of the upstreams' roster, by kind.",
		}, []string{"event"}),
		stayed: make(map[upstream.ID]time.Time), gone: make(map[upstream.ID]time.Time),
	}
	registry.MustRegister(d.events)
	d.roster = roster.New(roster.Options{
		Self: roster.ID(opts.Self), Clock: opts.Clock, Observer: d, Policy: roster.Policy{ListLag: ReturnLag},
	})
	d.gossip = roster.NewGossip(roster.GossipOptions{
		Roster: d.roster, Directory: opts.Directory, Clock: opts.Clock, Observer: d,
	})
	return d
}

// Start starts the duties.
func (d *Departures) Start(runner *duty.Runner) {
	runner.Start("roster gossip", d.gossip.Run)
	runner.Start("departures", d.run)
	runner.Every("departures review", d.opts.Clock, ReviewPeriod, func(context.Context) { d.Review() })
}

// Gossip returns what answers the other VMs.
func (d *Departures) Gossip() *roster.Gossip { return d.gossip }

// Observe implements roster.Observer.
func (d *Departures) Observe(e roster.Event) {
	d.events.WithLabelValues(string(e)).Inc()
	select {
	case d.changed <- struct{}{}:
	default:
	}
}

// Leaving records a sign of leaving seen by this VM.
func (d *Departures) Leaving(id upstream.ID) {
	d.roster.Departing(roster.ID(id), 0)
}

// Staying records a load report without a sign of leaving.
func (d *Departures) Staying(id upstream.ID, taken time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stayed[id] = taken
}

// InForce returns the leaving upstreams that this VM gives no new work.
func (d *Departures) InForce() []upstream.ID {
	if ids := d.applied.Load(); ids != nil {
		return *ids
	}
	return nil
}

// run applies each change of standing at once until ctx ends.
func (d *Departures) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.changed:
			d.Apply()
		}
	}
}

// Apply marks the upstreams in sight as leaving or staying.
func (d *Departures) Apply() {
	d.applying.Lock()
	defer d.applying.Unlock()
	departed := d.departed()
	for _, id := range d.opts.Sight() {
		_, leaving := slices.BinarySearch(departed, id)
		d.opts.SetLeaving(id, leaving)
	}
	d.applied.Store(&departed)
}

// departed returns the upstreams with a sign of leaving, in order.
func (d *Departures) departed() []upstream.ID {
	var ids []upstream.ID
	for _, id := range d.roster.Leaving() {
		ids = append(ids, upstream.ID(id))
	}
	return ids
}

// Review lists the upstreams that stay or are back, and applies the result.
func (d *Departures) Review() {
	now := d.opts.Clock.Now()
	d.roster.List(now, d.list(now))
	d.Apply()
}

func (d *Departures) list(now time.Time) []roster.ListEntry {
	departed := d.departed()
	sight := d.opts.Sight()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.settle(departed, now)
	var entries []roster.ListEntry
	unlisted := make(map[upstream.ID]bool)
	for _, id := range sight {
		_, leaving := slices.BinarySearch(departed, id)
		if leaving && !d.lists(id) {
			unlisted[id] = true
			continue
		}
		entries = append(entries, roster.ListEntry{ID: roster.ID(id)})
	}
	d.unlisted = unlisted
	return entries
}

// lists tells whether a departed upstream is listed. One whose absence did not
// count has never been listed, and is listed once for it to count.
func (d *Departures) lists(id upstream.ID) bool {
	gone, settled := d.gone[id]
	if !settled {
		return d.unlisted[id]
	}
	return d.stayed[id].After(gone.Add(ReturnLag))
}

// settle keeps the times since which departures are settled, and forgets the
// reports of upstreams that are not departed.
func (d *Departures) settle(departed []upstream.ID, now time.Time) {
	gone := make(map[upstream.ID]time.Time)
	stayed := make(map[upstream.ID]time.Time)
	for _, id := range departed {
		if at, ok := d.stayed[id]; ok {
			stayed[id] = at
		}
		if at, ok := d.gone[id]; ok {
			gone[id] = at
		} else if d.roster.Phase(roster.ID(id)) == roster.Gone {
			gone[id] = now
		}
	}
	d.gone, d.stayed = gone, stayed
}
