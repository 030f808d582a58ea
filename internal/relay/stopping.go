package relay

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/poplarshore/poplarshore/refusal"
)

// stopState is how far a planned stop of the VM has come.
type stopState struct {
	// begun ends, by begin, when the stop begins. abortAt is when running requests will be ended;
	// nil before.
	begun   context.Context
	begin   context.CancelFunc
	abortAt atomic.Pointer[time.Time]
	// aborted ends, by abort, when the running requests are to be ended.
	aborted context.Context
	abort   context.CancelFunc
}

func newStopState() *stopState {
	state := &stopState{}
	state.begun, state.begin = context.WithCancel(context.Background())
	state.aborted, state.abort = context.WithCancel(context.Background())
	return state
}

// BeginStop tells that a planned stop has begun, and when running requests will be ended. From now on
// requests that can't end before that are not sent to upstreams.
func (s *Server) BeginStop(abortAt time.Time) {
	s.stop.abortAt.Store(&abortAt)
	s.stop.begin()
}

// Abort ends the running requests, and those that begin from now on. Each is answered by what is
// known of it: with the failure of an upstream that is at hand, with status 503 if it has not run
// and with 502 if it may have. An answer that has begun is broken off.
func (s *Server) Abort() { s.stop.abort() }

// aborting reports whether running requests are being ended.
func (s *Server) aborting() bool { return s.stop.aborted.Err() != nil }

// withAbort returns a context that ends with ctx, or by Abort, which is its cause then.
func (s *Server) withAbort(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, end := context.WithCancelCause(ctx)
	detach := context.AfterFunc(s.stop.aborted, func() { end(refusal.New(refusal.Draining)) })
	return ctx, func() {
		detach()
		end(nil)
	}
}

// idlePoll is the interval at which AwaitIdle looks at the requests in flight.
const idlePoll = 5 * time.Millisecond

// AwaitIdle waits until no request is in flight, at most for the timeout. It reports
// whether none is.
func (s *Server) AwaitIdle(timeout time.Duration) bool {
	until := s.Clock.Now().Add(timeout)
	for s.InFlight() > 0 {
		left := until.Sub(s.Clock.Now())
		if left <= 0 {
			return false
		}
		s.Clock.Sleep(min(left, idlePoll))
	}
	return true
}

// abortEnd is what became of a request that the end of a planned stop's grace ended.
type abortEnd string

const (
	// abortAnswered: the caller was sent a status.
	abortAnswered abortEnd = "answered"
	// abortCut: an answer that had begun was broken off.
	abortCut abortEnd = "cut"
	// abortUnsent: the connection ended before a status was sent.
	abortUnsent abortEnd = "unsent"
)

// recordAborted records what became of the exchange if running requests are being aborted.
func (x *exchange) recordAborted(end abortEnd) {
	if x.server.aborting() {
		x.abortEnd = end
	}
}

// InFlight returns the number of requests in flight.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }
