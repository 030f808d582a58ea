package engine

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/joomcode/errorx"

	"github.com/poplarshore/poplarshore/standin/fault"
	"github.com/poplarshore/poplarshore/standin/host"
)

// lastGeneratedID is the number of the newest ID from generateAttemptID.
var lastGeneratedID atomic.Uint64

// generateAttemptID returns the attempt ID for a request that has none.
func generateAttemptID() string {
	return "engine-" + strconv.FormatUint(lastGeneratedID.Add(1), 10)
}

// serveCompletion serves chat and text completions, streamed or as one JSON body.
func (s *Server) serveCompletion(w http.ResponseWriter, r *http.Request) {
	if s.injectBeforeRead(w, r) {
		return
	}
	req, ok := decodeRequest(w, r, generateAttemptID)
	if !ok {
		return
	}
	w.Header().Set(HeaderAttempt, req.attemptID)
	if s.state.isDraining() {
		w.Header().Set(HeaderDraining, "true")
	}
	if s.injectBeforeRun(w, r) || s.rejectUnavailable(w, req) {
		return
	}
	if !s.counts.register(req.attemptID) {
		writeError(w, http.StatusConflict, "duplicate_attempt", "attempt was seen before")
		return
	}
	if err := s.acquireSlot(r.Context(), req); err != nil {
		s.counts.unregister(req.attemptID)
		s.writeNotStarted(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	st := s.startStream(r, req)
	if _, ok := s.Faults.Trigger(r, ResetAfterRead); ok {
		host.ResetConnection(w)
		return
	}
	s.respond(w, r, st, req)
}

// respond writes the response of a started run. If the attempt ID was generated here, the
// run is cancelled when the response ends; otherwise it continues and can be resumed.
func (s *Server) respond(w http.ResponseWriter, r *http.Request, st *stream, req completionRequest) {
	if req.generatedID {
		defer st.cancel()
	}
	if req.stream {
		s.writeStream(w, r, st, 0)
		return
	}
	s.writeResponse(w, r, st)
}

// injectBeforeRead applies the faults that fail a request before its body is read, and
// reports whether it did.
func (s *Server) injectBeforeRead(w http.ResponseWriter, r *http.Request) bool {
	rule, ok := s.Faults.Trigger(r, Refuse, ResetBeforeRead)
	switch {
	case !ok:
		return false
	case rule.Kind == Refuse:
		s.writeNotStarted(w, http.StatusServiceUnavailable, "refused")
	default:
		host.ResetConnection(w)
	}
	return true
}

// injectBeforeRun applies the faults that fail a request after its body is read and
// before it runs, and reports whether it did. It ignores the rule's AfterPieces; the
// kinds that use that field are applied while the response is written.
func (s *Server) injectBeforeRun(w http.ResponseWriter, r *http.Request) bool {
	rule, ok := s.Faults.Trigger(r, ErrorStatus)
	if !ok {
		return false
	}
	status := rule.Status
	if status == 0 {
		status = http.StatusInternalServerError
	}
	writeError(w, status, "server_error", "injected error")
	return true
}

// rejectUnavailable refuses a request if the engine is draining or the version isn't
// loaded, and reports whether it did.
func (s *Server) rejectUnavailable(w http.ResponseWriter, req completionRequest) bool {
	if s.state.isDraining() {
		s.counts.countRefusal()
		s.writeNotStarted(w, http.StatusServiceUnavailable, "draining")
		return true
	}
	if !s.state.isLoaded(req.version, s.clock.Now()) {
		s.writeNotStarted(w, http.StatusNotFound, "version is not loaded")
		return true
	}
	return false
}

// writeNotStarted responds with an error and the header that says that the request had no
// effect.
func (s *Server) writeNotStarted(w http.ResponseWriter, status int, reason string) {
	w.Header().Set(HeaderNotStarted, "true")
	writeError(w, status, "not_started", reason)
}

// acquireSlot reserves a slot of the scheduler. It waits until the request's deadline, if
// there is one, or until the caller disconnects.
func (s *Server) acquireSlot(ctx context.Context, req completionRequest) error {
	if req.deadline > 0 {
		var cancel context.CancelFunc
		ctx, cancel = withTimeout(ctx, s.clock, req.deadline)
		defer cancel()
	}
	err := s.scheduler.acquire(ctx, req.priority)
	if errorx.IsOfType(err, errWaitCancelled) {
		return errorx.Decorate(err, "deadline passed or caller left")
	}
	return err
}

// startStream registers a stream and starts a goroutine that generates its tokens. The
// goroutine continues when the caller's connection is lost, so that the stream can be
// resumed.
func (s *Server) startStream(r *http.Request, req completionRequest) *stream {
	now := s.clock.Now()
	promptTokens, cachedTokens := s.prefixes.lookupAndStore(req.version.Model, req.prompt, now)
	tokens := naturalLength(req.version.Model, req.version.Version, req.prompt, s.options.MinTokens, s.options.MaxTokens)
	lengthLimited := req.maxTokens > 0 && req.maxTokens < tokens
	if lengthLimited {
		tokens = req.maxTokens
	}
	ctx, cancel := context.WithCancel(s.ctx)
	st := &stream{
		attemptID: req.attemptID, version: req.version, chat: req.chat, totalTokens: tokens, lengthLimited: lengthLimited,
		promptTokens: promptTokens, cachedTokens: cachedTokens, createdUnix: now.Unix(), cancel: cancel,
		answer: answer{hash: answerHash(req.version.Model, req.version.Version, req.prompt), good: s.drawQuality(r, req)},
	}
	s.streams.add(st)
	s.counts.recordStart(req.attemptID, req.prompt)
	s.generators.Go(func() { s.generate(ctx, st) })
	return st
}

// drawQuality reports whether the answer is a good one. The draw depends on the seed, the
// model, the version and the prompt only, so equal requests get the same result.
func (s *Server) drawQuality(r *http.Request, req completionRequest) bool {
	if _, ok := s.Faults.Trigger(r, BadQuality); ok {
		return false
	}
	quality, ok := s.options.Quality[req.version.Model+"@"+req.version.Version]
	if !ok {
		return true
	}
	draw := splitMix64(answerHash(req.version.Model, req.version.Version, req.prompt) ^ s.options.Seed)
	return float64(draw>>11)/(1<<53) < quality
}

// generate advances the stream in time with the configured speeds, until all tokens are
// generated or ctx ends, and then frees the slot.
func (s *Server) generate(ctx context.Context, st *stream) {
	defer st.cancel()
	defer s.scheduler.release()
	completed := fault.Wait(ctx, s.clock, time.Duration(st.promptTokens-st.cachedTokens)*s.options.PrefillTime)
	generated := 0
	if completed && s.options.TokenTime+s.options.TokenTimePerRunning == 0 {
		generated = st.totalTokens
		st.advance(generated)
	}
	for completed && generated < st.totalTokens {
		running, _ := s.scheduler.occupancy()
		tokenTime := s.options.TokenTime + time.Duration(running)*s.options.TokenTimePerRunning
		if completed = fault.Wait(ctx, s.clock, tokenTime); completed {
			generated++
			st.advance(generated)
		}
	}
	now := s.clock.Now()
	s.counts.recordEnd(st.attemptID, generated, !completed)
	st.end(now, !completed)
	s.streams.finish(st, now)
}

// withTimeout returns a context that is cancelled once timeout has passed on the clock.
func withTimeout(parent context.Context, clock clockwork.Clock, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	timer := clock.AfterFunc(timeout, cancel)
	return ctx, func() {
		timer.Stop()
		cancel()
	}
}
