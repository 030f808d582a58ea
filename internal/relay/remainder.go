package relay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/poplarshore/poplarshore/refusal"
	"github.com/poplarshore/poplarshore/routing"
)

// remainder is what upstreams still have to do for a request, as far as it matters to a planned
// stop.
type remainder struct {
	route    *routing.Route
	deadline time.Time
	// size is the size of the rest, as in pace.Durations; zero if unknown.
	size float64
	// begun reports whether the caller has a part of the answer.
	begun bool
	// dropped reports whether a whole answer was dropped for the next attempt. A stop doesn't prevent that one any more.
	dropped bool
}

// remainder returns what upstreams still have to do for the request.
func (x *exchange) remainder() remainder {
	return remainder{route: x.route, deadline: x.deadline, size: x.sizeLeft(), begun: x.headerSent, dropped: x.answerDropped}
}

// sizeLeft returns the size of the rest of the request: the number of events that are left of a
// stream, zero if unknown, and 1 for other requests.
func (x *exchange) sizeLeft() float64 {
	if !x.route.Streaming {
		return 1
	}
	return x.lengthLeft().Median
}

// expectedDuration returns how long most such requests take. Without recent ones it is the latency
// target of a request that may be repeated, and the time that is left otherwise.
func (s *Server) expectedDuration(r remainder) time.Duration {
	now := s.Clock.Now()
	if expected, known := s.durations.Expect(r.route.Name, r.size, now); known {
		return expected
	}
	if r.begun || r.route.Repeatable() {
		return r.route.TargetLatency
	}
	return r.deadline.Sub(now)
}

// sendBy returns until when a request must be sent so that the rest of a planned stop's grace is
// expected to hold it. It returns false if no stop has begun, if the request's deadline is
// before the end of the grace, or if an answer was dropped for the attempt.
func (s *Server) sendBy(r remainder) (time.Time, bool) {
	abortAt := s.stop.abortAt.Load()
	if abortAt == nil || r.dropped || !r.deadline.After(*abortAt) {
		return time.Time{}, false
	}
	return abortAt.Add(-s.expectedDuration(r)), true
}

// refuseUnfinishable returns a refusal if the rest of a planned stop's grace is not expected to hold
// the request.
func (x *exchange) refuseUnfinishable() *refusal.Refusal {
	if x.server.stop.abortAt.Load() == nil {
		return nil
	}
	by, bounded := x.server.sendBy(x.remainder())
	if !bounded || !x.server.Clock.Now().After(by) {
		return nil
	}
	return refuseLate(by)
}

// refuseLate returns the refusal of a request that had to be sent by the given time.
func refuseLate(by time.Time) *refusal.Refusal {
	return refusal.New(refusal.Draining).With("To end before the stop does it had to be sent by %s.", by.Format(time.RFC3339Nano))
}

// waitContext returns a context for a wait before the request is sent. It ends with ctx, and, with a
// refusal as its cause, when the rest of a planned stop's grace is not expected to hold the
// request any more.
func (x *exchange) waitContext(ctx context.Context) (context.Context, context.CancelFunc) {
	s, rest := x.server, x.remainder()
	ctx, end := context.WithCancelCause(ctx)
	detach := context.AfterFunc(s.stop.begun, func() {
		by, bounded := s.sendBy(rest)
		if !bounded {
			return
		}
		select {
		case <-ctx.Done():
		case <-s.Clock.After(by.Sub(s.Clock.Now())):
			end(refuseLate(by))
		}
	})
	return ctx, func() {
		detach()
		end(nil)
	}
}

// causeOf returns the refusal that is the cause of the end of ctx, or nil.
func causeOf(ctx context.Context) *refusal.Refusal {
	var refused *refusal.Refusal
	if errors.As(context.Cause(ctx), &refused) {
		return refused
	}
	return nil
}

// succeeded reports whether the caller was sent a status that isn't an error. Requests with an error are
// mostly turned down early, and are no measure of how long others run.
func (x *exchange) succeeded() bool { return x.headerSent && x.status < http.StatusBadRequest }

// observeDuration records how long an attempt took that sent the whole answer, without an error status, or
// that the deadline ended.
func (x *exchange) observeDuration(took time.Duration, eventsOfAttempt int) {
	size := 1.0
	if x.route.Streaming {
		if x.request.LastEvent != "" || x.events > eventsOfAttempt {
			return
		}
		size = x.server.lengths.Expect(x.route.Name, x.lengthHint()).Median
	}
	x.server.durations.Observe(x.route.Name, size, took, x.server.Clock.Now())
}
