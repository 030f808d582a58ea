// Package ratings requests ratings of answers from the rating service:
// synchronously for cascades, and in the background for a random share of the
// delivered answers.
package ratings

import (
	"context"
	"math/rand/v2"
	"sync/atomic"

	"github.com/jonboulle/clockwork"
	"github.com/joomcode/errorx"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/poplarshore/poplarshore/internal/entry"
	"github.com/poplarshore/poplarshore/internal/ring"
	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/platform"
)

const (
	// maxQueuedAnswers limits the sampled answers that wait for a rating.
	maxQueuedAnswers = 1024
	// workers is the number of concurrent background ratings.
	workers = 4
	// outageFailures is the number of consecutive unanswered requests after which
	// the rating service counts as unavailable.
	outageFailures = 20
)

// Options configure Ratings.
type Options struct {
	// Rater rates answers; if nil, no answers are rated.
	Rater platform.Rater
	// Share is the fraction of delivered answers that is sampled for a rating,
	// 0 to 1.
	Share float64
	// OnRating is called with the score, 0 to 1, of each answer that was not rated
	// before. Required if Rater is set.
	OnRating func(ref model.Ref, score float64)
	// OnOutage is called with true when the rating service becomes unavailable and
	// with false when it answers again. Required if Rater is set.
	OnOutage func(out bool)
	// Clock is currently unused.
	Clock clockwork.Clock
}

// Ratings implements entry.Ratings.
type Ratings struct {
	opts     Options
	queue    *ring.Ring[entry.RatingRequest]
	outcomes *prometheus.CounterVec
	// consecutiveFailures is the number of unanswered requests since the last
	// answered one.
	consecutiveFailures atomic.Int64
}

// New returns Ratings whose metrics are registered with reg.
func New(opts Options, reg prometheus.Registerer) *Ratings {
	r := &Ratings{
		opts:  opts,
		queue: ring.New[entry.RatingRequest](maxQueuedAnswers),
		outcomes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "poplarshore", Name: "ratings_total", Help: "Ratings asked for, by outcome.",
		}, []string{"outcome"}),
	}
	reg.MustRegister(r.outcomes)
	return r
}

// Rate implements entry.Ratings. It returns the score, 0 to 1, or
// platform.ErrUnrated if there is no rating service.
func (r *Ratings) Rate(ctx context.Context, a entry.RatingRequest) (float64, error) {
	if r.opts.Rater == nil {
		return 0, platform.ErrUnrated.New("no rating service configured")
	}
	rating, err := r.opts.Rater.Rate(ctx, platform.RatingRequest{
		Attempt: a.Attempt, Model: string(a.Ref.Model), Version: string(a.Ref.Version),
		Class: a.Class, Prompt: a.Prompt, Answer: a.Answer,
	})
	r.trackAvailability(err == nil || errorx.IsOfType(err, platform.ErrUnrated))
	if err != nil {
		r.outcomes.WithLabelValues("missing").Inc()
		return 0, err
	}
	r.outcomes.WithLabelValues("rated").Inc()
	if !a.AlreadyRated {
		r.opts.OnRating(a.Ref, rating.Score)
	}
	return rating.Score, nil
}

// trackAvailability records whether the rating service answered a request, with
// or without a rating, and calls OnOutage on a change of its availability.
func (r *Ratings) trackAvailability(ok bool) {
	switch {
	case !ok && r.consecutiveFailures.Add(1) == outageFailures:
		r.opts.OnOutage(true)
	case ok && r.consecutiveFailures.Swap(0) >= outageFailures:
		r.opts.OnOutage(false)
	}
}

// ShouldSample implements entry.Ratings. It is true for a random fraction Share of the
// calls.
func (r *Ratings) ShouldSample() bool {
	return r.opts.Rater != nil && rand.Float64() < r.opts.Share
}

// Sample implements entry.Ratings. The answer is dropped if the queue is full.
func (r *Ratings) Sample(a entry.RatingRequest) {
	if !r.queue.Offer(a) {
		r.outcomes.WithLabelValues("dropped").Inc()
	}
}

// Workers returns the number of goroutines that should call Work.
func (r *Ratings) Workers() int {
	return workers
}

// Work rates sampled answers until ctx is done. Failed ratings are counted and
// otherwise ignored.
func (r *Ratings) Work(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case a := <-r.queue.Items():
			_, _ = r.Rate(ctx, a)
		}
	}
}
