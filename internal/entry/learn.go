package entry

import (
	"context"
	"time"

	"github.com/poplarshore/poplarshore/cascade"
)

const (
	// learnRing bounds the lessons that wait.
	learnRing = 256
	// learnWorkers is the number of lessons worked on at once.
	learnWorkers = 4
	// learnTimeout bounds one lesson.
	learnTimeout = 30 * time.Second
)

// lesson is work for the cascade's estimates after an answer was delivered:
// a second rating of it, or a run of a skipped option.
type lesson struct {
	cr     *cascadeRun
	held   *holdSink
	option int
	audit  bool
	shadow int
}

func (s *Server) learn(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case l := <-s.learners.Items():
			s.take(ctx, l)
		}
	}
}

func (s *Server) take(ctx context.Context, l lesson) {
	ctx, cancel := context.WithTimeout(ctx, learnTimeout)
	defer cancel()
	if l.audit {
		began := s.Clock.Now()
		rating := l.cr.c.rating(l.held.attempt, l.held.answer.Text())
		rating.Repeated = l.cr.rated[l.option]
		score, err := s.Ratings.Rate(ctx, rating)
		s.Cascades.Audit(l.cr.run, err == nil, score, s.Clock.Since(began), s.Clock.Now())
	}
	if l.shadow != cascade.NoOption {
		s.shadow(ctx, l)
	}
}

// shadow runs a skipped option for learning alone. Its answer is not delivered
// and its cost is kept under an id of its own.
func (s *Server) shadow(ctx context.Context, l lesson) {
	c := *l.cr.c
	c.request = c.request.clone()
	c.x = &Exchange{
		ID: c.x.ID + "/shadow", Index: c.x.Index, Client: c.x.Client,
		Started: s.Clock.Now(), Deadline: s.Clock.Now().Add(learnTimeout),
	}
	step := cascade.Step{Rate: true, RatingTimeout: learnTimeout}
	end := s.runStep(ctx, &c, l.cr.request.Options[l.shadow].Model, l.shadow, step)
	s.Cascades.Observe(l.cr.run, end.outcome, s.Clock.Now())
	if end.attempt != nil {
		_ = s.record(c.x, end.attempt.ref, 0)
	}
}
