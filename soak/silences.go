package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/settings"
)

// silenceFault lets sound engines send nothing for a moment. It is a kind of its own list, because
// the seeds of regressions depend on the number of faultKinds.
var silenceFault = faultKind{"engine_silence", (*injector).silenceEngines}

const (
	// A silence lasts minSilence or more, and less than maxSilence.
	minSilence = 500 * time.Millisecond
	maxSilence = 2500 * time.Millisecond
)

// silenceScope is which engines fall silent together.
type silenceScope int

// One engine, all engines in a failure domain, of a service, or of all services.
const (
	oneEngine silenceScope = iota
	oneDomain
	oneService
	allServices
	silenceScopes
)

// silenceEngines lets one or more engines send nothing for a while and then go on. It is no
// disturbance: all requests are to be answered whose time allows for it.
func (f *injector) silenceEngines(ctx context.Context, rng *rand.Rand) {
	engines := f.pickSilent(rng)
	length := minSilence + time.Duration(rng.Int64N(int64(maxSilence-minSilence)))
	defer f.bed.silences.begin()()
	for _, e := range engines {
		e.Freeze(length)
		defer e.silences.begin()()
	}
	// The silence lasts its full time also at the end of the run.
	sleep(context.WithoutCancel(ctx), length)
}

// pickSilent returns the engines of a random scope.
func (f *injector) pickSilent(rng *rand.Rand) []*engine {
	scope := silenceScope(rng.IntN(int(silenceScopes)))
	models, orders := f.bed.registered(modelService, ""), f.bed.registered(orderService, "")
	all := slices.Concat(models, orders)
	switch scope {
	case oneEngine:
		return []*engine{f.pickEngine(rng)}
	case oneDomain:
		d := domains[rng.IntN(len(domains))]
		return slices.DeleteFunc(all, func(e *engine) bool { return domain.ID(e.Zone) != d })
	case oneService:
		return [][]*engine{models, orders}[rng.IntN(2)]
	}
	return all
}

// Time that a request takes without a silence, at most: two streams, an order, or a slow one.
const (
	ordinaryStream = 2*streamEvents*streamGap + time.Second
	ordinaryOrder  = time.Second
)

// timeResolution is the unit in which deadlines and timeouts are told.
const timeResolution = time.Millisecond

// unansweredReason is why a request may end without its answer; empty if it must not.
type unansweredReason string

const (
	// timeReached means that the request's time was over, which a silence may have used up.
	timeReached unansweredReason = "time_reached"
	// engineBrokeOff means that an engine that worked on it was stopped.
	engineBrokeOff unansweredReason = "engine_broke_off"
	// graceSpent means that an engine was still at work in the last part of the grace of a planned stop.
	graceSpent unansweredReason = "grace_spent"
	// notRead means that the connection ended, soon after the request was sent, before the request was passed on.
	notRead unansweredReason = "not_read"
)

// finalGraceShare is the share at the end of the grace of a planned stop in which engines that are
// still at work excuse their requests, if these were sent within stopCallersFor of the signal.
const (
	finalGraceShare = 1.0 / 6
	stopCallersFor  = 3 * time.Second
)

// checkSilence checks that a whole request gets its answer, or a refusal if it was not run, unless
// something other than silences and planned work was disturbed.
func (c *checker) checkSilence(x exchange) {
	if c.report.Silences == nil || x.lastByteAt().IsZero() || !c.onlyPlannedWork(x) {
		return
	}
	c.report.Silences.Checked++
	silent := c.testbed.silences.overlap(x.sentAt, x.doneAt)
	if silent > 0 {
		c.report.Silences.DuringSilence++
	}
	if c.isAnswered(x) {
		return
	}
	if reason := c.unansweredReason(x); reason != "" {
		c.report.Silences.Unanswered[string(reason)]++
		return
	}
	c.addViolation("%s at %s: whole request, sent at %s and run %d times, ended with status %d after %s, silent for %s of it: %v",
		x.id, x.process, x.sentAt.Format(time.StampMilli), len(c.runs[x.id]), x.response.Status, x.doneAt.Sub(x.sentAt), silent, x.response.Err)
}

// lastByteAt returns when the last byte of the request was sent; zero if it was not.
func (x exchange) lastByteAt() time.Time {
	if !x.wholeAt.IsZero() {
		return x.wholeAt
	}
	return x.response.SentAt
}

// onlyPlannedWork reports whether nothing but silences, configurations, planned stops and good roll-outs came
// between the settle time before the request and its end.
func (c *checker) onlyPlannedWork(x exchange) bool {
	return c.onlyDisturbedByFloods(x) && !c.besideFloods(x)
}

// onlyDisturbedByFloods reports whether nothing but floods and what onlyPlannedWork allows came between the settle time
// before the request and its end.
func (c *checker) onlyDisturbedByFloods(x exchange) bool {
	from := x.sentAt.Add(-c.bounds.SettleTime)
	for _, v := range c.testbed.vms {
		if !v.disturbances.noneOverlap(from, x.doneAt) || !v.cuts.noneOverlap(from, x.doneAt) {
			return false
		}
	}
	return x.culprit == nil && c.testbed.calm(from, x.doneAt) && c.testbed.crashes.noneOverlap(from, x.doneAt) &&
		c.testbed.oddRows.noneOverlap(from, x.doneAt) && c.testbed.badRollouts.noneOverlap(from, x.doneAt)
}

// isAnswered reports whether the response is complete and is that of an engine, one that rejects
// the request as it is, or one that states truly that it was not run.
func (c *checker) isAnswered(x exchange) bool {
	switch status := x.response.Status; {
	case x.response.Incomplete:
		return false
	case x.response.Seal() != "":
		return true
	case slices.Contains(notRunStatuses, status):
		return len(c.runs[x.id]) == 0
	default:
		return status < http.StatusInternalServerError
	}
}

// notRunStatuses state that a request was not run and never will be.
var notRunStatuses = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// unansweredReason returns why the rules allow the request to end without its answer; empty if
// they don't.
func (c *checker) unansweredReason(x exchange) unansweredReason {
	runs := c.runs[x.id]
	switch {
	case c.brokenOff[x.id]:
		return engineBrokeOff
	case x.doneAt.Sub(x.sentAt) > x.timeLimit()-timeResolution && !c.timeAllowsSilence(x):
		return timeReached
	case len(runs) > 0 && c.graceWasSpent(x):
		return graceSpent
	case len(runs) == 0 && x.response.Incomplete && x.doneAt.Sub(x.lastByteAt()) <= c.bounds.LossSlack:
		return notRead
	}
	return ""
}

// timeLimit returns the request's deadline or the timeout of its route, whichever is sooner.
func (x exchange) timeLimit() time.Duration {
	if x.kind == streamRequest {
		return min(requestDeadline, streamTimeout)
	}
	return min(requestDeadline, callTimeout)
}

// timeAllowsSilence reports whether the request could have been answered within its time in spite of
// the silences of the engines that ran it, or of all if none did.
func (c *checker) timeAllowsSilence(x exchange) bool {
	ordinary := ordinaryOrder
	switch {
	case x.kind == streamRequest:
		ordinary = ordinaryStream
	case isSlow(x.path):
		ordinary += slowOrder
	}
	if !x.wholeAt.IsZero() {
		ordinary += x.wholeAt.Sub(x.sentAt)
	}
	silences := &c.testbed.silences
	if engines := c.ranOn[x.id]; len(engines) > 0 {
		silences = &intervals{}
		for _, e := range engines {
			silences.entries = append(silences.entries, e.silences.entries...)
		}
	}
	return silences.overlap(x.sentAt, x.doneAt)+ordinary < x.timeLimit()
}

// graceWasSpent reports whether the request ended in the last part of the grace of a planned stop
// of its VM.
func (c *checker) graceWasSpent(x exchange) bool {
	grace := settings.DefaultGateway().Stop.GraceS.Duration()
	final := time.Duration((1 - finalGraceShare) * float64(grace))
	return slices.ContainsFunc(c.report.plannedStops, func(s plannedStop) bool {
		return s.vm == x.vm && x.sentAt.Before(s.at.Add(stopCallersFor)) && !x.doneAt.Before(s.at.Add(final)) &&
			x.doneAt.Before(s.at.Add(grace+time.Second))
	})
}

// collectBrokenOff collects the requests whose engines were stopped before they ended.
func (c *checker) collectBrokenOff() {
	doneAt := make(map[string]time.Time, len(c.exchanges))
	for _, x := range c.exchanges {
		doneAt[x.id] = x.doneAt
	}
	c.brokenOff = make(map[string]bool)
	for _, e := range c.testbed.allEngines {
		stoppedAt, stopped := e.stopTime()
		if !stopped {
			continue
		}
		for _, run := range e.Runs() {
			if run.At.Before(stoppedAt) && doneAt[run.ID].After(stoppedAt) {
				c.brokenOff[run.ID] = true
			}
		}
	}
}
