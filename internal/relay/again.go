package relay

import (
	"slices"

	"github.com/joomcode/errorx"

	"github.com/poplarshore/poplarshore/internal/engines"
	"github.com/poplarshore/poplarshore/internal/upconn"
	"github.com/poplarshore/poplarshore/retry"
	"github.com/poplarshore/poplarshore/upstream"
)

// returnAllowed is the label, in metrics, of a further attempt at an upstream that has the request already.
const returnAllowed = "allowed_return"

// recordGivenUp records the upstream of an attempt that was given up for a silence before it sent anything.
func (x *exchange) recordGivenUp(a *attempt, err error) {
	if errorx.IsOfType(err, upconn.ErrSilent) && a.firstAfter == 0 && a.headAfter == 0 {
		x.givenUp = append(x.givenUp, a.engine)
	}
}

// decideReturn decides on a further attempt after a failure of the last one that the route allows. It may only
// go to an upstream that was given up for a silence, and has gone on: the route limits the number of upstreams, and
// that one counts already.
func (x *exchange) decideReturn(f retry.Failure) retry.Decision {
	if x.chooseReturn().Engine == nil {
		return retry.Decision{Action: retry.GiveUp, Reason: retry.AttemptsExhausted}
	}
	state := x.retryState
	state.Attempts = state.MaxAttempts - 1
	decision := x.server.Retry.Decide(&state, f, x.randFloat(), x.server.Clock.Now())
	label := decision.Reason.String()
	if decision.Action == retry.Retry {
		label = returnAllowed
	}
	x.server.Metrics.retries.WithLabelValues(f.Kind.String(), label).Inc()
	return decision
}

// chooseReturn selects the best of the upstreams that were given up for a silence and have gone on.
func (x *exchange) chooseReturn() engines.Choice {
	req := x.requirements()
	for _, e := range x.givenUp {
		if !e.IsSilent() {
			req.Only = append(req.Only, e.ID())
		}
	}
	if len(req.Only) == 0 {
		return engines.Choice{}
	}
	req.Tried = slices.DeleteFunc(slices.Clone(req.Tried), func(id upstream.ID) bool { return slices.Contains(req.Only, id) })
	return x.server.Placement.Choose(req)
}

// takeReturn selects the upstream of an attempt that decideReturn allowed. It gets one such attempt.
func (x *exchange) takeReturn() engines.Choice {
	choice := x.chooseReturn()
	x.givenUp = slices.DeleteFunc(x.givenUp, func(e *engines.Engine) bool { return e == choice.Engine })
	return choice
}
