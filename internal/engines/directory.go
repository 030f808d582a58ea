package engines

import (
	"log/slog"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/retry"
	"github.com/poplarshore/poplarshore/upstream"
)

// Entry is an upstream's registration in the store.
type Entry struct {
	ID      upstream.ID
	Service string
	// Address is the upstream's host:port.
	Address string
	Domain  domain.ID
	// Version is the version of the upstream's software and weights.
	Version model.VersionID
	// Capacity is the number of requests that the upstream runs at once; zero if
	// unknown.
	Capacity int
	// Leaving reports whether the upstream is draining and will soon accept no
	// new requests.
	Leaving bool
	// Incarnation is the start time of the upstream in Unix milliseconds, zero if
	// unknown. It distinguishes the incarnations of an upstream with the same ID.
	Incarnation int64
	// ColdFor is how long the upstream stays cold, counted from when the entry was written.
	ColdFor time.Duration
}

// Clock is the steady (monotonic) clock that all VMs share.
type Clock interface {
	// Now returns the time on the clock, and false while it is not known.
	Now() (time.Duration, bool)
}

// Options configures a Directory.
type Options struct {
	// Region is the region of this VM.
	Region domain.Region
	// Domain is the failure domain of this VM.
	Domain domain.ID
	// RegionOf returns the region of a failure domain.
	RegionOf func(domain.ID) domain.Region
	// ReregistrationGrace is how long a lapsed entry is kept after the store is available
	// again, so that its upstream can register again.
	ReregistrationGrace time.Duration
	// Placement configures how upstreams are selected.
	Placement Placement
	// AnswerEnd makes the selection regard when answers end; see Requirements.Answer.
	AnswerEnd bool
	// ShareReports makes this VM tell others of its region what upstreams reported, and use
	// what they tell; see SharedReports and MergeReports.
	ShareReports bool
	// SharedClock is the clock that all VMs share. Rank returns the position of this VM
	// among all VMs, from 0, and their number. By both the VMs divide the limits that
	// upstreams name.
	SharedClock Clock
	Rank        func() (rank, vms int)
	// VMsKnown reports whether the list of VMs behind Rank is known; nil if it always is. Without
	// it nothing is sent to cold upstreams.
	VMsKnown func() bool
	// ColdBound bounds what all VMs together send a cold upstream.
	ColdBound ColdBound
	// SlowStart enables that upstreams which have started or recovered get fewer requests than
	// their peers until they answer like them.
	SlowStart bool
	// OnCold is called when an upstream is found to be cold for a time, or to have ended if the
	// time is zero, at most once in coldHintInterval for the same upstream. It must not block or
	// call the Directory. Nil is not called.
	OnCold func(u upstream.Upstream, coldFor time.Duration)
	// OnLimit is called when an answer names another limit than before, in requests per
	// second, zero for none; nil is not called.
	OnLimit func(u upstream.Upstream, perSecond float64)
	// OnFragile is called when an answer tells that the upstreams of a service end if they
	// have to reject requests, or don't any more; OnRejected when one of them rejected one. Nil
	// is not called.
	OnFragile  func(u upstream.Upstream, fragile bool)
	OnRejected func(u upstream.Upstream)
	// IsVM reports whether an address is one at which a VM listens; nil for none. It is called with
	// the directory locked. RefreshAddresses is to be called when it changes.
	IsVM func(netip.AddrPort) bool
	// Registry registers the directory's metrics.
	Registry prometheus.Registerer
	// OnRemove is called with the address of an upstream that was removed, unless another one
	// has the address; nil is not called. It is called with the directory locked.
	OnRemove func(address string)
}

// Directory holds the upstreams of all services. It is safe for concurrent use.
// Changes of the store's entries are applied with Replace, Put and Remove.
type Directory struct {
	opts     Options
	clock    clockwork.Clock
	log      *slog.Logger
	breakers *retry.Breakers
	policies policies
	// selfReports counts what upstreams report of themselves in their answers.
	selfReports *prometheus.CounterVec
	// excluded counts the entries that name no upstream because of their address, by cause.
	excluded *prometheus.CounterVec
	cold     *coldUpstreams
	// slow is nil if slow starts are off.
	slow *slowStarts

	// fragile holds the services whose upstreams are fragile. fragileMu may be locked with mu or
	// the mutex of an engine held.
	fragileMu sync.RWMutex
	fragile   map[string]fragileService

	// evacuated holds the evacuated failure domains. The map is replaced, not changed.
	evacuated atomic.Pointer[map[domain.ID]bool]
	// paces holds what is known of the pace of each service. paceMu is never held while another
	// mutex is locked.
	paceMu sync.RWMutex
	paces  map[string]*servicePace

	mu        sync.RWMutex
	byID      map[upstream.ID]*Engine
	byService map[string][]*Engine
	// byAddress holds the upstreams in byID by the address of their entry.
	byAddress map[string][]*Engine
	// sizes holds the number of upstreams of each service. It is read without mu.
	sizes  atomic.Pointer[map[string]int]
	listed bool
	// storeDown reports whether the store is unavailable; storeUpAt is when it last
	// became available again.
	storeDown bool
	storeUpAt time.Time
	// lapsed holds the entries that disappeared during or shortly after an
	// outage.
	lapsed map[upstream.ID]bool
	// removed holds the upstreams that were removed lately.
	removed map[upstream.ID]removal
	// withheld holds the entries of removed upstreams that reappeared when the store
	// was restored from an older copy.
	withheld map[upstream.ID]withheldEntry
	// discarded holds the upstreams whose entries became invalid lately.
	discarded map[upstream.ID]discarded
}

// New returns an empty directory.
func New(opts Options, clock clockwork.Clock, log *slog.Logger) *Directory {
	opts.Placement.Breaker.OnChange = func(key retry.BreakerKey, state retry.BreakerState) {
		log.Info("circuit breaker", "upstream", key.Upstream, "state", state.String())
	}
	selfReports := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "poplarshore_upstream_self_reports_total",
		Help: "What upstreams report of themselves in their answers: leaving, paused for a while, or limited.",
	}, []string{"report"})
	excluded := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "poplarshore_upstream_entries_excluded_total",
		Help: "Entries of upstreams that were found to name none: they have a VM's address, or one at which another upstream answers.",
	}, []string{"cause"})
	opts.Registry.MustRegister(selfReports, excluded)
	d := &Directory{
		opts: opts, clock: clock, log: log, selfReports: selfReports, excluded: excluded, cold: newColdUpstreams(opts.Registry),
		breakers:  retry.NewBreakers(opts.Placement.Breaker),
		policies:  newPolicies(opts.Placement, opts.AnswerEnd, opts.AnswerEnd || opts.ShareReports),
		fragile:   make(map[string]fragileService),
		paces:     make(map[string]*servicePace),
		byID:      make(map[upstream.ID]*Engine),
		byService: make(map[string][]*Engine),
		byAddress: make(map[string][]*Engine),
		lapsed:    make(map[upstream.ID]bool),
		removed:   make(map[upstream.ID]removal),
		withheld:  make(map[upstream.ID]withheldEntry),
		discarded: make(map[upstream.ID]discarded),
	}
	d.sizes.Store(&map[string]int{})
	d.evacuated.Store(&map[domain.ID]bool{})
	d.slow = newSlowStarts(d)
	opts.Registry.MustRegister(slowStartGauge(d))
	return d
}

// Listed reports whether the list of upstreams has been read at least once.
func (d *Directory) Listed() bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.listed
}

// Replace sets the entries to a complete list; entries that are not in it are
// handled like those given to Remove.
func (d *Directory) Replace(entries []Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	present := make(map[upstream.ID]bool, len(entries))
	for _, e := range entries {
		present[e.ID] = true
		d.put(e)
	}
	d.listed = true
	d.removeAbsent(present)
	d.rebuildIndex()
}

// removeAbsent removes the entries that are not present. The caller holds mu.
func (d *Directory) removeAbsent(present map[upstream.ID]bool) {
	for id := range d.withheld {
		if !present[id] {
			delete(d.withheld, id)
		}
	}
	for id := range d.byID {
		if !present[id] {
			d.removeEntry(id)
		}
	}
}

// Put adds or updates an entry.
func (d *Directory) Put(e Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.put(e)
	d.rebuildIndex()
}

// Remove handles the deletion of an entry: the upstream is removed, or kept as
// lapsed if the deletion may be due to an outage of the store.
func (d *Directory) Remove(id upstream.ID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.removeEntry(id)
	d.rebuildIndex()
}

// MarkStoreDown records that this VM can't read the store.
func (d *Directory) MarkStoreDown() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.storeDown = true
}

// MarkStoreUp records that the store is available again.
func (d *Directory) MarkStoreUp() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.storeDown = false
	d.storeUpAt = d.clock.Now()
}

// MarkStoreReached records that this VM reads the store again, which has been available to other
// VMs meanwhile. Entries that are missing were removed, and did not expire.
func (d *Directory) MarkStoreReached() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.storeDown = false
}

// ExpireLapsed removes the lapsed entries once Options.ReregistrationGrace has passed since the
// store became available again, and adds the withheld entries whose time has passed. It also
// updates since when the list of VMs has been known. It is to be called periodically.
func (d *Directory) ExpireLapsed() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.followVMs()
	d.releaseWithheld()
	d.forgetDiscarded()
	if len(d.lapsed) == 0 || d.inOutageGrace() {
		return
	}
	for id := range d.lapsed {
		d.evict(id, "lapsed")
	}
	clear(d.lapsed)
	d.rebuildIndex()
}

// inOutageGrace reports whether entries may be missing because of an outage of
// the store.
func (d *Directory) inOutageGrace() bool {
	return d.storeDown || !d.storeUpAt.IsZero() && d.clock.Since(d.storeUpAt) < d.opts.ReregistrationGrace
}

// put adds or updates an entry. A new incarnation or address starts with fresh
// state. The caller holds mu, as for removeEntry, evict and rebuildIndex.
func (d *Directory) put(e Entry) {
	delete(d.lapsed, e.ID)
	delete(d.withheld, e.ID)
	old := d.byID[e.ID]
	if old == nil && d.refuseRemoved(e) {
		return
	}
	if old == nil {
		old = d.readopt(e)
	}
	if old == nil || old.entry().Incarnation != e.Incarnation || old.entry().Address != e.Address {
		if old != nil {
			old.removed.Store(true)
			d.detach(old)
		}
		d.byID[e.ID] = newEngine(e, d)
		d.attach(d.byID[e.ID])
		d.byID[e.ID].inheritSends(old)
		d.byID[e.ID].learnCold(e, true, !d.listed)
		if d.listed {
			d.byID[e.ID].beginSlowStart("new_entry")
		}
		d.log.Info("upstream registered", "upstream", e.ID, "service", e.Service, "version", e.Version,
			"domain", e.Domain, "leaving", e.Leaving, "born", e.Incarnation)
		return
	}
	if old.entry().Leaving != e.Leaving || old.entry().Version != e.Version {
		d.log.Info("upstream entry changed", "upstream", e.ID, "service", e.Service,
			"version", e.Version, "leaving", e.Leaving)
	}
	if *old.entry() != e {
		old.learnCold(e, false, false)
	}
	old.missing.Store(false)
	old.set(e)
}

// removeEntry evicts an upstream, or marks it as lapsed during an outage unless it
// is leaving.
func (d *Directory) removeEntry(id upstream.ID) {
	delete(d.withheld, id)
	e := d.byID[id]
	if e == nil {
		return
	}
	if d.inOutageGrace() && !e.Leaving() {
		d.keepLapsed(e)
		return
	}
	d.evict(id, "entry removed")
}

// keepLapsed keeps an upstream whose entry may have expired during an outage.
func (d *Directory) keepLapsed(e *Engine) {
	d.lapsed[e.ID()] = true
	if e.missing.CompareAndSwap(false, true) {
		d.log.Info("upstream entry is missing, kept until the end of the outage's grace period", "upstream", e.ID(),
			"service", e.entry().Service, "store_down", d.storeDown)
	}
}

// evict removes an upstream and reports its address to Options.OnRemove, unless another one has it.
func (d *Directory) evict(id upstream.ID, reason string) {
	e := d.byID[id]
	if e == nil {
		return
	}
	e.removed.Store(true)
	delete(d.byID, id)
	d.detach(e)
	delete(d.lapsed, id)
	d.removed[id] = removal{incarnation: e.entry().Incarnation, leaving: e.Leaving(), at: d.clock.Now()}
	d.log.Info("upstream removed", "upstream", id, "service", e.entry().Service, "reason", reason)
	if address := e.Address(); d.opts.OnRemove != nil && len(d.byAddress[address]) == 0 {
		d.opts.OnRemove(address)
	}
}

// rebuildIndex lists the upstreams by service. It replaces the lists instead of
// changing them, so that Choose can read them without the lock.
func (d *Directory) rebuildIndex() {
	byService := make(map[string][]*Engine, len(d.byService))
	for _, e := range d.byID {
		if exclusion(e.excluded.Load()) != notExcluded {
			continue
		}
		name := e.entry().Service
		byService[name] = append(byService[name], e)
	}
	d.byService = byService
	sizes := make(map[string]int, len(byService))
	for name, engines := range byService {
		sizes[name] = len(engines)
	}
	d.sizes.Store(&sizes)
	d.breakers.Retain(func(key retry.BreakerKey) bool { return d.byID[key.Upstream] != nil })
}

// ForService returns the upstreams of a service. The slice must not be changed.
func (d *Directory) ForService(service string) []*Engine {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.byService[service]
}

// sharedTime returns the time on the clock that all VMs share; the local time while that is
// not known.
func (d *Directory) sharedTime(now time.Time) time.Duration {
	if shared, known := d.opts.SharedClock.Now(); known {
		return shared
	}
	return time.Duration(now.UnixNano())
}

// find returns the upstream with an ID, or nil.
func (d *Directory) find(id upstream.ID) *Engine {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.byID[id]
}

// ForgetFailures forgets what speaks against the upstreams of a service: their recent
// failures and silence. It is called when this VM's way to them had been lost.
func (d *Directory) ForgetFailures(service string) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	for _, e := range d.byService[service] {
		e.forgetFailures()
	}
	d.breakers.Retain(func(key retry.BreakerKey) bool {
		e := d.byID[key.Upstream]
		return e != nil && e.entry().Service != service
	})
}

// Counts returns the number of upstreams by service and state, which is "ready", "leaving", or
// "excluded" because of the entry's address.
func (d *Directory) Counts() map[[2]string]int {
	d.mu.RLock()
	defer d.mu.RUnlock()
	counts := make(map[[2]string]int)
	for _, e := range d.byID {
		entry := e.entry()
		state := "ready"
		switch {
		case exclusion(e.excluded.Load()) != notExcluded:
			state = "excluded"
		case e.Leaving():
			state = "leaving"
		}
		counts[[2]string{entry.Service, state}]++
	}
	return counts
}
