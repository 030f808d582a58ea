// Package slowstart finds how many requests one VM may have in flight at an upstream that has
// just started or recovered, from how the upstream answers.
//
// It is for loads under which such an upstream is flooded because it looks idle, or left idle
// because it failed before: a release that replaces upstreams one after the other, a scale-out
// into a burst, upstreams that crash and return, or that go down and up by turns. Answers are
// compared with those of the other upstreams of the service at the same time, so that a load
// that slows all of them down does not hold new ones back.
//
// The package has no clock. Values are of one VM; nothing is exchanged.
package slowstart

import (
	"math"
	"time"
)

const (
	// Tolerance is the ratio of an answer's relative time to the peers' above which it is slow.
	// Prompts and models differ; answers of one upstream vary by less than this around what is
	// expected.
	Tolerance = 1.5
	// minExcess is the least difference from the peers' answers, as a multiple of the expected
	// time, above which an answer is slow.
	minExcess = 0.25
	// shrinkFactor is applied to the window after a slow or rejected answer.
	shrinkFactor = 0.5
	// AlikeToEnd is the number of answers in a row as fast as those of the peers that the end
	// of a slow start needs, beside a window that no longer binds.
	AlikeToEnd = 4
	// maxNewShare is the share of the upstreams, 0 to 1, above which none is treated as new.
	maxNewShare = 0.5
	// peerMemory is how long an answer of a peer counts.
	peerMemory = 2 * time.Second
	// peerWeight is the weight of the newest answer in the peers' moving average.
	peerWeight = 0.2
)

// MostAreNew reports whether too many of the upstreams of a service are new for any of them to
// be limited: then the load has no other place.
func MostAreNew(isNew, all int) bool { return float64(isNew) > maxNewShare*float64(all) }

// Peers is the moving average of how fast the upstreams of a service answer that are not new.
// The zero value knows nothing. It is not safe for concurrent use.
type Peers struct {
	// relative is the average time to the first part of an answer, as a multiple of the expected
	// one, and at the time of the newest answer in it.
	relative float64
	at       time.Time
}

// Observe records an answer that took the given multiple of the expected time.
func (p *Peers) Observe(relative float64, now time.Time) {
	if !p.known(now) {
		p.relative = relative
	}
	p.relative += peerWeight * (relative - p.relative)
	p.at = now
}

func (p *Peers) known(now time.Time) bool { return !p.at.IsZero() && now.Sub(p.at) < peerMemory }

// IsSlow reports whether an answer that took the given multiple of the expected time is slower
// than those of the peers now. Without answers of peers none is.
func (p *Peers) IsSlow(relative float64, now time.Time) bool {
	return p.known(now) && relative > max(p.relative*Tolerance, p.relative+minExcess)
}

// Window is the allowed concurrency of one upstream at one VM. The zero value is not limited.
// It is not safe for concurrent use.
type Window struct {
	active bool
	// size is the allowed number of requests in flight; Allowed rounds it down.
	size float64
	// alike counts the latest answers in a row that were not slow.
	alike int
	// shrunkAt is when the window last became smaller.
	shrunkAt time.Time
}

// Begin begins a slow start, or begins it again.
func (w *Window) Begin(now time.Time) { *w = Window{active: true, size: 1, shrunkAt: now} }

// End ends the slow start.
func (w *Window) End() { *w = Window{} }

// Active reports whether a slow start is going on.
func (w *Window) Active() bool { return w.active }

// Allowed returns the number of requests that may be in flight, at least one.
func (w *Window) Allowed() int {
	if !w.active {
		return math.MaxInt
	}
	return max(int(w.size), 1)
}

// Excess returns by how much one more request beside those in flight would exceed the window,
// as a fraction of the window; zero if it would not.
func (w *Window) Excess(inFlight int) float64 {
	if !w.active || inFlight < w.Allowed() {
		return 0
	}
	return float64(inFlight+1-w.Allowed()) / float64(w.Allowed())
}

// Answer records an answer to a request sent at the given time. slow is the result of
// Peers.IsSlow, and usual the number of requests that an upstream of the service that is not new
// has in flight from this VM. It reports whether the slow start ended: the upstream answers like
// its peers and has room for as much as they get.
func (w *Window) Answer(slow bool, usual int, sentAt, now time.Time) bool {
	if !w.active {
		return false
	}
	if slow {
		w.shrink(sentAt, now)
		return false
	}
	w.alike++
	// One for each answer doubles the window with each round of answers.
	w.size++
	if w.alike >= AlikeToEnd && w.Allowed() > usual {
		w.End()
		return true
	}
	return false
}

// Reject records that the upstream rejected a request sent at the given time, or failed it.
func (w *Window) Reject(sentAt, now time.Time) {
	if w.active {
		w.shrink(sentAt, now)
	}
}

// shrink makes the window smaller, once for all requests that were sent before it last did.
func (w *Window) shrink(sentAt, now time.Time) {
	w.alike = 0
	if sentAt.Before(w.shrunkAt) {
		return
	}
	w.size, w.shrunkAt = max(w.size*shrinkFactor, 1), now
}
