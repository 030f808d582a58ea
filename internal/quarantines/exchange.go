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
		g.opts.Report(Message{Entries: []quarantine.Entry{e}})
	}
}

// Receive applies a message of another VM.
func (g *Guard) Receive(m Message) {
	now, known := g.opts.SharedClock.Now()
	if !known {
		return
	}
	m = m.within(now)
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range m.Crashes {
		if !g.blame.RecordCrash(c) {
			continue
		}
		g.suspect(c)
		g.markUnweighed()
		g.shortenDeferral(c)
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
		g.dropDeferred(a.Incarnation, a.At)
		if g.blame.ReportAlive(a.Incarnation, a.At) {
			g.noteFalseEnd(a.Incarnation, a.At)
		}
	}
	for _, e := range m.Entries {
		g.install(e)
	}
	switch {
	case m.ForAll:
		g.passOn(m, g.relayedToAll)
	case m.Spread.Region:
		g.passOn(m, g.relayed)
		if len(m.Entries) > 0 {
			g.opts.Broadcast(Message{Entries: m.Entries})
		}
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
	g.reportDeferred(now)
	g.reports.dropRepeats(func(c quarantine.Crash) bool { return !g.blame.Knows(c.Incarnation) })
	more := g.unweighed || len(g.held) > 0 || len(g.deferred) > 0
	g.flush(g.reports, now, g.opts.Report)
	g.flush(g.relayed, now, g.opts.Broadcast)
	g.flush(g.relayedToAll, now, g.opts.Report)
	return more || !g.reports.isEmpty() || !g.relayed.isEmpty() || !g.relayedToAll.isEmpty()
}

// flush sends the messages of an outbox that are due. The caller holds mu.
func (g *Guard) flush(o *outbox, now time.Duration, send func(Message)) {
	for _, m := range o.flush(g.clock.Now()) {
		m.Turn += 2 * int64(now/turnTime)
		send(m)
	}
	g.metrics.dropped.Add(float64(o.takeDropped()))
}

// turnTime is the time for which messages about an upstream are passed on by the same VMs.
const turnTime = 10 * time.Second

// forget removes the holds, suspicions, false ends and records of passing on that are over.
func (g *Guard) forget(now time.Duration) {
	maps.DeleteFunc(g.suspected, func(_ quarantine.Key, s suspicion) bool { return s.crashAt+suspicionTime <= now })
	maps.DeleteFunc(g.held, func(_ quarantine.Key, until time.Duration) bool { return until <= now })
	maps.DeleteFunc(g.falseEnds, func(_ quarantine.Incarnation, e falseEnd) bool { return e.at+falseEndMemory <= now })
	g.forgetPassed(now)
	g.updateIdle()
}
