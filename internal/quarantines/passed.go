package quarantines

import (
	"maps"
	"time"

	"github.com/poplarshore/poplarshore/quarantine"
)

// passedMemory is how long this VM remembers what it passed on.
const passedMemory = 2 * time.Second

// passed holds what this VM has lately passed on to others, so that it passes on only once what
// many VMs report. Times are on the shared clock.
type passed struct {
	// sound maps a key to the time of its sound answer, alive an upstream to when it was seen
	// alive, and crashes an upstream to its last reported end.
	sound          map[quarantine.Key]time.Duration
	alive, crashes map[quarantine.Incarnation]time.Duration
	// suspects maps a suspect to when it was passed on.
	suspects map[passedSuspect]time.Duration
}

// passedSuspect identifies a suspect of a crash.
type passedSuspect struct {
	of quarantine.Incarnation
	// last is the last key of the suspect; zero stands for a crash without suspects.
	last  quarantine.Key
	begun bool
}

func newPassed() passed {
	return passed{
		sound: make(map[quarantine.Key]time.Duration), alive: make(map[quarantine.Incarnation]time.Duration),
		crashes: make(map[quarantine.Incarnation]time.Duration), suspects: make(map[passedSuspect]time.Duration),
	}
}

// passOn queues the evidence of a message in an outbox, without what this VM has passed on
// before. The caller holds mu.
func (g *Guard) passOn(m Message, to *outbox) {
	now, known := g.opts.SharedClock.Now()
	if !known {
		return
	}
	for _, c := range m.Crashes {
		g.passed.crashes[c.Incarnation] = max(g.passed.crashes[c.Incarnation], c.At)
		if rest, anyNew := g.passed.takeNew(c, now); anyNew {
			to.addCrash(rest)
		}
	}
	for _, s := range m.Sound {
		if g.isNewSound(s) {
			g.passed.sound[s.Key] = s.At
			to.addSound(s.Key, s.At, m.Upstream())
		}
	}
	for _, a := range m.Alive {
		if g.isNewAlive(a) {
			g.passed.alive[a.Incarnation] = a.At
			to.addAlive(a)
		}
	}
	g.markUnweighed()
}

// takeNew returns a crash with the suspects that were not passed on within passedMemory, which it
// records as passed on, and whether there is anything to pass on. A crash without suspects is
// passed on as well, because it makes other VMs report theirs.
func (p passed) takeNew(c quarantine.Crash, now time.Duration) (quarantine.Crash, bool) {
	suspects := c.Suspects
	c.Suspects = nil
	if len(suspects) == 0 {
		suspects = []quarantine.Suspect{{}}
	}
	anyNew := false
	for _, s := range suspects {
		id := passedSuspect{of: c.Incarnation, begun: s.Begun}
		if len(s.Keys) > 0 {
			id.last = s.Keys[len(s.Keys)-1]
		}
		if at, told := p.suspects[id]; told && now < at+passedMemory {
			continue
		}
		p.suspects[id], p.suspects[passedSuspect{of: c.Incarnation}] = now, now
		anyNew = true
		if len(s.Keys) > 0 {
			c.Suspects = append(c.Suspects, s)
		}
	}
	return c, anyNew
}

// isNewSound reports whether a sound answer clears its key of a crash that the last answer passed
// on for the key does not clear it of.
func (g *Guard) isNewSound(s Sound) bool {
	last, told := g.passed.sound[s.Key]
	if !told {
		return true
	}
	clearsFrom := s.At
	if suspicion, suspected := g.suspected[s.Key]; suspected {
		clearsFrom = suspicion.crashAt - g.opts.Blame.SoundMemory
	}
	return last < clearsFrom
}

// isNewAlive reports whether a report that an upstream is alive is worth passing on: none was, or
// the last one does not show that the upstream went on after its last reported end.
func (g *Guard) isNewAlive(a Alive) bool {
	last, told := g.passed.alive[a.Incarnation]
	return !told || last < g.passed.crashes[a.Incarnation]+g.opts.Blame.SettleTime
}

// forgetPassed removes what was passed on more than passedMemory ago. The caller holds mu.
func (g *Guard) forgetPassed(now time.Duration) {
	isOver := func(at time.Duration) bool { return at+passedMemory <= now }
	maps.DeleteFunc(g.passed.sound, func(_ quarantine.Key, at time.Duration) bool { return isOver(at + passedMemory) })
	maps.DeleteFunc(g.passed.alive, func(_ quarantine.Incarnation, at time.Duration) bool { return isOver(at) })
	maps.DeleteFunc(g.passed.crashes, func(_ quarantine.Incarnation, at time.Duration) bool { return isOver(at) })
	maps.DeleteFunc(g.passed.suspects, func(_ passedSuspect, at time.Duration) bool { return isOver(at) })
}
