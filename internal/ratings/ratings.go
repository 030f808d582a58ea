// Package ratings has answers rated: at once where a cascade waits for it, or
// in the background for a share of the answers delivered.
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
	// ringSize bounds the answers that wait for a rating.
	ringSize = 1024
	// workers is the number of ratings asked for at once.
	workers = 4
	// outAfter is the number of requests in a row that the rating service left
	// unanswered from which on it is out.
	outAfter = 20
)

// Options set up Ratings.
type Options struct {
	// Rater rates answers; nil means that none is rated.
	Rater platform.Rater
	// Share is the part of delivered answers that is rated, 0 to 1.
	Share float64
	// Rated is told of each rating.
	Rated func(ref model.Ref, score float64)
	// Out is told when the rating service goes out and comes back.
	Out   func(out bool)
	Clock clockwork.Clock
}

// Ratings implements entry.Ratings.
type Ratings struct {
	opts  Options
	ring  *ring.Ring[entry.Rating]
	count *prometheus.CounterVec
	// missed is the number of unanswered requests since the last answer.
	missed atomic.Int64
}

// New returns ratings.
func New(opts Options, reg prometheus.Registerer) *Ratings {
	r := &Ratings{
		opts: opts,
		ring: ring.New[entry.Rating](ringSize),
		count: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "poplarshore", Name: "ratings_total", Help: "Ratings asked for, by outcome.",
		}, []string{"outcome"}),
	}
	reg.MustRegister(r.count)
	return r
}

// Rate implements entry.Ratings.
func (r *Ratings) Rate(ctx context.Context, a entry.Rating) (float64, error) {
	if r.opts.Rater == nil {
		return 0, platform.ErrUnrated.New("no rating service is set")
	}
	rating, err := r.opts.Rater.Rate(ctx, platform.RatingRequest{
		Attempt: a.Attempt, Model: string(a.Ref.Model), Version: string(a.Ref.Version),
		Class: a.Class, Prompt: a.Prompt, Answer: a.Answer,
	})
	r.answered(err == nil || errorx.IsOfType(err, platform.ErrUnrated))
	if err != nil {
		r.count.WithLabelValues("missing").Inc()
		return 0, err
	}
	r.count.WithLabelValues("rated").Inc()
	if !a.Repeated {
		r.opts.Rated(a.Ref, rating.Score)
	}
	return rating.Score, nil
}

// answered notes whether the rating service answered, even without an opinion.
func (r *Ratings) answered(ok bool) {
	switch {
	case !ok && r.missed.Add(1) == outAfter:
		r.opts.Out(true)
	case ok && r.missed.Swap(0) >= outAfter:
		r.opts.Out(false)
	}
}

// Sampled implements entry.Ratings.
func (r *Ratings) Sampled() bool {
	return r.opts.Rater != nil && rand.Float64() < r.opts.Share
}

// Sample implements entry.Ratings.
func (r *Ratings) Sample(a entry.Rating) {
	if !r.ring.Offer(a) {
		r.count.WithLabelValues("dropped").Inc()
	}
}

// Workers is the number of goroutines that should call Work.
func (r *Ratings) Workers() int {
	return workers
}

// Work rates samples until ctx ends.
func (r *Ratings) Work(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case a := <-r.ring.Items():
			_, _ = r.Rate(ctx, a)
		}
	}
}
