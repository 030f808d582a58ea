package entry

import (
	"context"
	"sync"
	"time"

	"github.com/poplarshore/poplarshore/internal/sequence"
	"github.com/poplarshore/poplarshore/refusal"
	"github.com/poplarshore/poplarshore/retry"
)

// race runs an attempt and, if that is slow, a hedge in parallel. The first attempt
// to deliver a piece becomes the answer; the other one is cancelled.
type race struct {
	server   *Server
	exchange *Exchange
	job      *job
	sink     answerSink
	results  chan attemptResult

	mu      sync.Mutex
	winner  *attempt
	cancels map[*attempt]context.CancelCauseFunc
}

// attemptResult is the result of one attempt of a race.
type attemptResult struct {
	attempt *attempt
	err     error
}

// maxRaceAttempts is the maximum number of attempts in one race.
const maxRaceAttempts = 2

func (s *Server) newRace(x *Exchange, j *job, sink answerSink) *race {
	return &race{
		server: s, exchange: x, job: j, sink: sink, results: make(chan attemptResult, maxRaceAttempts),
		cancels: make(map[*attempt]context.CancelCauseFunc),
	}
}

// start runs an attempt in a new goroutine, which sends its result to results.
func (r *race) start(ctx context.Context, a *attempt) {
	ctx, cancel := context.WithCancelCause(ctx)
	r.mu.Lock()
	r.cancels[a] = cancel
	r.mu.Unlock()
	go func() {
		defer cancel(nil)
		err := r.server.runAttempt(ctx, r.exchange, r.job, a, &raceSink{race: r, attempt: a})
		r.results <- attemptResult{attempt: a, err: err}
	}()
}

// tryWin makes the attempt the winner and cancels the other one, unless the race has
// a winner. It reports whether the attempt is the winner.
func (r *race) tryWin(a *attempt) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.winner != nil {
		return r.winner == a
	}
	r.winner = a
	for other, cancel := range r.cancels {
		if other != a {
			cancel(refusal.New(refusal.CallerGone))
		}
	}
	return true
}

func (r *race) currentWinner() *attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.winner
}

// run runs the race until all of its attempts have ended. It returns the winner, or
// the attempt that failed first if there is none, with its error.
func (r *race) run(ctx context.Context, state *retry.State, first *attempt) (*attempt, error) {
	s := r.server
	r.start(ctx, first)
	running := 1
	hedgeDue, stop := s.hedgeTimer(state, first, r.job.requirements(r.exchange.Client))
	defer stop()
	var result attemptResult
	for running > 0 {
		select {
		case ended := <-r.results:
			running--
			if result.attempt == nil || ended.attempt == r.currentWinner() {
				result = ended
			}
		case <-hedgeDue:
			if r.hedge(ctx, state, first) {
				running++
			}
		}
	}
	return result.attempt, result.err
}

// hedgeTimer returns a channel that receives when a hedge is due because the attempt
// is slow, and a function that stops the timer. The channel is nil if the request must
// not be hedged or the expected time to the first piece is unknown.
func (s *Server) hedgeTimer(state *retry.State, a *attempt, requirements Requirements) (<-chan time.Time, func()) {
	requirements.Ref = a.ref
	expected := s.Placement.ExpectedTimeToFirstPiece(a.engine, requirements)
	delay, hedged := s.Retry.HedgeDelay(state, expected)
	if !hedged || expected == 0 {
		return nil, func() {}
	}
	timer := s.Clock.NewTimer(delay)
	return timer.Chan(), func() { timer.Stop() }
}

// hedge starts a second attempt with the same version on another engine. It returns
// false if the race has a winner, the retry budgets are exhausted or no such engine is
// available.
func (r *race) hedge(ctx context.Context, state *retry.State, first *attempt) bool {
	s := r.server
	if r.currentWinner() != nil || s.Retry.DecideHedge(state, s.Clock.Now()).Action != retry.Hedge {
		return false
	}
	hedgeJob := *r.job
	hedgeJob.tried = append(append(hedgeJob.tried[:0:0], hedgeJob.tried...), first.engine.ID)
	a, err := s.placeAttempt(r.exchange, &hedgeJob)
	if err != nil || a.engine.ID == first.engine.ID || a.ref != first.ref {
		return false
	}
	state.Attempts++
	state.Hedged = true
	s.metrics.hedges.Inc()
	r.start(ctx, a)
	return true
}

// raceSink is the sink of one attempt of a race. It forwards the pieces if the attempt
// wins.
type raceSink struct {
	race    *race
	attempt *attempt
	winner  bool
}

func (s *raceSink) start(*attempt) {}

func (s *raceSink) started() bool { return s.winner && s.race.sink.started() }

func (s *raceSink) writePiece(p sequence.Piece) error {
	if !s.winner {
		if !s.race.tryWin(s.attempt) {
			return errLostRace.New("another attempt delivered the first piece")
		}
		s.winner = true
		s.race.sink.start(s.attempt)
	}
	return s.race.sink.writePiece(p)
}

func (s *raceSink) flush() {
	if s.winner {
		s.race.sink.flush()
	}
}
