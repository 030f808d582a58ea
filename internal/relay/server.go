package relay

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/poplarshore/poplarshore/cascade"
	"github.com/poplarshore/poplarshore/internal/egress"
	"github.com/poplarshore/poplarshore/internal/membudget"
	"github.com/poplarshore/poplarshore/internal/upconn"
	"github.com/poplarshore/poplarshore/pace"
	"github.com/poplarshore/poplarshore/quarantine"
	"github.com/poplarshore/poplarshore/refusal"
	"github.com/poplarshore/poplarshore/retry"
	"github.com/poplarshore/poplarshore/upstream"
	"github.com/poplarshore/poplarshore/vm"
)

// Options set the limits of an exchange.
type Options struct {
	// Cascade decides which model is asked first and whether to escalate to a
	// stronger one.
	Cascade cascade.ConfidencePolicy
	// AnswerEnd makes decisions regard when answers are expected to end. Default false.
	AnswerEnd bool
	// MaxConfigAge is the age up to which a copy of the configuration may refuse requests for want of a route or a key. Zero, the
	// default, is no limit.
	MaxConfigAge time.Duration
	// MaxBufferedBytes is the largest response without events, in bytes, and the
	// largest request body if the configuration sets no limit. Default 8 MiB.
	MaxBufferedBytes int
	// MaxWaitingBytes is how much of answers may wait for callers that read slowly. Those of one client account
	// may be a quarter of it. Default 16 MiB.
	MaxWaitingBytes int
	// DefaultDeadline is the time limit of a request if neither the caller nor
	// the route sets one. Default 30 s.
	DefaultDeadline time.Duration
	// WriteTimeout is how long a caller may take nothing of what it was sent before it is ended.
	// Default 10 s.
	WriteTimeout time.Duration
	// BodyTimeout is how long a request body may take to arrive. Default 10 s.
	BodyTimeout time.Duration
}

// DefaultOptions returns the default options.
func DefaultOptions() Options {
	return Options{
		Cascade: cascade.ConfidencePolicy{
			MinConfidence: 58, MinConfidenceLate: 25, NextModelConfidence: 48,
			IdleWait: 0.02, BusyWait: 0.2, LatestStart: 0.85, StepTime: 300 * time.Millisecond, LatestEnd: 0.8},
		MaxBufferedBytes: 8 << 20, MaxWaitingBytes: 16 << 20, DefaultDeadline: 30 * time.Second,
		WriteTimeout: 10 * time.Second, BodyTimeout: 10 * time.Second,
	}
}

// Deps holds the dependencies of a Server. All of them but Admission are required.
type Deps struct {
	Protocol  Protocol
	Tables    Tables
	Placement Placement
	Versions  Versions
	Retry     *retry.Policy
	// RepeatEstimator tracks, by route, whether repeating a request helps after an
	// upstream returned a failure.
	RepeatEstimator *retry.RepeatEstimator
	Pool            *upconn.Pool
	Quarantine      Quarantine
	// Memory bounds what is kept of responses and request bodies.
	Memory *membudget.Budget
	// VM is this VM. Reach follows whether it reaches upstreams; while it doesn't, requests go
	// to Peers by PeerPool.
	VM       vm.ID
	Reach    Reach
	Peers    Peers
	PeerPool *upconn.Pool
	// IsPeer reports whether an address is that of another VM.
	IsPeer func(netip.Addr) bool
	// Digester computes the keys of requests and parts of prompts, for Quarantine and logs.
	Digester *quarantine.Digester
	// Admission orders requests while upstreams are overloaded; nil sends all of them at once.
	Admission Admission
	Clock     clockwork.Clock
	Log       *slog.Logger
	Metrics   *Metrics
	// AnnounceWork informs other VMs that a request with a long prefill was sent to an
	// upstream.
	AnnounceWork func(u upstream.Upstream, work time.Duration)
	// AnnounceSilence informs other VMs that a request to an upstream timed out while
	// nothing came from it.
	AnnounceSilence func(u upstream.Upstream)
	// UpstreamsAge returns the time since the list of upstreams was last read.
	UpstreamsAge func() time.Duration
	// Config tells how old the copy of the configuration in force is.
	Config ConfigSource
	// AdmissionRefusal returns the reason why new requests are refused, or nil.
	AdmissionRefusal func() *refusal.Refusal
	// Draining reports whether responses should ask callers to close their
	// connections.
	Draining func() bool
}

// Server serves callers' requests. It implements http.Handler.
type Server struct {
	Deps
	opts    Options
	prefill *prefillEstimator
	lengths pace.Lengths
	// durations are those of attempts that sent the whole answer, without an error status, or that the
	// deadline ended.
	durations pace.Durations
	egress    *egress.Tracker
	// inFlight counts the requests in flight, and relayedInFlight those of other VMs.
	inFlight        atomic.Int64
	relayedInFlight atomic.Int64
	stop            *stopState
}

// New returns a server.
func New(deps Deps, opts Options) *Server {
	s := &Server{Deps: deps, opts: opts, prefill: newPrefillEstimator(), stop: newStopState()}
	s.egress = s.newEgress()
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.serve(w, r, nil) }

// serve serves a request of a caller, or of another VM if hop is not nil.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, hop *peerRequest) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	s.Metrics.inFlight.Inc()
	defer s.Metrics.inFlight.Dec()
	x := &exchange{
		server: s, w: w, startedAt: s.Clock.Now(), control: http.NewResponseController(w),
		request: s.Protocol.ReadRequest(r), randState: rand.Uint64(), hop: hop,
	}
	defer x.releaseMemory()
	defer x.releaseRelayed()
	defer x.endOutput()
	defer s.answerPanic(x, r)
	x.clearWriteDeadline()
	x.askToClose()
	ctx, detach := s.withAbort(r.Context())
	defer detach()
	err := x.admit(ctx, r)
	if err == nil {
		ctx, cancel := context.WithDeadlineCause(ctx, x.deadline, refusal.New(refusal.DeadlineExceeded))
		x.cancel = cancel
		err = x.closeOutput(x.run(ctx))
		cancel()
	}
	s.finish(x, r, err)
}

// finish records the end of an exchange. On an error it sends a refusal if no
// part of a response has been sent yet, and aborts the connection otherwise.
func (s *Server) finish(x *exchange, r *http.Request, err error) {
	if err == nil {
		s.record(x, "answered", x.status)
		return
	}
	refused := refusal.FromError(err)
	callerGone := r.Context().Err() != nil && !x.readCut || refused.Reason == refusal.CallerGone
	switch {
	case callerGone && s.aborting():
		refused = refusal.Wrap(refusal.Draining, err)
	case callerGone && refused.Reason != refusal.CallerGone:
		refused = refusal.Wrap(refusal.CallerGone, err)
	}
	x.refusalDetail = refused.Detail
	if x.headerSent {
		x.recordAborted(abortCut)
		s.record(x, string(refused.Reason), 0)
		panic(http.ErrAbortHandler)
	}
	status := x.refusalStatus(refused)
	if refused.Reason == refusal.CallerGone {
		s.record(x, string(refused.Reason), status)
		panic(http.ErrAbortHandler)
	}
	x.writeRefusal(r.Context(), refused, status)
	s.record(x, string(refused.Reason), status)
}

// abortReason returns the reason to record for an aborted attempt. A planned stop
// closes connections that are left at its end, which looks like a disconnect by the caller;
// it is recorded as Draining.
func (s *Server) abortReason(reason refusal.Reason) refusal.Reason {
	if reason == refusal.CallerGone && s.aborting() {
		return refusal.Draining
	}
	return reason
}

// isCallerGone reports whether an error means that the caller disconnected.
func isCallerGone(err error) bool {
	var refused *refusal.Refusal
	return errors.As(err, &refused) && refused.Reason == refusal.CallerGone
}
