package entry

import (
	"context"
	"time"

	"github.com/poplarshore/poplarshore/cascade"
)

const (
	// evaluationQueueSize is the maximum number of queued evaluations. More are
	// dropped.
	evaluationQueueSize = 256
	// evaluationWorkers is the maximum number of concurrent evaluations.
	evaluationWorkers = 4
	// evaluationTimeout limits the duration of one evaluation.
	evaluationTimeout = 30 * time.Second
)

// evaluation is work that improves the cascade's estimates after an answer was
// delivered: an audit, which rates the answer again, or a shadow run of an option that
// was skipped.
type evaluation struct {
	cascadeRun *cascadeRun
	answer     *bufferSink
	// option is the option whose answer was delivered.
	option int
	// audit requests another rating of the answer.
	audit bool
	// shadow is the option to run, or cascade.NoOption.
	shadow int
}

func (s *Server) runEvaluations(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-s.evaluations.Items():
			s.evaluate(ctx, e)
		}
	}
}

func (s *Server) evaluate(ctx context.Context, e evaluation) {
	ctx, cancel := context.WithTimeout(ctx, evaluationTimeout)
	defer cancel()
	if e.audit {
		startedAt := s.Clock.Now()
		rating := e.cascadeRun.completion.ratingRequest(e.answer.attempt, e.answer.assembler.Text())
		rating.AlreadyRated = e.cascadeRun.rated[e.option]
		score, err := s.Ratings.Rate(ctx, rating)
		s.Cascades.Audit(e.cascadeRun.run, err == nil, score, s.Clock.Since(startedAt), s.Clock.Now())
	}
	if e.shadow != cascade.NoOption {
		s.runShadow(ctx, e)
	}
}

// runShadow runs a skipped option only to improve the estimates. Its answer is not
// delivered. Its cost is recorded under a separate request id, with the amount 0.
func (s *Server) runShadow(ctx context.Context, e evaluation) {
	c := *e.cascadeRun.completion
	c.request = c.request.clone()
	c.exchange = &Exchange{
		ID: c.exchange.ID + "/shadow", Index: c.exchange.Index, Client: c.exchange.Client, key: c.exchange.key,
		StartedAt: s.Clock.Now(), Deadline: s.Clock.Now().Add(evaluationTimeout),
	}
	defer c.exchange.releaseKept()
	step := cascade.Step{Rate: true, RatingTimeout: evaluationTimeout}
	result := s.runStep(ctx, &c, e.cascadeRun.request.Options[e.shadow].Model, e.shadow, step)
	s.Cascades.Observe(e.cascadeRun.run, result.outcome, s.Clock.Now())
	if result.attempt != nil {
		_ = s.writeBill(c.exchange, result.attempt.ref, 0)
	}
}
