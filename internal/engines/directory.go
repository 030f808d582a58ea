package engines

import (
	"log/slog"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/retry"
	"github.com/poplarshore/poplarshore/upstream"
)

// Entry is what an upstream says of itself in the store.
type Entry struct {
	ID      upstream.ID
	Service string
	Address string
	Domain  domain.ID
	// Version is that of the upstream's software and weights.
	Version model.VersionID
	// Capacity is the number of requests that run at once.
	Capacity int
	// Leaving tells that it takes no new work soon.
	Leaving bool
	// Born tells the lives of an upstream with one ID apart.
	Born int64
}

// Options configure a directory.
type Options struct {
	// Region is this VM's.
	Region domain.Region
	// Domain is this VM's.
	Domain domain.ID
	// RegionOf returns the region of a failure domain.
	RegionOf func(domain.ID) domain.Region
	// Return is how long after the store's return a lapsed entry may come back.
	Return time.Duration
	// Placement says how upstreams are chosen.
	Placement Placement
	// OnGone is told the address of an upstream that left.
	OnGone func(address string)
}

// Directory holds the upstreams of all services. It is safe for concurrent use.
type Directory struct {
	opts     Options
	clock    clockwork.Clock
	log      *slog.Logger
	breakers *retry.Breakers
	policies policies

	mu        sync.RWMutex
	byID      map[upstream.ID]*Engine
	byService map[string][]*Engine
	listed    bool
	// out tells that the store does not answer; backAt is when it last did again.
	out    bool
	backAt time.Time
	// lapsed holds the entries that vanished around an outage.
	lapsed map[upstream.ID]bool
}

// New returns an empty directory.
func New(opts Options, clock clockwork.Clock, log *slog.Logger) *Directory {
	opts.Placement.Breaker.OnChange = func(key retry.BreakerKey, state retry.BreakerState) {
		log.Info("circuit breaker", "upstream", key.Upstream, "state", state.String())
	}
	return &Directory{
		opts: opts, clock: clock, log: log,
		breakers:  retry.NewBreakers(opts.Placement.Breaker),
		policies:  newPolicies(opts.Placement),
		byID:      make(map[upstream.ID]*Engine),
		byService: make(map[string][]*Engine),
		lapsed:    make(map[upstream.ID]bool),
	}
}

// Listed tells whether the upstreams were ever read.
func (d *Directory) Listed() bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.listed
}

// Replace takes in a whole listing.
func (d *Directory) Replace(entries []Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.listed = true
	named := make(map[upstream.ID]bool, len(entries))
	for _, e := range entries {
		named[e.ID] = true
		d.put(e)
	}
	for id := range d.byID {
		if !named[id] {
			d.vanish(id)
		}
	}
	d.index()
}

// Put takes in an entry.
func (d *Directory) Put(e Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.put(e)
	d.index()
}

// Remove takes in that an entry vanished.
func (d *Directory) Remove(id upstream.ID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.vanish(id)
	d.index()
}

// Lost takes in that the store does not answer.
func (d *Directory) Lost() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.out = true
}

// Regained takes in that the store answers again.
func (d *Directory) Regained() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.out = false
	d.backAt = d.clock.Now()
}

// Settle drops the lapsed entries whose time to return has passed.
func (d *Directory) Settle() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.lapsed) == 0 || d.unsettled() {
		return
	}
	for id := range d.lapsed {
		d.drop(id, "lapsed")
	}
	clear(d.lapsed)
	d.index()
}

// unsettled tells that entries may be missing for the store's sake.
func (d *Directory) unsettled() bool {
	return d.out || !d.backAt.IsZero() && d.clock.Since(d.backAt) < d.opts.Return
}

func (d *Directory) put(e Entry) {
	delete(d.lapsed, e.ID)
	old := d.byID[e.ID]
	if old == nil || old.entry().Born != e.Born || old.entry().Address != e.Address {
		d.byID[e.ID] = newEngine(e, d)
		d.log.Info("upstream known", "upstream", e.ID, "service", e.Service, "version", e.Version,
			"domain", e.Domain, "leaving", e.Leaving, "born", e.Born)
		return
	}
	if old.entry().Leaving != e.Leaving || old.entry().Version != e.Version {
		d.log.Info("upstream changed", "upstream", e.ID, "service", e.Service, "version", e.Version, "leaving", e.Leaving)
	}
	old.set(e)
}

func (d *Directory) vanish(id upstream.ID) {
	e := d.byID[id]
	if e == nil {
		return
	}
	if d.unsettled() && !e.entry().Leaving {
		d.lapsed[id] = true
		return
	}
	d.drop(id, "entry removed")
}

func (d *Directory) drop(id upstream.ID, why string) {
	e := d.byID[id]
	if e == nil {
		return
	}
	delete(d.byID, id)
	delete(d.lapsed, id)
	d.log.Info("upstream gone", "upstream", id, "service", e.entry().Service, "reason", why)
	if d.opts.OnGone != nil {
		d.opts.OnGone(e.entry().Address)
	}
}

// index lists the upstreams by service. The lists are replaced, not changed,
// so that choices read them without the lock.
func (d *Directory) index() {
	byService := make(map[string][]*Engine, len(d.byService))
	for _, e := range d.byID {
		name := e.entry().Service
		byService[name] = append(byService[name], e)
	}
	d.byService = byService
	d.breakers.Retain(func(key retry.BreakerKey) bool { return d.byID[key.Upstream] != nil })
}

// Of returns the upstreams of a service.
func (d *Directory) Of(service string) []*Engine {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.byService[service]
}

// Burden notes heavy work that another VM sent to an upstream.
func (d *Directory) Burden(id upstream.ID, work time.Duration) {
	d.mu.RLock()
	e := d.byID[id]
	d.mu.RUnlock()
	if e != nil {
		e.Burden(work)
	}
}

// Counts returns the numbers of upstreams by service and state.
func (d *Directory) Counts() map[[2]string]int {
	d.mu.RLock()
	defer d.mu.RUnlock()
	out := make(map[[2]string]int)
	for _, e := range d.byID {
		entry := e.entry()
		state := "ready"
		if entry.Leaving {
			state = "leaving"
		}
		out[[2]string{entry.Service, state}]++
	}
	return out
}
