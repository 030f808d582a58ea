package quarantines

import (
	"context"
	"maps"
	"time"

	"github.com/poplarshore/poplarshore/quarantine"
)

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
