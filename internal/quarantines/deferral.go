package quarantines

import (
	"maps"
	"slices"
	"time"

	"github.com/poplarshore/poplarshore/quarantine"
)

const (
	// falseEndMemory is how long it is remembered that an upstream went on after it had been
	// reported to have ended. Such an upstream resets connections, so that further lost attempts
	// there are weak evidence of a crash.
	falseEndMemory = 6 * time.Second
	// minDeferral is how long the report of the next lost attempt at such an upstream is deferred.
	// It doubles with each false end, up to maxDeferral.
	minDeferral = time.Second
	maxDeferral = 4 * time.Second
	// confirmedDeferral is the deferral of a crash that another VM reports as well, counted from
	// that VM's time of the crash.
	confirmedDeferral = 300 * time.Millisecond
)

// falseEnd is what is known of an upstream that went on after its reported end.
type falseEnd struct {
	// at is the last time that it was seen alive, on the shared clock, and count the number of
	// false ends.
	at    time.Duration
	count int
}

// deferredCrash is a crash that is reported at reportAt, on the shared clock, unless something
// comes from the upstream before.
type deferredCrash struct {
	quarantine.Crash
	reportAt time.Duration
}

// compare orders deferred crashes by their times.
func (d deferredCrash) compare(o deferredCrash) int { return d.Crash.Compare(o.Crash) }

// The caller of the methods in this file holds mu.

// deferCrash defers the report of a lost attempt if the upstream went on after such losses before.
// It returns false if the crash is to be reported at once.
func (g *Guard) deferCrash(of quarantine.Incarnation, at time.Duration, suspects []quarantine.Suspect) bool {
	e, known := g.falseEnds[of]
	if !known || e.at+falseEndMemory <= at {
		return false
	}
	d, deferred := g.deferred[of]
	if !deferred {
		d.reportAt = at + min(minDeferral<<min(e.count-1, 8), maxDeferral)
	}
	d.Incarnation, d.At = of, at
	if len(d.Suspects) < g.opts.Blame.MaxSuspects {
		d.Suspects = append(d.Suspects, suspects...)
	}
	g.deferred[of] = d
	g.markUnweighed()
	return true
}

// dropDeferred drops the deferred crash of an upstream from which something came at the given time.
func (g *Guard) dropDeferred(of quarantine.Incarnation, at time.Duration) {
	if d, known := g.deferred[of]; known && at >= d.At+g.opts.Blame.SettleTime {
		delete(g.deferred, of)
	}
}

// shortenDeferral brings the report of a deferred crash forward, as another VM reports it too.
func (g *Guard) shortenDeferral(c quarantine.Crash) {
	if d, known := g.deferred[c.Incarnation]; known {
		d.reportAt = min(d.reportAt, c.At+confirmedDeferral)
		g.deferred[c.Incarnation] = d
	}
}

// reportDeferred reports the crashes whose deferral is over.
func (g *Guard) reportDeferred(now time.Duration) {
	for _, d := range slices.SortedFunc(maps.Values(g.deferred), deferredCrash.compare) {
		if d.reportAt <= now {
			delete(g.deferred, d.Incarnation)
			g.reportCrash(d.Incarnation, d.At, d.Suspects)
		}
	}
}

// noteFalseEnd records that an upstream went on after its reported end.
func (g *Guard) noteFalseEnd(of quarantine.Incarnation, at time.Duration) {
	e := g.falseEnds[of]
	g.falseEnds[of] = falseEnd{at: max(e.at, at), count: e.count + 1}
}
