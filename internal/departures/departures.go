// Package departures stops sending new requests to upstreams that are leaving.
//
// A sign from any VM that an upstream is leaving spreads to all VMs through a
// roster and its gossip, and is applied on receipt. Engines report no incarnation,
// so the roster cannot tell a restarted engine from the departed one. Instead it
// gets a list of the upstreams that this VM sees. A leaving upstream is not listed
// until the VM has read a load report without a sign of leaving that was made more
// than ReturnLag after the roster recorded the upstream as gone. The upstream then
// counts as restarted.
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
	// ReviewPeriod is the time between two calls of Review.
	ReviewPeriod = 10 * time.Second
	// ReturnLag is the minimum time from a departure to a load report that ends
	// it. Earlier reports may lag behind the sign of leaving.
	ReturnLag = 2 * time.Minute
)

// Options configures a Departures. All fields are required.
type Options struct {
	Self vm.ID
	// Directory lists the other VMs for gossip.
	Directory roster.Directory
	// VisibleUpstreams returns the upstreams that this VM sees.
	VisibleUpstreams func() []upstream.ID
	// SetLeaving sets whether an upstream is leaving and gets no new requests.
	SetLeaving func(id upstream.ID, leaving bool)
	Clock      clockwork.Clock
}

// Departures tracks the upstreams that are leaving, as observed by all VMs. It is
// safe for concurrent use.
type Departures struct {
	opts    Options
	roster  *roster.Roster
	gossip  *roster.Gossip
	events  *prometheus.CounterVec
	changed chan struct{} // has one element after a roster event
	applied atomic.Pointer[[]upstream.ID]

	applying sync.Mutex // held during Apply

	mu             sync.Mutex
	stayingReports map[upstream.ID]time.Time // time of the newest load report without a sign of leaving
	settledAt      map[upstream.ID]time.Time // when Review first found the upstream gone in the roster
	unlisted       map[upstream.ID]bool      // upstreams left out of the last list
}

// New returns a Departures and registers its metrics. Nothing runs before Start.
func New(opts Options, registry prometheus.Registerer) *Departures {
	d := &Departures{
		opts: opts, changed: make(chan struct{}, 1),
		events: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "poplarshore", Name: "roster_events_total", Help: "Events of the upstreams' roster, by kind.",
		}, []string{"event"}),
		stayingReports: make(map[upstream.ID]time.Time), settledAt: make(map[upstream.ID]time.Time),
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

// Start starts the gossip, the application of changes and the periodic review.
func (d *Departures) Start(runner *duty.Runner) {
	runner.Start("roster gossip", d.gossip.Run)
	runner.Start("departures", d.run)
	runner.Every("departures review", d.opts.Clock, ReviewPeriod, func(context.Context) { d.Review() })
}

// Gossip returns the gossip that answers the other VMs.
func (d *Departures) Gossip() *roster.Gossip { return d.gossip }

// Observe implements roster.Observer. It counts the event and causes Apply to run.
func (d *Departures) Observe(e roster.Event) {
	d.events.WithLabelValues(string(e)).Inc()
	select {
	case d.changed <- struct{}{}:
	default:
	}
}

// Leaving records that this VM saw a sign that an upstream is leaving.
func (d *Departures) Leaving(id upstream.ID) {
	d.roster.RecordDeparting(roster.ID(id), 0)
}

// Staying records a load report, made at reportedAt, without a sign of leaving.
func (d *Departures) Staying(id upstream.ID, reportedAt time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stayingReports[id] = reportedAt
}

// InForce returns the leaving upstreams to which this VM sends no new requests.
func (d *Departures) InForce() []upstream.ID {
	if ids := d.applied.Load(); ids != nil {
		return *ids
	}
	return nil
}

// run calls Apply after each roster event until ctx ends.
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

// Apply passes to SetLeaving, for each upstream that this VM sees, whether it is
// leaving.
func (d *Departures) Apply() {
	d.applying.Lock()
	defer d.applying.Unlock()
	departed := d.departed()
	for _, id := range d.opts.VisibleUpstreams() {
		_, leaving := slices.BinarySearch(departed, id)
		d.opts.SetLeaving(id, leaving)
	}
	d.applied.Store(&departed)
}

// departed returns the upstreams with a sign of leaving, in sorted order.
func (d *Departures) departed() []upstream.ID {
	var ids []upstream.ID
	for _, id := range d.roster.Leaving() {
		ids = append(ids, upstream.ID(id))
	}
	return ids
}

// Review gives the roster a list of the upstreams that stay or have returned, and
// applies the result.
func (d *Departures) Review() {
	now := d.opts.Clock.Now()
	d.roster.ApplyList(now, d.listEntries(now))
	d.Apply()
}

// listEntries returns the list for the roster and records which of the upstreams that
// this VM sees are left out of it.
func (d *Departures) listEntries(now time.Time) []roster.ListEntry {
	departed := d.departed()
	visible := d.opts.VisibleUpstreams()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.updateSettled(departed, now)
	var entries []roster.ListEntry
	unlisted := make(map[upstream.ID]bool)
	for _, id := range visible {
		_, leaving := slices.BinarySearch(departed, id)
		if leaving && !d.shouldList(id) {
			unlisted[id] = true
			continue
		}
		entries = append(entries, roster.ListEntry{ID: roster.ID(id)})
	}
	d.unlisted = unlisted
	return entries
}

// shouldList reports whether a departed upstream is listed. If the roster does not
// record it as gone although it was left out of the last list, the upstream has never
// been listed. It is then listed once, so that its next absence counts.
func (d *Departures) shouldList(id upstream.ID) bool {
	settledAt, settled := d.settledAt[id]
	if !settled {
		return d.unlisted[id]
	}
	return d.stayingReports[id].After(settledAt.Add(ReturnLag))
}

// updateSettled records since when departed upstreams have been gone in the roster,
// and forgets the times and reports of upstreams that are not departed.
func (d *Departures) updateSettled(departed []upstream.ID, now time.Time) {
	settledAt := make(map[upstream.ID]time.Time)
	stayingReports := make(map[upstream.ID]time.Time)
	for _, id := range departed {
		if at, ok := d.stayingReports[id]; ok {
			stayingReports[id] = at
		}
		if at, ok := d.settledAt[id]; ok {
			settledAt[id] = at
		} else if d.roster.Phase(roster.ID(id)) == roster.Gone {
			settledAt[id] = now
		}
	}
	d.settledAt, d.stayingReports = settledAt, stayingReports
}
