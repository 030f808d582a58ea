package quarantines

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/poplarshore/poplarshore/internal/watch"
	"github.com/poplarshore/poplarshore/quarantine"
	"github.com/poplarshore/poplarshore/vm"
)

// Clock is the steady (monotonic) clock that all VMs share.
type Clock interface {
	// Now returns the time on the clock, and false while it is not known.
	Now() (time.Duration, bool)
}

// Options configures a Guard. All fields are required.
type Options struct {
	VM vm.ID
	// Table is the name of the table with the row of quarantines.
	Table       string
	Blame       quarantine.Options
	SharedClock Clock
	Writer      watch.Writer
	// Report sends a message to all other VMs, in a large fleet by way of one VM of each region,
	// and Broadcast to the VMs of this VM's region. In a small fleet both send to all others.
	// They must not block.
	Report, Broadcast func(Message)
	// Rank returns the position of this VM among all VMs, from 0, and their number.
	Rank     func() (rank, vms int)
	Clock    clockwork.Clock
	Log      *slog.Logger
	Registry prometheus.Registerer
}

// Guard keeps the requests that crash upstreams away from them. It is safe for concurrent
// use.
type Guard struct {
	opts    Options
	clock   clockwork.Clock
	metrics *metrics
	// idle is set while nothing is held back or kept out.
	idle atomic.Bool

	mu       sync.Mutex
	blame    *quarantine.Blame
	attempts map[quarantine.Incarnation]map[*Attempt]struct{}
	// reports holds what this VM saw, relayed what it passes on to the VMs of its region, and
	// relayedToAll what it passes on to all VMs for VMs of older builds.
	reports, relayed, relayedToAll *outbox
	passed                         passed
	// deferred holds crashes that are not reported yet, of upstreams that were wrongly reported to
	// have ended before, and falseEnds holds those upstreams.
	deferred  map[quarantine.Incarnation]deferredCrash
	falseEnds map[quarantine.Incarnation]falseEnd
	list      quarantine.List
	// held maps the keys that are held back to the time until which they are.
	held map[quarantine.Key]time.Duration
	// unweighed reports whether there is evidence since the last decision.
	unweighed bool
	suspected map[quarantine.Key]suspicion
	row       rowState
	// wake receives a value when there is work for Run.
	wake chan struct{}
}

// New returns a Guard that keeps nothing out.
func New(opts Options) *Guard {
	g := &Guard{
		opts: opts, clock: opts.Clock, metrics: newMetrics(opts.Registry),
		blame: quarantine.NewBlame(opts.Blame), attempts: make(map[quarantine.Incarnation]map[*Attempt]struct{}),
		reports: newOutbox(), relayed: newOutbox(), relayedToAll: newOutbox(), passed: newPassed(),
		deferred: make(map[quarantine.Incarnation]deferredCrash), falseEnds: make(map[quarantine.Incarnation]falseEnd), list: make(quarantine.List), held: make(map[quarantine.Key]time.Duration),
		suspected: make(map[quarantine.Key]suspicion),
		row:       newRowState(), wake: make(chan struct{}, 1),
	}
	g.reports.repeatable = true
	g.idle.Store(true)
	return g
}

// Exclusion tells why a request is not sent.
type Exclusion struct {
	Key quarantine.Key
	// Held reports that the request is only held back until the evidence is clear.
	Held bool
	// RetryAfter is when the caller may come back.
	RetryAfter time.Duration
	// Evidence lists crashes that speak against the key.
	Evidence []quarantine.Evidence
}

// Check returns why a request with the keys must not be sent now, and false if it may be.
func (g *Guard) Check(keys []quarantine.Key) (Exclusion, bool) {
	if g.idle.Load() {
		return Exclusion{}, false
	}
	// While the clock is unknown, only Exclusion.RetryAfter is wrong.
	now, _ := g.opts.SharedClock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, key := range keys {
		if x, excluded := g.check(key, now); excluded {
			return x, true
		}
	}
	return Exclusion{}, false
}

// Excludes reports whether Check would refuse a request with the keys. It uses no permit up and counts nothing.
func (g *Guard) Excludes(keys []quarantine.Key) bool {
	if g.idle.Load() {
		return false
	}
	now, _ := g.opts.SharedClock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.ContainsFunc(keys, func(key quarantine.Key) bool {
		if _, active := g.list.Active(key); active {
			return !g.hasPermit(key)
		}
		return g.held[key] > now
	})
}

// The caller of the following methods holds mu.

func (g *Guard) check(key quarantine.Key, now time.Duration) (Exclusion, bool) {
	if e, active := g.list.Active(key); active {
		if g.usePermit(key) {
			return Exclusion{}, false
		}
		g.metrics.excluded.WithLabelValues("quarantined").Inc()
		g.row.requested[key] = now
		return Exclusion{Key: key, RetryAfter: e.RetryAfter(now), Evidence: e.Evidence}, true
	}
	if until := g.held[key]; until > now {
		g.metrics.excluded.WithLabelValues("held").Inc()
		return Exclusion{Key: key, Held: true, RetryAfter: until - now}, true
	}
	return Exclusion{}, false
}

// Begin registers an attempt of a request with the keys of the shared parts of its prompt,
// in their order, and its own key. End must be called on the result.
func (g *Guard) Begin(of quarantine.Incarnation, keys []quarantine.Key) *Attempt {
	a := &Attempt{guard: g, of: of, keys: keys}
	g.mu.Lock()
	defer g.mu.Unlock()
	there := g.attempts[of]
	if there == nil {
		there = make(map[*Attempt]struct{})
		g.attempts[of] = there
	}
	g.forgetAbandoned(there)
	there[a] = struct{}{}
	return a
}

// forgetAbandoned removes the attempts that were abandoned too long ago to be suspected.
func (g *Guard) forgetAbandoned(attempts map[*Attempt]struct{}) {
	now := g.clock.Now()
	for a := range attempts {
		if !a.endedAt.IsZero() && now.Sub(a.endedAt) > suspectedFor {
			delete(attempts, a)
		}
	}
}

// Sweep forgets abandoned attempts at upstreams that get no more requests. It is to be
// called periodically.
func (g *Guard) Sweep(context.Context) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for of, there := range g.attempts {
		g.forgetAbandoned(there)
		if len(there) == 0 {
			delete(g.attempts, of)
		}
	}
}

func (g *Guard) remove(a *Attempt) {
	there := g.attempts[a.of]
	delete(there, a)
	if len(there) == 0 {
		delete(g.attempts, a.of)
	}
}

// decide weighs the evidence if there is any since the last decision.
func (g *Guard) decide(now time.Duration) {
	if !g.unweighed {
		return
	}
	d := g.blame.Decide(now)
	g.unweighed = d.Unsettled
	for key, until := range d.Held {
		if g.held[key] < now && now < until {
			g.opts.Log.Warn("request held back: upstreams ended under it", "key", key, "hold_ms", (until - now).Milliseconds())
		}
	}
	g.held = d.Held
	for _, v := range d.Found {
		e := quarantine.NewEntry(v, now)
		g.opts.Log.Warn("quarantine: requests crash the upstreams that run them", "key", v.Key, "evidence", e.Evidence)
		g.metrics.found.WithLabelValues(string(v.Key.Kind)).Inc()
		g.install(e)
		g.announceEntry(e)
	}
	g.updateIdle()
}

// install merges an entry into the list.
func (g *Guard) install(e quarantine.Entry) {
	for _, changed := range g.list.Merge(e) {
		if _, noted := g.row.foundAt[changed.Key]; !noted && !g.isStored(changed) {
			g.row.foundAt[changed.Key] = g.clock.Now()
		}
		if changed.Lifted() {
			g.blame.Forget(changed.Key)
			delete(g.held, changed.Key)
			g.opts.Log.Info("quarantine lifted", "key", changed.Key, "by", changed.LiftedBy)
			continue
		}
		g.blame.Find(changed.Key)
		g.opts.Log.Info("quarantine in force", "key", changed.Key, "probes", changed.Probes)
		g.objectTo(changed)
	}
	g.blame.RetainFound(func(key quarantine.Key) bool {
		_, listed := g.list[key]
		return listed
	})
	g.updateIdle()
}

// objectTo lifts a quarantine if this VM knows that an upstream survived such a request
// since the last crash that speaks against it.
func (g *Guard) objectTo(e quarantine.Entry) {
	now, known := g.opts.SharedClock.Now()
	if !known || len(e.Evidence) == 0 || !g.blame.WasSound(e.Key, e.Evidence[len(e.Evidence)-1].At) {
		return
	}
	g.metrics.objections.Inc()
	g.lift(e.Key, now, string(g.opts.VM))
}

// updateIdle records whether any request may have to be kept from an upstream.
func (g *Guard) updateIdle() {
	g.idle.Store(len(g.list) == 0 && len(g.held) == 0)
}
