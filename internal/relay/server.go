package relay

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/poplarshore/poplarshore/cascade"
	"github.com/poplarshore/poplarshore/internal/upconn"
	"github.com/poplarshore/poplarshore/refusal"
	"github.com/poplarshore/poplarshore/retry"
	"github.com/poplarshore/poplarshore/upstream"
)

// Options bound what an exchange may take.
type Options struct {
	// Cascade decides between models.
	Cascade cascade.Confidence
	// MaxHeldBytes bounds an answer without events.
	MaxHeldBytes int
	// DefaultDeadline holds where neither the caller nor the route gives one.
	DefaultDeadline time.Duration
	// WriteTimeout is the longest time for a caller to take what it was sent.
	WriteTimeout time.Duration
	// BodyTimeout is the longest time for a request body to arrive.
	BodyTimeout time.Duration
}

// DefaultOptions returns the default options.
func DefaultOptions() Options {
	return Options{
		Cascade:      cascade.Confidence{Least: 58, LeastLate: 25, Fair: 48, Idle: 0.02, Busy: 0.2, InTime: 0.85, StepTime: 300 * time.Millisecond},
		MaxHeldBytes: 8 << 20, DefaultDeadline: 30 * time.Second,
		WriteTimeout: 10 * time.Second, BodyTimeout: 10 * time.Second,
	}
}

// Deps are the parts that the relay works with.
type Deps struct {
	Protocol  Protocol
	Tables    Tables
	Placement Placement
	Versions  Versions
	Retry     *retry.Policy
	Worth     *retry.Worth
	Pool      *upconn.Pool
	Clock     clockwork.Clock
	Log       *slog.Logger
	Metrics   *Metrics
	// Heavy tells other VMs of heavy work sent to an upstream.
	Heavy func(id upstream.ID, work time.Duration)
	// Refusing returns why no new work is taken, or nil.
	Refusing func() *refusal.Refusal
	// Cutting tells that what is still running is being broken off.
	Cutting func() bool
	// Closing tells that callers are to leave their connections.
	Closing func() bool
}

// Server answers callers. It implements http.Handler.
type Server struct {
	Deps
	opts    Options
	reading *reading
}

// New returns a server.
func New(deps Deps, opts Options) *Server {
	return &Server{Deps: deps, opts: opts, reading: newReading()}
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.Metrics.inFlight.Inc()
	defer s.Metrics.inFlight.Dec()
	x := &exchange{
		server: s, w: w, began: s.Clock.Now(), control: http.NewResponseController(w),
		request: s.Protocol.ReadRequest(r), draw: rand.Uint64(),
	}
	if s.Closing() {
		w.Header().Set("Connection", "close")
	}
	err := x.admit(r)
	if err == nil {
		ctx, cancel := context.WithDeadlineCause(r.Context(), x.deadline, refusal.New(refusal.DeadlineExceeded))
		err = x.run(ctx)
		cancel()
	}
	s.finish(x, r, err)
}

// finish tells the caller of an error: by a refusal where nothing was sent
// yet, else by breaking the answer off.
func (s *Server) finish(x *exchange, r *http.Request, err error) {
	if err == nil {
		s.record(x, "answered", x.status)
		return
	}
	why := refusal.Of(err)
	switch {
	case s.Cutting():
		why = refusal.Because(refusal.Draining, err)
	case r.Context().Err() != nil:
		why = refusal.Because(refusal.CallerGone, err)
	}
	if x.begun {
		s.record(x, string(why.Reason), 0)
		panic(http.ErrAbortHandler)
	}
	status := x.refusalStatus(why)
	s.record(x, string(why.Reason), status)
	if why.Reason == refusal.CallerGone {
		panic(http.ErrAbortHandler)
	}
	h := x.w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if after := why.RetryAfter; after > 0 && status == http.StatusServiceUnavailable {
		h.Set("Retry-After", strconv.FormatFloat(min(after, x.patience()).Seconds(), 'f', 3, 64))
	}
	x.w.WriteHeader(status)
	if _, err := x.w.Write([]byte(string(why.Reason) + "\n")); err != nil {
		s.Log.Debug("refusal not taken", "request", x.request.ID, "error", err)
	}
}

// refusalStatus keeps the promise that a 503 makes: the request was not run.
func (x *exchange) refusalStatus(why *refusal.Refusal) int {
	if why.Status == http.StatusServiceUnavailable && x.state.Attempts > 0 {
		return http.StatusBadGateway
	}
	return why.Status
}

const (
	// patienceShare is the part of the time left after which a caller may
	// come back.
	patienceShare = 5
	leastPatience = 50 * time.Millisecond
)

// patience returns how long a refused caller is asked to wait at most.
func (x *exchange) patience() time.Duration {
	left := x.request.Deadline - x.server.Clock.Since(x.began)
	return max(left/patienceShare, leastPatience)
}

// blame tells an end by a planned stop from one by the caller: both end the
// caller's connection.
func (s *Server) blame(reason refusal.Reason) refusal.Reason {
	if reason == refusal.CallerGone && s.Cutting() {
		return refusal.Draining
	}
	return reason
}

// callerGone tells whether an error means that the caller left.
func callerGone(err error) bool {
	var why *refusal.Refusal
	return errors.As(err, &why) && why.Reason == refusal.CallerGone
}
