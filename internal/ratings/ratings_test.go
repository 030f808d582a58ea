package ratings_test

import (
	"context"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/poplarshore/poplarshore/internal/entry"
	"github.com/poplarshore/poplarshore/internal/ratings"
	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/platform"
)

func TestRatings(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ratings")
}

// rater answers with its error, or a rating.
type rater struct{ err error }

func (r *rater) Rate(context.Context, platform.RatingRequest) (platform.Rating, error) {
	return platform.Rating{Score: 1}, r.err
}

var _ = Describe("the rating service", func() {
	It("is out after many requests without an answer, and back with the first answer", func() {
		var told []bool
		service := &rater{}
		r := ratings.New(ratings.Options{
			Rater: service, Rated: func(model.Ref, float64) {}, Out: func(out bool) { told = append(told, out) },
		}, prometheus.NewRegistry())
		ask := func(n int, err error) {
			service.err = err
			for range n {
				_, _ = r.Rate(context.Background(), entry.Rating{})
			}
		}
		ask(100, platform.ErrUnrated.New("no opinion"))
		ask(15, platform.ErrUnavailable.New("down"))
		ask(1, nil)
		Expect(told).To(BeEmpty())
		ask(30, platform.ErrUnavailable.New("down"))
		Expect(told).To(Equal([]bool{true}))
		ask(3, nil)
		Expect(told).To(Equal([]bool{true, false}))
	})
})
