package relay

import (
	"time"

	"github.com/poplarshore/poplarshore/cascade"
)

// chooseFirstModel selects the model of the first attempt, if the router selects
// models for this request.
func (x *exchange) chooseFirstModel() {
	if !x.routerPicksModel() {
		return
	}
	s := x.server
	x.modelIndex = x.firstModelInTime(cascade.FirstInput{
		Models: len(x.route.Models), RunsLeft: x.retryState.MaxAttempts,
		SecondRunAllowed: s.Retry.CanStep(&x.retryState, s.Clock.Now()),
		DirectStart:      x.strongestFirstEvent(0),
		SteppedStart:     x.strongestFirstEvent(s.prefill.estimate(x.route.Models[0], x.request.PromptTokens) + firstEventBase),
	})
}

// strongestFirstEvent returns when the first event of the strongest model is
// expected if the model is asked after the given delay. The time counts from the
// start of the exchange and is a fraction of the latency target; it is 0 without
// a target.
func (x *exchange) strongestFirstEvent(delay time.Duration) float64 {
	s := x.server
	if x.route.TargetLatency <= 0 {
		return 0
	}
	strongest := x.route.Models[len(x.route.Models)-1]
	firstEvent := s.Clock.Since(x.startedAt) + delay + s.prefill.estimate(strongest, x.request.PromptTokens) + firstEventBase
	return float64(firstEvent) / float64(x.route.TargetLatency)
}

// routerPicksModel reports whether the router selects the model: the request
// names none and the route lists some.
func (x *exchange) routerPicksModel() bool {
	return x.request.Model == "" && len(x.route.Models) > 0
}
