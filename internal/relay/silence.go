package relay

import (
	"slices"
	"time"

	"github.com/joomcode/errorx"

	"github.com/poplarshore/poplarshore/internal/engines"
	"github.com/poplarshore/poplarshore/internal/upconn"
	"github.com/poplarshore/poplarshore/reachability"
	"github.com/poplarshore/poplarshore/retry"
	"github.com/poplarshore/poplarshore/upstream"
)

// silencePoll is the interval at which it is decided again whether a silent attempt is given up, if the reason
// against it may pass.
const silencePoll = 250 * time.Millisecond

// onSilence decides what to do with an attempt that sent nothing for the allowed
// time. It returns how much longer to wait. Zero gives the attempt up, because
// the deadline has passed or because another attempt may be made; the retry
// budget has then been charged for that one. It is not given up for an attempt that
// the rest of a planned stop's grace can't hold, nor while nothing else can serve the
// request, as a silent upstream may go on.
func (a *attempt) onSilence() time.Duration {
	x := a.exchange
	left := x.timeLeft()
	if left <= minWait {
		return 0
	}
	a.recordSilence()
	return a.waitOrGiveUp(left)
}

// waitOrGiveUp decides whether an attempt that takes too long is given up, and returns how much longer to wait, as
// onSilence does. left is the time until the deadline.
func (a *attempt) waitOrGiveUp(left time.Duration) time.Duration {
	x := a.exchange
	if x.refuseUnfinishable() != nil {
		return left
	}
	reason := a.decideSilence()
	a.countDecision(reason)
	switch reason {
	case retry.Allowed:
		x.retryPrepaid, x.mayHaveEnded = true, x.headerSent
		return 0
	case retry.AccountBudgetExhausted, retry.UpstreamBudgetExhausted, retry.NoAlternative:
		return min(left, a.replacement.poll())
	}
	return left
}

// recordSilence records that nothing came for the allowed time, or until the next poll after that. A VM that
// may have lost its way to the upstreams blames none of them.
func (a *attempt) recordSilence() {
	if a.engine.SinceLastReceived() < a.sinceReceived() {
		return
	}
	a.recordContact(reachability.Silent)
	if !a.exchange.server.Reach.Status(a.exchange.service).MayBeCutOff() {
		a.engine.MarkSilent()
	}
}

// sinceReceived returns for how long the attempt has received nothing.
func (a *attempt) sinceReceived() time.Duration {
	return a.exchange.server.Clock.Since(a.startedAt) - max(a.lastAfter, a.firstAfter, a.headAfter)
}

// countDecision counts a decision on a silent attempt: the first one, and the one that gives it up.
func (a *attempt) countDecision(reason retry.Reason) {
	if a.overdue && reason != retry.Allowed {
		return
	}
	if !a.overdue {
		a.overdue = true
		a.silences++
	}
	a.exchange.server.Metrics.retries.WithLabelValues(retry.IdleTimeout.String(), reason.String()).Inc()
}

// decideSilence returns Allowed if the silent attempt is given up for another one, for which the
// retry budget has then been charged, and otherwise why not.
func (a *attempt) decideSilence() retry.Reason {
	x := a.exchange
	next, found := a.findSuccessor()
	// Count the silent attempt as well, since its upstream may run it.
	retryState := x.retryState
	retryState.Attempts++
	failure := retry.Failure{Kind: retry.IdleTimeout, Running: true, HasAlternative: found}
	reason := x.server.Retry.Decide(&retryState, failure, 0, x.server.Clock.Now()).Reason
	if reason == retry.Allowed {
		x.successor = next
	}
	return reason
}

// successor is what serves a request in place of an attempt that is given up: another upstream, or another
// VM if choice is nil.
type successor struct{ choice *engines.Choice }

// findSuccessor looks for what can serve the request in place of the running attempt. While it is in doubt
// whether this VM has lost its way to the upstreams, there is nothing.
func (a *attempt) findSuccessor() (successor, bool) {
	x := a.exchange
	status := x.server.Reach.Status(x.service)
	a.replacement.pending = false
	if status.InDoubt || x.server.Quarantine.Excludes(x.keys) {
		return successor{}, false
	}
	unreached := x.server.Reach.Unreached(x.service)
	if status.CutOff && slices.Contains(unreached, a.engine.ID()) && x.hasProvenPeer() {
		return successor{}, true
	}
	choice := a.chooseOther(unreached)
	return successor{choice: choice}, choice != nil
}

// chooseOther returns the choice of another upstream that has just taken a connection and is not silent itself; nil
// if there is none yet. Silent ones are chosen last.
func (a *attempt) chooseOther(unreached []upstream.ID) *engines.Choice {
	x := a.exchange
	req := x.requirements()
	req.Tried = append(append(x.triedWithout(x.resumed()), a.engine.ID()), unreached...)
	return a.chooseConnected(req, func(c *engines.Choice) bool { return !c.Engine.IsSilent() })
}

// hasProvenPeer reports whether another VM that reaches the upstreams may be asked to relay the request.
func (x *exchange) hasProvenPeer() bool {
	return x.mayAskPeers() && x.server.Peers.HasProven(x.service, x.regions())
}

// resumed returns the upstreams of interrupted attempts that have sent something a moment ago.
func (x *exchange) resumed() []*engines.Engine {
	return slices.DeleteFunc(slices.Clone(x.interrupted), func(e *engines.Engine) bool {
		return e.SinceLastReceived() >= minHeaderWait
	})
}

// choose selects the upstream of the next attempt: the one for which a silent attempt was given up,
// or else the best one. If there is none, those of interrupted attempts may be tried again.
func (x *exchange) choose() engines.Choice {
	if x.attemptsLeft() <= 0 {
		return x.takeReturn()
	}
	if choice := x.takeSuccessor(); choice != nil {
		return *choice
	}
	req := x.requirements()
	choice := x.server.Placement.Choose(req)
	if choice.Engine != nil || len(x.interrupted) == 0 {
		return choice
	}
	req.Tried = x.triedWithout(x.interrupted)
	if again := x.server.Placement.Choose(req); again.Engine != nil {
		return again
	}
	return choice
}

// recordTried records that an attempt on an upstream ended with err.
func (x *exchange) recordTried(a *attempt, err error) {
	x.retryState.Tried = append(x.retryState.Tried, a.engine.ID())
	x.recordGivenUp(a, err)
	if errorx.IsOfType(err, upconn.ErrSilent) || errorx.IsOfType(err, errMoved) ||
		errorx.IsOfType(err, upconn.ErrConnectionLost) && a.firstAfter > 0 {
		x.interrupted = append(x.interrupted, a.engine)
	}
}

// triedWithout returns the upstreams that must not be selected again, except those that are given.
func (x *exchange) triedWithout(excepted []*engines.Engine) []upstream.ID {
	return slices.DeleteFunc(slices.Clone(x.retryState.Tried), func(id upstream.ID) bool {
		return slices.ContainsFunc(excepted, func(e *engines.Engine) bool { return e.ID() == id })
	})
}

// takeSuccessor returns the upstream for which a silent attempt was given up, if it may still be used. Nil means that
// there is none.
func (x *exchange) takeSuccessor() *engines.Choice {
	choice := x.successor.choice
	x.successor = successor{}
	if choice == nil || !choice.Engine.TakesRequests() || choice.Engine.IsSilent() ||
		!x.server.Versions.Allowed(x.service, x.sessionPosition)(choice.Engine.Version()) {
		return nil
	}
	return choice
}
