package relay

import (
	"context"
	"time"

	"github.com/poplarshore/poplarshore/internal/engines"
	"github.com/poplarshore/poplarshore/route"
)

const (
	// A request waits for a place at an upstream for at most this fraction of its route's
	// latency target, or for minPlaceWait, in steps of placePoll.
	placeWaitDivisor = 4
	minPlaceWait     = 60 * time.Millisecond
	placePoll        = 10 * time.Millisecond
	// fullRetryAfter is when a caller may come back that found no place.
	fullRetryAfter = 600 * time.Millisecond
)

// awaitPlace waits for a moment if the request found no upstream because this VM has used
// its part of the places or has no grant for a cold upstream, and reports whether to go on: to
// choose again, or to end because ctx ended.
func (x *exchange) awaitPlace(ctx context.Context, choice engines.Choice) bool {
	if choice.Refused[route.NoPlace] == 0 && choice.Refused[route.Cold] == 0 {
		return false
	}
	limit := max(x.route.TargetLatency/placeWaitDivisor, minPlaceWait)
	if x.placeWait >= limit || x.timeLeft() <= placePoll {
		return false
	}
	x.placeWait += placePoll
	select {
	case <-ctx.Done():
		return true
	case <-x.server.Clock.After(placePoll):
		return true
	}
}
