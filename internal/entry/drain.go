package entry

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/poplarshore/poplarshore/refusal"
)

// stopState is the state of the planned stop of a server: it serves, then drains, then aborts
// what is left. Its contexts end with these changes.
type stopState struct {
	// drainEnd is when requests in flight will be aborted; nil before the drain.
	drainEnd atomic.Pointer[time.Time]

	draining, aborting           context.Context
	beginDraining, beginAborting context.CancelFunc
	// recording is the parent of the contexts of claims' and billing records' writes, which go on
	// for a short time after the other work of a request was aborted.
	recording    context.Context
	endRecording context.CancelFunc
}

func newStopState() *stopState {
	s := &stopState{}
	s.draining, s.beginDraining = context.WithCancel(context.Background())
	s.aborting, s.beginAborting = context.WithCancel(context.Background())
	s.recording, s.endRecording = context.WithCancel(context.Background())
	return s
}

// canHold reports whether a request with the deadline ends before it would be aborted.
func (s *stopState) canHold(deadline time.Time) bool {
	end := s.drainEnd.Load()
	return end == nil || (s.aborting.Err() == nil && !deadline.After(*end))
}

// Drain makes the server refuse new requests from now on. It also refuses requests that wait, for
// their body, admission or another attempt, if their deadline is after end, and sends no such request
// to an upstream. The other requests go on; those left at end should be ended by Abort.
func (s *Server) Drain(end time.Time) {
	s.stop.drainEnd.Store(&end)
	s.stop.beginDraining()
	s.requests.startDraining()
}

// Abort ends the requests in flight after Drain. Each caller gets a refusal that says whether the
// request may have run, or an answer that is visibly truncated. Claims and billing records of these
// requests may be written for the given time; use Idle to wait until the requests have ended.
func (s *Server) Abort(recordTime time.Duration) {
	s.stop.beginAborting()
	time.AfterFunc(recordTime, s.stop.endRecording)
}

// Idle returns a channel that is closed once the server drains and no request is
// in flight. Without a call of Drain it is never closed.
func (s *Server) Idle() <-chan struct{} {
	return s.requests.idle()
}

// InFlight returns the number of requests in flight.
func (s *Server) InFlight() int {
	return s.requests.count()
}

// abortableContext returns a context that ends with the parent, or when the requests in flight are
// aborted. Its cause is a refusal then.
func (s *Server) abortableContext(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	stop := context.AfterFunc(s.stop.aborting, func() { cancel(refusal.New(refusal.Draining)) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// waitContext returns a context for a wait before the next attempt of the exchange. It ends with the
// parent, or when a drain begins that can't hold the exchange.
func (s *Server) waitContext(parent context.Context, x *Exchange) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	deadline := x.Deadline
	stop := context.AfterFunc(s.stop.draining, func() {
		if !s.stop.canHold(deadline) {
			cancel(refusal.New(refusal.Draining))
		}
	})
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// resumableElsewhere reports whether the caller of an attempt that has ended may read the rest of its
// answer at another VM: it has received a resume token, and this server ends its requests.
func (s *Server) resumableElsewhere(sink answerSink) bool {
	return s.stop.aborting.Err() != nil && sink.started()
}

// checkDrain returns a refusal if the server drains and can't hold the exchange. It must be called
// before anything is sent to an upstream.
func (s *Server) checkDrain(x *Exchange) error {
	if s.stop.canHold(x.Deadline) {
		return nil
	}
	return drainRefusal(x)
}

// drainRefusal returns the refusal of an exchange that the stop of the server ends.
func drainRefusal(x *Exchange) *refusal.Refusal {
	draining := refusal.New(refusal.Draining)
	if x.ran() == refusal.RanNo {
		return draining
	}
	return refusal.New(refusal.AnswerCut).With("%s", draining.Help).WithRetryAfter(draining.RetryAfter)
}

// bodyDiscardTimeout is how long the rest of a body is read after the request was refused. A
// connection closed with unread data is reset, and the caller might lose the refusal.
const bodyDiscardTimeout = 500 * time.Millisecond

// interruptRead makes reads of the request body fail when ctx ends. The returned function ends this
// and reports whether ctx ended before.
func (s *Server) interruptRead(ctx context.Context, controller *http.ResponseController) func() (interrupted bool) {
	done := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(done)
		_ = controller.SetReadDeadline(time.Now())
	})
	return func() bool {
		if stop() {
			return false
		}
		<-done
		_ = controller.SetReadDeadline(time.Now().Add(bodyDiscardTimeout))
		return true
	}
}
