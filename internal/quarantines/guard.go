package quarantines

import (
	"context"
	"log/slog"
	"maps"
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
	// Report sends a message to the VMs that gather evidence, and Broadcast to all others.
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
	// reports holds what this VM saw, and relayed what it passes on to all VMs.
	reports, relayed *outbox
	list             quarantine.List
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
		reports: newOutbox(), relayed: newOutbox(), list: make(quarantine.List), held: make(map[quarantine.Key]time.Duration),
		suspected: make(map[quarantine.Key]suspicion),
		row:       newRowState(), wake: make(chan struct{}, 1),
	}
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

// markSound records that an upstream survived a request from the beginning of its answer,
// and tells the other VMs if they may suspect it.
func (g *Guard) markSound(a *Attempt) {
	a.sound = true
	now, known := g.opts.SharedClock.Now()
	if !known {
		return
	}
	at := now
	if !a.begunAt.IsZero() {
		at -= g.clock.Since(a.begunAt)
	}
	for _, key := range a.keys {
		g.blame.RecordSound(key, at)
		if e, active := g.list.Active(key); active && at > e.Since {
			g.metrics.probes.WithLabelValues("sound").Inc()
			g.lift(key, now, string(g.opts.VM))
			continue
		}
		g.announceSound(key, at)
	}
}

const (
	// suspicionTime is how long after a crash sound answers to its suspects are told.
	suspicionTime = 2 * time.Minute
	// maxSuspected bounds the keys whose sound answers are told.
	maxSuspected = 4096
)

// suspicion is what VMs may hold against a key. Times are on the shared clock.
type suspicion struct {
	// crashAt is the last crash that involved the key, and toldAt the latest begin of a sound
	// answer to it that any VM told all others; zero for none.
	crashAt, toldAt time.Duration
}

// suspect notes the keys that VMs may hold a crash against.
func (g *Guard) suspect(c quarantine.Crash) {
	for _, s := range c.Suspects {
		for _, key := range s.Keys {
			known, exists := g.suspected[key]
			if !exists && len(g.suspected) >= maxSuspected {
				continue
			}
			known.crashAt = max(known.crashAt, c.At)
			g.suspected[key] = known
		}
	}
}

// announceSound tells the other VMs of a sound answer, if it clears the key of the last crash
// and no VM has told of one that does.
func (g *Guard) announceSound(key quarantine.Key, at time.Duration) {
	s, suspected := g.suspected[key]
	clearsFrom := s.crashAt - g.opts.Blame.SoundMemory
	if !suspected || at < clearsFrom || s.toldAt > 0 && s.toldAt >= clearsFrom {
		return
	}
	g.noteSoundTold(key, at)
	g.reports.addSound(key, at)
	g.markUnweighed()
}

// noteSoundTold records that the VMs were told of a sound answer.
func (g *Guard) noteSoundTold(key quarantine.Key, at time.Duration) {
	if s, suspected := g.suspected[key]; suspected {
		s.toldAt = max(s.toldAt, at)
		g.suspected[key] = s
	}
}

// recordLoss records that the connection of an attempt ended. Attempts that this VM has
// just abandoned at the upstream are suspected with it.
func (g *Guard) recordLoss(a *Attempt) {
	now, known := g.opts.SharedClock.Now()
	defer g.remove(a)
	if !known {
		return
	}
	g.metrics.lost.Inc()
	g.reportCrash(a.of, now, g.takeSuspects(a.of, a))
}

// takeSuspects returns the suspects among an attempt that was lost and those that were
// abandoned at its upstream, and removes them.
func (g *Guard) takeSuspects(of quarantine.Incarnation, lost *Attempt) []quarantine.Suspect {
	now := g.clock.Now()
	var suspects []quarantine.Suspect
	for a := range g.attempts[of] {
		if a != lost && a.endedAt.IsZero() {
			continue
		}
		if s, suspected := a.suspect(now); suspected {
			suspects = append(suspects, s)
		}
		g.remove(a)
	}
	return suspects
}

// noteAlive records that something came from an upstream, and tells the other VMs if its
// end had been reported.
func (g *Guard) noteAlive(of quarantine.Incarnation) {
	now, known := g.opts.SharedClock.Now()
	if known && g.blame.RecordAlive(of, now) {
		g.reports.addAlive(Alive{Incarnation: of, At: now})
		g.markUnweighed()
	}
}

// reportCrash records a crash and tells the other VMs, with the suspects that are not
// cleared by a sound answer that this VM knows of. Others may have suspects even if this
// VM has none.
func (g *Guard) reportCrash(of quarantine.Incarnation, at time.Duration, suspects []quarantine.Suspect) {
	c := quarantine.Crash{Incarnation: of, At: at}
	for _, s := range suspects {
		if s.Keys = g.uncleared(s.Keys, at); len(s.Keys) > 0 {
			c.Suspects = append(c.Suspects, s)
		}
	}
	g.blame.RecordCrash(c)
	g.suspect(c)
	g.reports.addCrash(c)
	g.markUnweighed()
}

// uncleared returns the keys without a recent sound answer.
func (g *Guard) uncleared(keys []quarantine.Key, at time.Duration) []quarantine.Key {
	var suspected []quarantine.Key
	for _, key := range keys {
		if !g.blame.WasSound(key, at) {
			suspected = append(suspected, key)
		}
	}
	return suspected
}

// markUnweighed records that there is new evidence.
func (g *Guard) markUnweighed() {
	g.unweighed = true
	select {
	case g.wake <- struct{}{}:
	default:
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

// maxAnnouncers is the number of VMs, by rank, that tell all others of what they found.
const maxAnnouncers = 3

func (g *Guard) announceEntry(e quarantine.Entry) {
	if rank, _ := g.opts.Rank(); rank < maxAnnouncers {
		g.opts.Broadcast(Message{Entries: []quarantine.Entry{e}})
	}
}

// Receive applies a message of another VM.
func (g *Guard) Receive(m Message) {
	if _, known := g.opts.SharedClock.Now(); !known {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range m.Crashes {
		g.blame.RecordCrash(c)
		g.suspect(c)
		g.markUnweighed()
		if own := g.takeSuspects(c.Incarnation, nil); len(own) > 0 {
			g.reportCrash(c.Incarnation, c.At, own)
		}
		g.answerSuspicion(c)
	}
	for _, s := range m.Sound {
		g.blame.RecordSound(s.Key, s.At)
		g.noteSoundTold(s.Key, s.At)
		g.markUnweighed()
	}
	for _, a := range m.Alive {
		g.blame.ReportAlive(a.Incarnation, a.At)
	}
	for _, e := range m.Entries {
		g.install(e)
	}
	if m.ForAll {
		g.passOn(m)
	}
}

// answerSuspicion tells the other VMs which suspects of a crash this VM has lately seen
// answered soundly.
func (g *Guard) answerSuspicion(c quarantine.Crash) {
	for _, s := range c.Suspects {
		for _, key := range s.Keys {
			if at, sound := g.blame.LastSound(key); sound && g.blame.WasSound(key, c.At) {
				g.announceSound(key, at)
			}
		}
	}
}

// passOn queues the evidence of a message for all VMs.
func (g *Guard) passOn(m Message) {
	for _, c := range m.Crashes {
		g.relayed.addCrash(c)
	}
	for _, s := range m.Sound {
		g.relayed.addSound(s.Key, s.At)
	}
	for _, a := range m.Alive {
		g.relayed.addAlive(a)
	}
}

// tickInterval is the time between two steps of Run while there is evidence.
const tickInterval = 20 * time.Millisecond

// Run weighs new evidence and exchanges it with the other VMs until ctx ends.
func (g *Guard) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.wake:
		}
		for more := true; more; more = g.Step() {
			select {
			case <-ctx.Done():
				return
			case <-g.clock.After(tickInterval):
			}
		}
	}
}

// Step weighs new evidence, and sends what the other VMs are to be told. It reports whether
// there is more to do soon. Run calls it as often as needed.
func (g *Guard) Step() bool {
	now, known := g.opts.SharedClock.Now()
	if !known {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.decide(now)
	g.forget(now)
	for _, m := range g.reports.flush(g.clock.Now()) {
		g.opts.Report(m)
	}
	for _, m := range g.relayed.flush(g.clock.Now()) {
		g.opts.Broadcast(m)
	}
	g.metrics.dropped.Add(float64(g.reports.takeDropped() + g.relayed.takeDropped()))
	return g.unweighed || len(g.held) > 0 || !g.reports.isEmpty() || !g.relayed.isEmpty()
}

// forget removes the holds and suspicions that are over.
func (g *Guard) forget(now time.Duration) {
	maps.DeleteFunc(g.suspected, func(_ quarantine.Key, s suspicion) bool { return s.crashAt+suspicionTime <= now })
	maps.DeleteFunc(g.held, func(_ quarantine.Key, until time.Duration) bool { return until <= now })
	g.updateIdle()
}
