package entry

import (
	"context"
	"sync"
	"time"

	"github.com/poplarshore/poplarshore/internal/sequence"
	"github.com/poplarshore/poplarshore/refusal"
	"github.com/poplarshore/poplarshore/retry"
)

// race runs an attempt and, where that is slow, a hedge beside it. The first
// to bring a piece becomes the answer; the other is given up.
type race struct {
	server *Server
	x      *Exchange
	job    *job
	out    sink
	ended  chan raceEnd

	mu      sync.Mutex
	winner  *attempt
	cancels map[*attempt]context.CancelCauseFunc
}

// raceEnd is the end of one attempt.
type raceEnd struct {
	attempt *attempt
	err     error
}

// maxRacers is the number of attempts in one race.
const maxRacers = 2

func (s *Server) newRace(x *Exchange, j *job, out sink) *race {
	return &race{
		server: s, x: x, job: j, out: out, ended: make(chan raceEnd, maxRacers),
		cancels: make(map[*attempt]context.CancelCauseFunc),
	}
}

// start runs an attempt in a goroutine of its own.
func (r *race) start(ctx context.Context, a *attempt) {
	ctx, cancel := context.WithCancelCause(ctx)
	r.mu.Lock()
	r.cancels[a] = cancel
	r.mu.Unlock()
	go func() {
		defer cancel(nil)
		err := r.server.runAttempt(ctx, r.x, r.job, a, &laneSink{race: r, attempt: a})
		r.ended <- raceEnd{attempt: a, err: err}
	}()
}

// claim makes the attempt the winner, if no other is, and gives up the other.
func (r *race) claim(a *attempt) bool {
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

func (r *race) won() *attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.winner
}

// run waits for the race's end. It returns the attempt that became the answer,
// or the last one to fail. All attempts have ended when it returns.
func (r *race) run(ctx context.Context, state *retry.State, first *attempt) (*attempt, error) {
	s := r.server
	r.start(ctx, first)
	running := 1
	slow, stop := s.hedgeTimer(state, first, r.job.want(r.x.Client))
	defer stop()
	var best raceEnd
	for running > 0 {
		select {
		case end := <-r.ended:
			running--
			if best.attempt == nil || end.attempt == r.won() {
				best = end
			}
		case <-slow:
			if r.hedge(ctx, state, first) {
				running++
			}
		}
	}
	return best.attempt, best.err
}

// hedgeTimer returns a channel that receives when the attempt is slow; nil
// where it is not hedged or nothing is known of the engine's pace.
func (s *Server) hedgeTimer(state *retry.State, a *attempt, want Want) (<-chan time.Time, func()) {
	want.Ref = a.ref
	expected := s.Placement.Expected(a.engine, want)
	after, hedged := s.Retry.HedgeDelay(state, expected)
	if !hedged || expected == 0 {
		return nil, func() {}
	}
	timer := s.Clock.NewTimer(after)
	return timer.Chan(), func() { timer.Stop() }
}

// hedge starts a second attempt, if the budgets and the upstreams allow.
func (r *race) hedge(ctx context.Context, state *retry.State, first *attempt) bool {
	s := r.server
	if r.won() != nil || s.Retry.DecideHedge(state, s.Clock.Now()).Action != retry.Hedge {
		return false
	}
	beside := *r.job
	beside.tried = append(append(beside.tried[:0:0], beside.tried...), first.engine.ID)
	a, err := s.place(r.x, &beside)
	if err != nil || a.engine.ID == first.engine.ID || a.ref != first.ref {
		return false
	}
	state.Attempts++
	state.Hedged = true
	s.metrics.hedges.Inc()
	r.start(ctx, a)
	return true
}

// laneSink passes the pieces of one attempt of a race on, once it has won.
type laneSink struct {
	race    *race
	attempt *attempt
	started bool
}

func (l *laneSink) start(*attempt) {}

func (l *laneSink) begun() bool { return l.started && l.race.out.begun() }

func (l *laneSink) piece(p sequence.Piece) error {
	if !l.started {
		if !l.race.claim(l.attempt) {
			return errLost.New("another attempt came first")
		}
		l.started = true
		l.race.out.start(l.attempt)
	}
	return l.race.out.piece(p)
}

func (l *laneSink) flush() {
	if l.started {
		l.race.out.flush()
	}
}
