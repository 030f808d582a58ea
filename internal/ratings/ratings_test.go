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

// stubRater returns a rating with score 1 and the error.
type stubRater struct{ err error }

func (r *stubRater) Rate(context.Context, platform.RatingRequest) (platform.Rating, error) {
	return platform.Rating{Score: 1}, r.err
}

var _ = Describe("the rating service", func() {
	It("becomes unavailable after many consecutive unanswered requests and available again with the first answer", func() {
		var outages []bool
		service := &stubRater{}
		r := ratings.New(ratings.Options{
			Rater: service, OnRating: func(model.Ref, float64) {}, OnOutage: func(out bool) { outages = append(outages, out) },
		}, prometheus.NewRegistry())
		rateTimes := func(n int, err error) {
			service.err = err
			for range n {
				_, _ = r.Rate(context.Background(), entry.RatingRequest{})
			}
		}
		rateTimes(100, platform.ErrUnrated.New("answer not rated"))
		rateTimes(15, platform.ErrUnavailable.New("down"))
		rateTimes(1, nil)
		Expect(outages).To(BeEmpty())
		rateTimes(30, platform.ErrUnavailable.New("down"))
		Expect(outages).To(Equal([]bool{true}))
		rateTimes(3, nil)
		Expect(outages).To(Equal([]bool{true, false}))
	})
})
