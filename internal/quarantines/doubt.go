package quarantines

import (
	"time"

	"github.com/poplarshore/poplarshore/quarantine"
)

const (
	// falseEndMemory is how long it is remembered that an upstream went on after it had been
	// reported to have ended. It resets connections, so that further losses say little.
	falseEndMemory = 6 * time.Second
	// minDoubt is how long the next lost attempt at such an upstream is kept back. It doubles
	// with each false end, up to maxDoubt.
	minDoubt = time.Second
	maxDoubt = 4 * time.Second
	// confirmedDoubt is the time after the end that another VM reported in which it may turn
	// out to be false.
	confirmedDoubt = 300 * time.Millisecond
)

// falseEnd is what is known of an upstream that went on after its reported end.
type falseEnd struct {
	// at is the last time that it was seen alive, on the shared clock, and count the number of
	// false ends.
	at    time.Duration
	count int
}

// doubtfulCrash is a crash that is reported at a time unless something comes from the upstream
// before. Times are on the shared clock.
type doubtfulCrash struct {
	quarantine.Crash
	reportAt time.Duration
}

// The caller of the methods in this file holds mu.

// doubt keeps a lost attempt back if the upstream went on after such losses before. It returns
// false if the crash is to be reported at once.
func (g *Guard) doubt(of quarantine.Incarnation, at time.Duration, suspects []quarantine.Suspect) bool {
	e, doubtful := g.falseEnds[of]
	if !doubtful || e.at+falseEndMemory <= at {
		return false
	}
	d, known := g.doubtful[of]
	if !known {
		d.reportAt = at + min(minDoubt<<min(e.count-1, 8), maxDoubt)
	}
	d.Incarnation, d.At = of, at
	if len(d.Suspects) < g.opts.Blame.MaxSuspects {
		d.Suspects = append(d.Suspects, suspects...)
	}
	g.doubtful[of] = d
	g.markUnweighed()
	return true
}

// dismiss drops what was kept back, as something came from the upstream.
func (g *Guard) dismiss(of quarantine.Incarnation, at time.Duration) {
	if d, known := g.doubtful[of]; known && at >= d.At+g.opts.Blame.SettleTime {
		delete(g.doubtful, of)
	}
}

// hasten shortens the doubt as another VM reports the crash.
func (g *Guard) hasten(c quarantine.Crash) {
	if d, known := g.doubtful[c.Incarnation]; known {
		d.reportAt = min(d.reportAt, c.At+confirmedDoubt)
		g.doubtful[c.Incarnation] = d
	}
}

// reportDoubtful reports the crashes that were kept back for long enough.
func (g *Guard) reportDoubtful(now time.Duration) {
	for of, d := range g.doubtful {
		if d.reportAt <= now {
			delete(g.doubtful, of)
			g.reportCrash(of, d.At, d.Suspects)
		}
	}
}

// noteFalseEnd records that an upstream went on after its reported end.
func (g *Guard) noteFalseEnd(of quarantine.Incarnation, at time.Duration) {
	e := g.falseEnds[of]
	g.falseEnds[of] = falseEnd{at: max(e.at, at), count: e.count + 1}
}
