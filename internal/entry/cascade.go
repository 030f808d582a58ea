package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/poplarshore/poplarshore/cascade"
	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/refusal"
)

// cascadeRun is one request on its way through a cascade.
type cascadeRun struct {
	c       *completion
	request cascade.Request
	run     *cascade.Run
	// held keeps the whole answers by option; rated tells which were rated.
	held  map[int]*holdSink
	rated map[int]bool
	// ended receives the ends of the attempts in flight.
	ended  chan stepEnd
	cancel map[int]context.CancelCauseFunc
	// last and lastAttempt are those of the last step to fail.
	last        error
	lastAttempt *attempt
}

// stepEnd is the end of one option's attempt, rated if that was asked for.
type stepEnd struct {
	outcome cascade.Outcome
	held    *holdSink
	attempt *attempt
	err     error
	// begun tells that a part has reached the caller.
	begun bool
}

// answerCascade tries models from cheap to strong. Nothing of an answer
// reaches the caller before the answer is accepted, but for the answer of a
// step that is accepted whatever its rating.
func (s *Server) answerCascade(ctx context.Context, c *completion, def *model.Cascade, release *deadlineTimer) error {
	request, err := s.cascadeRequest(c, def)
	if err != nil {
		return err
	}
	run, step := s.Cascades.Start(request, s.Clock.Now())
	cr := &cascadeRun{
		c: c, request: request, run: run, held: make(map[int]*holdSink), rated: make(map[int]bool),
		ended: make(chan stepEnd, len(request.Options)), cancel: make(map[int]context.CancelCauseFunc),
	}
	defer cr.cancelAll()
	shadow := step.Shadow
	for {
		var end stepEnd
		switch {
		case step.Kind == cascade.Accept:
			return s.acceptStep(cr, step, shadow)
		case step.Kind == cascade.Exhausted:
			return s.exhaustedStep(cr)
		case c.request.Stream && step.Stream != cascade.NoOption && len(step.Start) == 1:
			var done bool
			if end, done, err = s.streamStep(ctx, cr, step, release); done {
				return err
			}
		default:
			s.startSteps(ctx, cr, step)
			end = s.awaitStep(cr)
		}
		if end.err != nil && s.over(ctx, end) {
			s.billPart(c.x, end.attempt, end.err)
			return end.err
		}
		step = s.Cascades.Next(run, end.outcome, s.Clock.Now())
	}
}

// over tells whether the whole exchange is over after a step failed.
func (s *Server) over(ctx context.Context, end stepEnd) bool {
	return end.begun || ctx.Err() != nil || refusal.FromError(end.err).Reason == refusal.UpstreamRejected
}

// cascadeRequest describes the request to the decider: the models that the
// contract allows, with the price and quality of the version in use.
func (s *Server) cascadeRequest(c *completion, def *model.Cascade) (cascade.Request, error) {
	contract := c.x.Client.Contract
	request := cascade.Request{
		Contract: contract.ID, Target: contract.QualityTarget, Deadline: c.x.Deadline,
		Class: cascade.ClassOf(c.class, c.request.PromptTokens()),
	}
	for _, name := range def.Steps {
		if !contract.AllowsModel(name) {
			continue
		}
		refs, err := s.versions(c.x.Index, c.x.Client, s.newJob(c, name))
		if err != nil {
			continue
		}
		v := c.x.Index.Version(refs[0])
		request.Options = append(request.Options, cascade.Option{
			Model: name, Cost: v.Cost(c.request.PromptTokens(), c.request.MaxTokens), Quality: v.Quality,
		})
	}
	if len(request.Options) == 0 {
		return request, refusal.New(refusal.VersionsWithdrawn)
	}
	return request, nil
}

func (s *Server) startSteps(ctx context.Context, cr *cascadeRun, step cascade.Step) {
	for _, option := range step.Start {
		attemptCtx, cancel := context.WithCancelCause(ctx)
		cr.cancel[option] = cancel
		go func() { cr.ended <- s.runStep(attemptCtx, cr.c, cr.request.Options[option].Model, option, step) }()
	}
}

// runStep gets one option's whole answer, and its rating where it is asked for.
func (s *Server) runStep(ctx context.Context, c *completion, name model.Name, option int, step cascade.Step) stepEnd {
	began := s.Clock.Now()
	end := stepEnd{outcome: cascade.Outcome{Option: option}, held: s.newHold(c)}
	end.attempt, end.err = s.dispatch(ctx, c.x, s.newJob(c, name), end.held)
	end.outcome.Latency = s.Clock.Since(began)
	end.outcome.Failed = end.err != nil
	if end.err == nil && step.Rate {
		s.rateStep(ctx, c, &end, step.RatingTimeout)
	}
	return end
}

func (s *Server) rateStep(ctx context.Context, c *completion, end *stepEnd, within time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	began := s.Clock.Now()
	score, err := s.Ratings.Rate(ctx, c.rating(end.attempt, end.held.answer.Text()))
	end.outcome.RatingRequested = true
	end.outcome.RatingLatency = s.Clock.Since(began)
	end.outcome.Rated = err == nil
	end.outcome.Score = score
}

// awaitStep waits for the end of an attempt in flight.
func (s *Server) awaitStep(cr *cascadeRun) stepEnd {
	end := <-cr.ended
	if end.err == nil {
		cr.held[end.outcome.Option] = end.held
		cr.rated[end.outcome.Option] = end.outcome.Rated
	} else {
		cr.last, cr.lastAttempt = end.err, end.attempt
	}
	return end
}

// streamStep passes the answer of an option on as it comes. It is done when the
// whole answer was passed on, whether or not it could be ended.
func (s *Server) streamStep(ctx context.Context, cr *cascadeRun, step cascade.Step, release *deadlineTimer) (end stepEnd, done bool, err error) {
	c := *cr.c
	c.request = c.request.clone()
	c.request.Model = cr.request.Options[step.Stream].Model
	began := s.Clock.Now()
	out, a, err := s.stream(ctx, &c, release)
	end = stepEnd{attempt: a, err: err, begun: out.begun()}
	end.outcome = cascade.Outcome{Option: step.Stream, Failed: err != nil, Latency: s.Clock.Since(began)}
	if err != nil {
		cr.last, cr.lastAttempt = err, a
		return end, false, nil
	}
	s.Cascades.Observe(cr.run, end.outcome, s.Clock.Now())
	return end, true, s.endStream(&c, out, a)
}

// acceptStep delivers the accepted answer and stops the others.
func (s *Server) acceptStep(cr *cascadeRun, step cascade.Step, shadow int) error {
	cr.cancelAll()
	held := cr.held[step.Answer]
	if held == nil {
		return refusal.New(refusal.InternalFault).WithRan(cr.c.x.ran())
	}
	if err := s.sendHeld(cr.c, held, !cr.rated[step.Answer] && s.Ratings.Sampled()); err != nil {
		return err
	}
	if step.Audit || shadow != cascade.NoOption {
		s.learners.Offer(lesson{cr: cr, held: held, option: step.Answer, audit: step.Audit, shadow: shadow})
	}
	return nil
}

func (s *Server) exhaustedStep(cr *cascadeRun) error {
	if cr.last != nil {
		s.billPart(cr.c.x, cr.lastAttempt, cr.last)
		return cr.last
	}
	return refusal.New(refusal.UpstreamFailed).WithRan(cr.c.x.ran())
}

func (cr *cascadeRun) cancelAll() {
	for _, cancel := range cr.cancel {
		cancel(refusal.New(refusal.CallerGone))
	}
}

// listModels lists what the account may use.
func (s *Server) listModels(x *Exchange, w http.ResponseWriter, _ *http.Request) error {
	type entry struct {
		ID      model.Name `json:"id"`
		Object  string     `json:"object"`
		OwnedBy string     `json:"owned_by"`
	}
	list := struct {
		Object string  `json:"object"`
		Data   []entry `json:"data"`
	}{Object: "list", Data: []entry{}}
	for _, name := range x.Client.Contract.Models {
		list.Data = append(list.Data, entry{ID: name, Object: "model", OwnedBy: "poplarshore"})
	}
	return writeJSON(w, http.StatusOK, list)
}
