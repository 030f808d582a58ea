package relay

import (
	"slices"
	"time"

	"github.com/joomcode/errorx"

	"github.com/poplarshore/poplarshore/internal/engines"
	"github.com/poplarshore/poplarshore/internal/peerrelay"
	"github.com/poplarshore/poplarshore/internal/upconn"
	"github.com/poplarshore/poplarshore/reachability"
	"github.com/poplarshore/poplarshore/retry"
	"github.com/poplarshore/poplarshore/upstream"
)

const (
	// silencePoll is the interval at which it is decided again whether a silent attempt is given up,
	// if the reason against it may pass.
	silencePoll = 250 * time.Millisecond
	// maxSuccessors is the number of upstreams that are looked at to replace a silent one.
	maxSuccessors = 3
)

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
	if x.refuseUnfinishable() != nil {
		return left
	}
	switch a.decideSilence() {
	case retry.Allowed:
		x.retryPrepaid = true
		return 0
	case retry.AccountBudgetExhausted, retry.UpstreamBudgetExhausted, retry.NoAlternative:
		return min(left, silencePoll)
	}
	return left
}

// recordSilence records that nothing came for the allowed time, or until the next poll after that.
func (a *attempt) recordSilence() {
	if !a.silent {
		a.silent = true
		a.silences++
	}
	if a.engine.SinceLastReceived() >= a.silence() {
		a.recordContact(reachability.Silent)
	}
}

// silence returns for how long the attempt has received nothing.
func (a *attempt) silence() time.Duration {
	return a.exchange.server.Clock.Since(a.startedAt) - max(a.lastAfter, a.firstAfter, a.headAfter)
}

// decideSilence returns Allowed if the silent attempt is given up for another one, for which the
// retry budget has then been charged, and otherwise why not.
func (a *attempt) decideSilence() retry.Reason {
	x := a.exchange
	successor, found := a.findSuccessor()
	// Count the silent attempt as well, since its upstream may run it.
	retryState := x.retryState
	retryState.Attempts++
	failure := retry.Failure{Kind: retry.IdleTimeout, Running: true, HasAlternative: found}
	reason := x.server.Retry.Decide(&retryState, failure, 0, x.server.Clock.Now()).Reason
	x.server.Metrics.retries.WithLabelValues(retry.IdleTimeout.String(), reason.String()).Inc()
	if reason == retry.Allowed {
		x.successor = successor
	}
	return reason
}

// findSuccessor looks for what can serve the request in place of the running attempt: another
// upstream, or nil for another VM, if this one has lost its way to the upstreams. While that is in
// doubt there is nothing.
func (a *attempt) findSuccessor() (*engines.Choice, bool) {
	x := a.exchange
	status := x.server.Reach.Status(x.service)
	switch {
	case status.CutOff:
		return nil, x.hasPeer()
	case status.InDoubt, x.refuseQuarantined() != nil:
		return nil, false
	}
	choice := a.chooseOther()
	return choice, choice != nil
}

// chooseOther returns the choice of another upstream that is not silent itself; nil if there is
// none.
func (a *attempt) chooseOther() *engines.Choice {
	x := a.exchange
	req := x.requirements()
	req.Tried = append(x.triedWithout(x.resumed()), a.engine.ID())
	for range maxSuccessors {
		choice := x.server.Placement.Choose(req)
		if choice.Engine == nil {
			return nil
		}
		if choice.Engine.Silence() < minHeaderWait {
			return &choice
		}
		req.Tried = append(req.Tried, choice.Engine.ID())
	}
	return nil
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
	if successor := x.successor; successor != nil {
		x.successor = nil
		return *successor
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

// hasPeer reports whether another VM may be asked to relay the request.
func (x *exchange) hasPeer() bool {
	if !x.mayAskPeers() {
		return false
	}
	peer, found := x.server.Peers.Choose(x.service, x.regions(), nil)
	if found {
		peer.End(peerrelay.Inconclusive)
	}
	return found
}
