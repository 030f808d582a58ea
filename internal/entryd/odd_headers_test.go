package entryd_test

import (
	"context"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/examples"
	"github.com/poplarshore/poplarshore/standin/caller"
)

var _ = Describe("headers of callers with huge numbers", func() {
	var ctx context.Context
	BeforeEach(func() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.Background(), 20*time.Second)
		DeferCleanup(cancel)
	})

	// Guards against a position that overflows: the count of delivered tokens becomes negative,
	// and the caller gets no answer.
	It("refuse a resumption after a piece that no answer has", func() {
		_, c := startEnvironment(context.Background(), examples.Quickstart)
		a, err := c.Chat(ctx, caller.NewRequest("cheap", "one", true), nil)
		Expect(err).NotTo(HaveOccurred())
		for _, last := range []string{"9223372036854775807", "9223372036854775806", "1000000000000", "9223372036854775808", "-1", "1e3"} {
			resumed, err := c.Resume(ctx, a.Header.Get("Poplarshore-Resume"), last)
			Expect(err).NotTo(HaveOccurred(), last)
			Expect(resumed.Status).To(Equal(http.StatusNotFound), "%s: %s", last, resumed.Body)
			Expect(resumed.Reason).To(Equal("stream_unknown"), last)
		}
	})

	// Guards against a time limit that overflows: the request has run out of time on arrival.
	It("set no shorter time limit", func() {
		_, c := startEnvironment(context.Background(), examples.Quickstart)
		for _, limit := range []string{"9300000000000", "9223372036854775807", "9223372036854775808"} {
			a, err := c.Chat(ctx, caller.NewRequest("cheap", "one", false), map[string]string{"Poplarshore-Deadline-Ms": limit})
			Expect(err).NotTo(HaveOccurred(), limit)
			Expect(a.Status).To(Equal(http.StatusOK), "%s: %s", limit, a.Body)
		}
	})
})
