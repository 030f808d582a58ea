package limit

import (
	"math"
	"time"
)

// Signal is what one attempt tells of the load of its upstream.
type Signal int

// Signals. An upstream that crashed or that was not reached gives none: that is no overload.
const (
	// Accepted: the upstream took the request and is not overloaded.
	Accepted Signal = iota
	// Congested: more requests wait at the upstream than it soon starts, or its answer began
	// much later than expected.
	Congested
	// Rejected: the upstream turned the request away for want of room.
	Rejected
)

// WindowOptions configures a Window. Limits are in requests in flight.
type WindowOptions struct {
	// Min and Max bound the limit.
	Min, Max float64
	// RejectedDecrease is the part of the limit that a rejection takes, 0 to 1, and
	// CongestedDecrease the part that congestion takes if every attempt meets it.
	RejectedDecrease, CongestedDecrease float64
	// Increase is what a step adds to the limit if no attempt meets congestion, as a part of
	// Share, and MinIncrease the least in requests. With an increase in proportion to the limit
	// itself, VMs with a low limit would keep it.
	Increase, MinIncrease float64
	// Share returns an even part of the requests that the upstreams run at once, for each VM;
	// zero if unknown. It is called when a limit begins, and nil means unknown.
	Share func() float64
	// Step is the mean time between two changes of the limit. It is drawn between half of it
	// and half as much again, so that VMs that see the same reports don't act together.
	Step time.Duration
	// IdleAfter is the time without a request that had to wait after which the limit ends.
	IdleAfter time.Duration
}

// DefaultWindowOptions returns the default options.
func DefaultWindowOptions() WindowOptions {
	return WindowOptions{
		Min: 1, Max: 4096, RejectedDecrease: 0.25, CongestedDecrease: 0.2, Increase: 0.06, MinIncrease: 0.1,
		Step: 300 * time.Millisecond, IdleAfter: 3 * time.Second,
	}
}

const (
	// congestionWeight is the weight of the newest attempt in the smoothed share of attempts
	// that met congestion. A limit begins when that share is over congestionBegins, as one
	// busy upstream among many is no overload of the service.
	congestionWeight = 0.2
	congestionBegins = 0.5
	// peakDecay is the time constant with which the highest number in flight is forgotten. A
	// limit begins from that number: the one at the moment of a signal may be low by chance.
	peakDecay = 2 * time.Second
	// After growthAfter and growthRun attempts without a sign of overload, the increase doubles
	// with every growthDoubling further ones, growthLevels times, up to maxGrowth of the limit
	// for each step.
	growthAfter    = time.Second
	growthRun      = 6
	growthDoubling = 2
	growthLevels   = 8
	maxGrowth      = 0.3
	// maxElapsedSteps is the largest number of steps that growth makes up for at a VM that gets
	// few answers.
	maxElapsedSteps = 4
	// maxHeadroom is the largest headroom of a request, as a part of the limit.
	maxHeadroom = 0.5
	// ditherInterval is the time for which a fraction of a place is rounded up or down.
	ditherInterval = 250 * time.Millisecond
)

// Window is a limit on the requests in flight that exists only while there are signs of
// overload: it begins with a part of what is in flight, and changes in steps that weigh an
// increase by the share of attempts that met no congestion against a decrease by the share of
// those that did. It grows faster the longer there is no sign of overload. It may be a fraction:
// then the last place is open for that part of the time. It is not safe for concurrent use.
//
// It answers a surge that fills the queues of all upstreams, seen by 1 to 300 VMs of which
// each has few requests in flight.
type Window struct {
	opts WindowOptions
	// draw returns a random number in [0, 1).
	draw func() float64

	active bool
	limit  float64
	// increase is what a step adds without congestion, in requests.
	increase float64
	// congestion is the smoothed share of attempts that met congestion or a rejection.
	congestion float64
	// acceptedRun is the number of attempts since the latest sign of overload.
	acceptedRun int
	// peak is the highest number in flight lately, which fades by peakDecay, and peakAt when it
	// was last reduced.
	peak   float64
	peakAt time.Time
	// steppedAt is when the limit last changed, nextStep when it may change again, lastSignAt when
	// the latest sign of overload came, and boundAt when a request last found no place.
	steppedAt, nextStep, lastSignAt, boundAt time.Time
	// dither is added to the limit before it is rounded down, 0 to 1, until ditherUntil.
	dither      float64
	ditherUntil time.Time
}

// NewWindow returns a Window without a limit. draw returns random numbers in [0, 1).
func NewWindow(opts WindowOptions, draw func() float64) *Window {
	return &Window{opts: opts, draw: draw}
}

// Active reports whether there is a limit.
func (w *Window) Active() bool { return w.active }

// Limit returns the limit; zero if there is none.
func (w *Window) Limit() float64 {
	if !w.active {
		return 0
	}
	return w.limit
}

// Begin sets a limit that grows fast, for a time at which nothing is known of the load.
func (w *Window) Begin(limit float64, now time.Time) {
	w.active, w.boundAt, w.lastSignAt, w.acceptedRun = true, now, now.Add(-growthAfter), growthRun+growthDoubling*growthLevels
	w.limit = w.bounded(limit)
	w.setIncrease()
}

// setIncrease sets the increase of a step by the VM's even part of the room, or by the limit that
// begins if that is unknown.
func (w *Window) setIncrease() {
	share := 0.0
	if w.opts.Share != nil {
		share = w.opts.Share()
	}
	if share <= 0 {
		share = w.limit
	}
	w.increase = max(w.opts.Increase*share, w.opts.MinIncrease)
}

func (w *Window) bounded(limit float64) float64 { return min(max(limit, w.opts.Min), w.opts.Max) }

// Allow reports whether one more request may start while inFlight are in flight. It may exceed
// the limit by the part headroom of it, or leave a part of it if that is negative.
func (w *Window) Allow(inFlight int, headroom float64, now time.Time) bool {
	w.recordPeak(float64(inFlight+1), now)
	if !w.active {
		return true
	}
	if inFlight < w.places(headroom, now) {
		if now.Sub(w.boundAt) > w.opts.IdleAfter {
			w.active = false
		}
		return true
	}
	w.boundAt = now
	return false
}

// places returns the number of places that are open now: the limit, rounded up or down at random
// in proportion to its fraction.
func (w *Window) places(headroom float64, now time.Time) int {
	if !now.Before(w.ditherUntil) {
		w.dither, w.ditherUntil = w.draw(), now.Add(ditherInterval)
	}
	return int(math.Floor(max(w.limit*(1+headroom), 1) + w.dither))
}

// recordPeak updates the highest number in flight lately.
func (w *Window) recordPeak(inFlight float64, now time.Time) {
	if elapsed := now.Sub(w.peakAt); elapsed > 0 {
		w.peak *= math.Exp(-float64(elapsed) / float64(peakDecay))
		w.peakAt = now
	}
	w.peak = max(w.peak, inFlight)
}

// Observe adjusts the limit by a signal that came while inFlight requests were in flight.
func (w *Window) Observe(s Signal, inFlight int, now time.Time) {
	w.recordPeak(float64(inFlight), now)
	overloaded := 0.0
	w.acceptedRun++
	if s != Accepted {
		overloaded = 1
		w.acceptedRun, w.lastSignAt = 0, now
	}
	w.congestion += congestionWeight * (overloaded - w.congestion)
	switch {
	case w.active:
		w.step(s, inFlight, now)
	case s == Rejected || w.congestion > congestionBegins:
		w.begin(now)
	}
}

// begin begins the limit at the first sign of overload.
func (w *Window) begin(now time.Time) {
	w.active, w.boundAt = true, now
	w.limit = w.bounded(w.peak * (1 - w.opts.RejectedDecrease))
	w.setIncrease()
	w.setNextStep(now)
}

func (w *Window) setNextStep(now time.Time) {
	w.steppedAt = now
	w.nextStep = now.Add(time.Duration((0.5 + w.draw()) * float64(w.opts.Step)))
}

// step changes the limit if it is time. The limit shrinks only if no more than it allows is in
// flight, as an earlier decrease has not yet shown its effect otherwise, and grows only if it is
// nearly used up.
func (w *Window) step(s Signal, inFlight int, now time.Time) {
	if now.Before(w.nextStep) {
		return
	}
	change := 0.0
	if float64(inFlight) <= w.limit*(1+maxHeadroom)+1 {
		change -= w.decrease(s)
	}
	if float64(inFlight) >= minUtilization*w.limit && s != Rejected {
		change += w.growth(now)
	}
	w.limit = w.bounded(w.limit + change)
	w.setNextStep(now)
}

func (w *Window) decrease(s Signal) float64 {
	if s == Rejected {
		return w.limit * w.opts.RejectedDecrease
	}
	return w.limit * w.opts.CongestedDecrease * w.congestion
}

func (w *Window) growth(now time.Time) float64 {
	step := w.increase
	if now.Sub(w.lastSignAt) >= growthAfter && w.acceptedRun > growthRun {
		doublings := min((w.acceptedRun-growthRun)/growthDoubling, growthLevels)
		step = max(step, min(math.Ldexp(step, doublings), maxGrowth*w.limit))
	}
	elapsed := float64(now.Sub(w.steppedAt)) / float64(w.opts.Step)
	return (1 - w.congestion) * step * min(max(elapsed, 1), maxElapsedSteps)
}
