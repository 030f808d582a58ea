package quarantines

import (
	"slices"
	"time"

	"github.com/poplarshore/poplarshore/quarantine"
)

// The caller of the methods in this file holds mu.

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
	// crashes are the last crashes that involved the key, newest last.
	crashes []quarantine.Incarnation
}

// maxCrashesOfSuspicion bounds suspicion.crashes.
const maxCrashesOfSuspicion = 8

// suspect notes the keys that VMs may hold a crash against.
func (g *Guard) suspect(c quarantine.Crash) {
	for _, s := range c.Suspects {
		for _, key := range s.Keys {
			known, exists := g.suspected[key]
			if !exists && len(g.suspected) >= maxSuspected {
				continue
			}
			known.crashAt = max(known.crashAt, c.At)
			if !slices.Contains(known.crashes, c.Incarnation) {
				known.crashes = append(known.crashes[max(0, len(known.crashes)-maxCrashesOfSuspicion+1):], c.Incarnation)
			}
			g.suspected[key] = known
		}
	}
}

// announceSound tells the other VMs of a sound answer, if it clears the key of the last crash
// and no VM has told of one that does. Nothing is told if the upstreams have not ended after
// all.
func (g *Guard) announceSound(key quarantine.Key, at time.Duration) {
	s, suspected := g.suspected[key]
	clearsFrom := s.crashAt - g.opts.Blame.SoundMemory
	if !suspected || at < clearsFrom || s.toldAt > 0 && s.toldAt >= clearsFrom {
		return
	}
	s.crashes = slices.DeleteFunc(s.crashes, func(of quarantine.Incarnation) bool { return !g.blame.Knows(of) })
	g.suspected[key] = s
	if len(s.crashes) == 0 {
		return
	}
	g.noteSoundTold(key, at)
	g.reports.addSound(key, at, s.crashes[len(s.crashes)-1].Upstream)
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
	suspects := g.takeSuspects(a.of, a)
	if g.deferCrash(a.of, now, suspects) {
		return
	}
	g.reportCrash(a.of, now, suspects)
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
	slices.SortFunc(suspects, quarantine.Suspect.Compare)
	return suspects
}

// noteAlive records that something came from an upstream, and tells the other VMs if its
// end had been reported.
func (g *Guard) noteAlive(of quarantine.Incarnation) {
	now, known := g.opts.SharedClock.Now()
	if !known {
		return
	}
	g.dropDeferred(of, now)
	if g.blame.RecordAlive(of, now) {
		g.noteFalseEnd(of, now)
		g.reports.addAlive(Alive{Incarnation: of, At: now})
		g.markUnweighed()
	}
}

// reportCrash records a crash and tells the other VMs, with the suspects that are not
// cleared by a sound answer that this VM knows of. Others may have suspects even if this
// VM has none, but they need not be told twice.
func (g *Guard) reportCrash(of quarantine.Incarnation, at time.Duration, suspects []quarantine.Suspect) {
	c := quarantine.Crash{Incarnation: of, At: at}
	for _, s := range suspects {
		if s.Keys = g.uncleared(s.Keys, at); len(s.Keys) > 0 {
			c.Suspects = append(c.Suspects, s)
		}
	}
	told := g.blame.Knows(of)
	if !g.blame.RecordCrash(c) || told && len(c.Suspects) == 0 {
		return
	}
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
