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

var lastID atomic.Uint64

func newID() string {
	return "engine-" + strconv.FormatUint(lastID.Add(1), 10)
}

// complete serves a completion, whole or streamed.
func (s *Server) complete(w http.ResponseWriter, r *http.Request) {
	if s.faultBeforeRead(w, r) {
		return
	}
	j, ok := decode(w, r, newID)
	if !ok {
		return
	}
	w.Header().Set(HeaderAttempt, j.attempt)
	if s.state.isDraining() {
		w.Header().Set(HeaderDraining, "true")
	}
	if s.faultAfterRead(w, r) || s.refused(w, j) {
		return
	}
	if !s.counts.claim(j.attempt) {
		writeError(w, http.StatusConflict, "duplicate_attempt", "attempt was seen before")
		return
	}
	if err := s.enter(r.Context(), j); err != nil {
		s.counts.release(j.attempt)
		s.notStarted(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	st := s.start(r, j)
	if _, ok := s.Faults.Trigger(r, ResetAfterRead); ok {
		host.ResetConnection(w)
		return
	}
	s.answer(w, r, st, j)
}

func (s *Server) answer(w http.ResponseWriter, r *http.Request, st *stream, j job) {
	if j.own {
		defer st.cancel()
	}
	if j.stream {
		s.writeStream(w, r, st, 0)
		return
	}
	s.writeWhole(w, r, st)
}

func (s *Server) faultBeforeRead(w http.ResponseWriter, r *http.Request) bool {
	rule, ok := s.Faults.Trigger(r, Refuse, ResetBefore)
	switch {
	case !ok:
		return false
	case rule.Kind == Refuse:
		s.notStarted(w, http.StatusServiceUnavailable, "refused")
	default:
		host.ResetConnection(w)
	}
	return true
}

// faultAfterRead applies the faults that keep a request from running. Rules
// with AfterPieces strike within the stream instead.
func (s *Server) faultAfterRead(w http.ResponseWriter, r *http.Request) bool {
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

// refused answers requests that the engine can't take.
func (s *Server) refused(w http.ResponseWriter, j job) bool {
	if s.state.isDraining() {
		s.counts.refuse()
		s.notStarted(w, http.StatusServiceUnavailable, "draining")
		return true
	}
	if !s.state.loaded(j.ref, s.clock.Now()) {
		s.notStarted(w, http.StatusNotFound, "version is not loaded")
		return true
	}
	return false
}

func (s *Server) notStarted(w http.ResponseWriter, status int, reason string) {
	w.Header().Set(HeaderNotStarted, "true")
	writeError(w, status, "not_started", reason)
}

// enter waits for a slot until the request's deadline.
func (s *Server) enter(ctx context.Context, j job) error {
	if j.deadline > 0 {
		var cancel context.CancelFunc
		ctx, cancel = clockDeadline(ctx, s.clock, j.deadline)
		defer cancel()
	}
	err := s.batch.enter(ctx, j.priority)
	if errorx.IsOfType(err, errExpired) {
		return errorx.Decorate(err, "deadline passed or caller left")
	}
	return err
}

// start registers the stream and makes its tokens on a goroutine of its own,
// which goes on when the caller's connection ends.
func (s *Server) start(r *http.Request, j job) *stream {
	now := s.clock.Now()
	total, cached := s.prefixes.use(j.ref.Model, j.prompt, now)
	length := naturalLength(j.ref.Model, j.ref.Version, j.prompt, s.options.MinTokens, s.options.MaxTokens)
	limited := j.limit > 0 && j.limit < length
	if limited {
		length = j.limit
	}
	ctx, cancel := context.WithCancel(s.ctx)
	st := &stream{
		attempt: j.attempt, ref: j.ref, chat: j.chat, total: length, limited: limited,
		prompt: total, cached: cached, created: now.Unix(), cancel: cancel,
		answer: answer{hash: answerHash(j.ref.Model, j.ref.Version, j.prompt), good: s.good(r, j)},
	}
	s.streams.add(st)
	s.counts.started(j.attempt, j.prompt)
	s.work.Go(func() { s.generate(ctx, st) })
	return st
}

// good draws the quality of an answer.
func (s *Server) good(r *http.Request, j job) bool {
	if _, ok := s.Faults.Trigger(r, BadQuality); ok {
		return false
	}
	quality, ok := s.options.Quality[j.ref.Model+"@"+j.ref.Version]
	if !ok {
		return true
	}
	draw := mix(answerHash(j.ref.Model, j.ref.Version, j.prompt) ^ s.options.Seed)
	return float64(draw>>11)/(1<<53) < quality
}

func (s *Server) generate(ctx context.Context, st *stream) {
	defer st.cancel()
	defer s.batch.leave()
	whole := fault.Wait(ctx, s.clock, time.Duration(st.prompt-st.cached)*s.options.PrefillTime)
	made := 0
	if whole && s.options.TokenTime+s.options.TokenTimePerRunning == 0 {
		made = st.total
		st.advance(made)
	}
	for whole && made < st.total {
		running, _ := s.batch.sizes()
		pause := s.options.TokenTime + time.Duration(running)*s.options.TokenTimePerRunning
		if whole = fault.Wait(ctx, s.clock, pause); whole {
			made++
			st.advance(made)
		}
	}
	now := s.clock.Now()
	s.counts.ended(st.attempt, made, !whole)
	st.end(now, !whole)
	s.streams.finish(st, now)
}

// clockDeadline returns a context that ends after d on the clock.
func clockDeadline(parent context.Context, clock clockwork.Clock, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	timer := clock.AfterFunc(d, cancel)
	return ctx, func() {
		timer.Stop()
		cancel()
	}
}
