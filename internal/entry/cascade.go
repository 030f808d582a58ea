package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/poplarshore/poplarshore/cascade"
	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/refusal"
)

// cascadeRun is the state of one request to a cascade. Options are identified by
// their index in request.Options.
type cascadeRun struct {
	completion *completion
	request    cascade.Request
	run        *cascade.Run
	// answers holds the complete answers by option; rated reports which of them were
	// rated.
	answers map[int]*bufferSink
	rated   map[int]bool
	// results receives the results of the options in flight.
	results chan stepResult
	cancels map[int]context.CancelCauseFunc
	// lastErr and lastAttempt belong to the option that failed last.
	lastErr     error
	lastAttempt *attempt
}

// stepResult is the result of one option, with its rating if one was requested.
type stepResult struct {
	outcome cascade.Outcome
	answer  *bufferSink
	attempt *attempt
	err     error
	// started reports whether a part of the answer was sent to the caller.
	started bool
}

// answerCascade tries the models of the cascade, from the cheapest to the strongest,
// until an answer is accepted. Answers are buffered until they are accepted, except
// that of a step that is accepted regardless of its rating, which is streamed.
func (s *Server) answerCascade(ctx context.Context, c *completion, def *model.Cascade, timer *deadlineTimer) error {
	request, err := s.cascadeRequest(c, def)
	if err != nil {
		return err
	}
	run, step := s.Cascades.Start(request, s.Clock.Now())
	cr := &cascadeRun{
		completion: c, request: request, run: run, answers: make(map[int]*bufferSink), rated: make(map[int]bool),
		results: make(chan stepResult, len(request.Options)), cancels: make(map[int]context.CancelCauseFunc),
	}
	defer cr.cancelAll()
	shadow := step.Shadow
	for {
		var result stepResult
		switch {
		case step.Kind == cascade.Accept:
			return s.acceptStep(cr, step, shadow)
		case step.Kind == cascade.Exhausted:
			return s.exhaustedStep(cr)
		case c.request.Stream && step.Stream != cascade.NoOption && len(step.Start) == 1:
			var done bool
			if result, done, err = s.streamStep(ctx, cr, step, timer); done {
				return err
			}
		default:
			s.startOptions(ctx, cr, step)
			result = s.awaitStep(cr)
		}
		if result.err != nil && s.endsExchange(ctx, result) {
			s.billIncomplete(c.exchange, result.attempt, result.err)
			return result.err
		}
		step = s.Cascades.Next(run, result.outcome, s.Clock.Now())
	}
}

// endsExchange reports whether no further option may be tried after a failed one.
func (s *Server) endsExchange(ctx context.Context, result stepResult) bool {
	return result.started || ctx.Err() != nil || refusal.FromError(result.err).Reason == refusal.UpstreamRejected
}

// cascadeRequest returns the request for the decider. Its options are the models
// that the contract allows and that have a usable version, with the price and the
// quality of that version.
func (s *Server) cascadeRequest(c *completion, def *model.Cascade) (cascade.Request, error) {
	contract := c.exchange.Client.Contract
	request := cascade.Request{
		Contract: contract.ID, Target: contract.QualityTarget, Deadline: c.exchange.Deadline,
		Class: cascade.ClassOf(c.class, c.request.PromptTokens()),
	}
	for _, name := range def.Steps {
		if !contract.AllowsModel(name) {
			continue
		}
		refs, err := s.allowedVersions(c.exchange.Index, c.exchange.Client, s.newJob(c, name))
		if err != nil {
			continue
		}
		v := c.exchange.Index.Version(refs[0])
		request.Options = append(request.Options, cascade.Option{
			Model: name, Cost: v.Cost(c.request.PromptTokens(), c.request.MaxTokens), Quality: v.Quality,
		})
	}
	if len(request.Options) == 0 {
		return request, refusal.New(refusal.VersionsWithdrawn)
	}
	return request, nil
}

func (s *Server) startOptions(ctx context.Context, cr *cascadeRun, step cascade.Step) {
	for _, i := range step.Start {
		stepCtx, cancel := context.WithCancelCause(ctx)
		cr.cancels[i] = cancel
		go func() { cr.results <- s.runStep(stepCtx, cr.completion, cr.request.Options[i].Model, i, step) }()
	}
}

// runStep runs one option, buffers its answer and rates it if the step requires it.
func (s *Server) runStep(ctx context.Context, c *completion, name model.Name, option int,
	step cascade.Step) stepResult {
	startedAt := s.Clock.Now()
	result := stepResult{outcome: cascade.Outcome{Option: option}, answer: s.newBufferSink(c)}
	result.attempt, result.err = s.dispatch(ctx, c.exchange, s.newJob(c, name), result.answer)
	result.outcome.Latency = s.Clock.Since(startedAt)
	result.outcome.Failed = result.err != nil
	if result.err == nil && step.Rate {
		s.rateStep(ctx, c, &result, step.RatingTimeout)
	}
	return result
}

func (s *Server) rateStep(ctx context.Context, c *completion, result *stepResult, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	startedAt := s.Clock.Now()
	score, err := s.Ratings.Rate(ctx, c.ratingRequest(result.attempt, result.answer.assembler.Text()))
	result.outcome.RatingRequested = true
	result.outcome.RatingLatency = s.Clock.Since(startedAt)
	result.outcome.Rated = err == nil
	result.outcome.Score = score
}

// awaitStep waits for the result of one of the options in flight.
func (s *Server) awaitStep(cr *cascadeRun) stepResult {
	result := <-cr.results
	if result.err == nil {
		cr.answers[result.outcome.Option] = result.answer
		cr.rated[result.outcome.Option] = result.outcome.Rated
	} else {
		cr.lastErr, cr.lastAttempt = result.err, result.attempt
	}
	return result
}

// streamStep streams the answer of an option to the caller. done reports whether
// the answer was complete; err is then the error of billing or finishing it.
func (s *Server) streamStep(ctx context.Context, cr *cascadeRun, step cascade.Step,
	timer *deadlineTimer) (result stepResult, done bool, err error) {
	c := *cr.completion
	c.request = c.request.clone()
	c.request.Model = cr.request.Options[step.Stream].Model
	startedAt := s.Clock.Now()
	sink, a, err := s.stream(ctx, &c, timer)
	result = stepResult{attempt: a, err: err, started: sink.started()}
	result.outcome = cascade.Outcome{Option: step.Stream, Failed: err != nil, Latency: s.Clock.Since(startedAt)}
	if err != nil {
		cr.lastErr, cr.lastAttempt = err, a
		return result, false, nil
	}
	s.Cascades.Observe(cr.run, result.outcome, s.Clock.Now())
	return result, true, s.finishStream(&c, sink, a)
}

// acceptStep sends the accepted answer to the caller and cancels the other options.
func (s *Server) acceptStep(cr *cascadeRun, step cascade.Step, shadow int) error {
	cr.cancelAll()
	answer := cr.answers[step.Answer]
	if answer == nil {
		return refusal.New(refusal.InternalFault).WithRan(cr.completion.exchange.ran())
	}
	if err := s.sendBuffered(cr.completion, answer, !cr.rated[step.Answer] && s.Ratings.ShouldSample()); err != nil {
		return err
	}
	if step.Audit || shadow != cascade.NoOption {
		s.evaluations.Offer(evaluation{cascadeRun: cr, answer: answer, option: step.Answer, audit: step.Audit,
			shadow: shadow})
	}
	return nil
}

func (s *Server) exhaustedStep(cr *cascadeRun) error {
	if cr.lastErr != nil {
		s.billIncomplete(cr.completion.exchange, cr.lastAttempt, cr.lastErr)
		return cr.lastErr
	}
	return refusal.New(refusal.UpstreamFailed).WithRan(cr.completion.exchange.ran())
}

func (cr *cascadeRun) cancelAll() {
	for _, cancel := range cr.cancels {
		cancel(refusal.New(refusal.CallerGone))
	}
}

// listModels lists the models and cascades of the account's contract.
func (s *Server) listModels(x *Exchange, w http.ResponseWriter, _ *http.Request) error {
	type modelItem struct {
		ID      model.Name `json:"id"`
		Object  string     `json:"object"`
		OwnedBy string     `json:"owned_by"`
	}
	list := struct {
		Object string      `json:"object"`
		Data   []modelItem `json:"data"`
	}{Object: "list", Data: []modelItem{}}
	for _, name := range x.Client.Contract.Models {
		list.Data = append(list.Data, modelItem{ID: name, Object: "model", OwnedBy: "poplarshore"})
	}
	return writeJSON(w, http.StatusOK, list)
}
