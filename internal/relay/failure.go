package relay

import (
	"github.com/poplarshore/poplarshore/internal/upconn"
	"github.com/poplarshore/poplarshore/refusal"
)

// mayForward reports whether the caller may get an upstream's response with the status to a request that may have run. One
// that states that the request has not run would make the caller send it again, so only callers whose requests may run
// more than once get it.
func (x *exchange) mayForward(status int) bool {
	return x.route.Repeatable() || !refusal.StatesNotRun(status)
}

// dropFailure drops the response of an upstream that failed a request which it may have run, with a status that the caller
// may not get. Errors: errFailed.
func (a *attempt) dropFailure(resp *upconn.Response) error {
	a.recordReceived()
	resp.Drain(maxDrainBytes, min(drainTimeout, a.exchange.timeLeft()))
	return errFailed.New("upstream failure: status %d from %s, which does not state that it did not run the request",
		resp.Status, a.engine.ID())
}
