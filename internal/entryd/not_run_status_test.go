package entryd_test

import (
	"context"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/examples"
	"github.com/poplarshore/poplarshore/standin/fault"
	"github.com/poplarshore/poplarshore/standin/service"
)

var _ = Describe("a service that fails a call after it ran", func() {
	// Guards against a permit that is issued twice: its caller takes the status for the promise that the call has not run.
	DescribeTable("promises nothing to the caller, nor to one that repeats the key",
		func(status int, key string) {
			ctx := context.Background()
			e, c := startEnvironment(ctx, examples.Quickstart)
			permits := e.Services["permits-1"]
			Expect(permits.Faults.Add(fault.Rule{Kind: service.FailAfterRun, Status: status, Count: 1})).To(Succeed())
			header := map[string]string{}
			repeats := 1
			if key != "" {
				header["Idempotency-Key"] = key
				repeats = 2
			}
			for range repeats {
				a, err := c.Do(ctx, http.MethodPost, permitsIssue, []byte(`{"street":"Alem 100"}`), header)
				Expect(err).NotTo(HaveOccurred())
				Expect(a.Status).To(Equal(http.StatusConflict), string(a.Body))
				Expect(a.Reason).To(Equal("outcome_unknown"))
				Expect(a.Ran).To(Equal("unknown"))
				Expect(a.Header.Get("Retry-After")).To(BeEmpty())
			}
			Expect(permits.Counts().Runs).To(BeEquivalentTo(1))
		},
		Entry("408", http.StatusRequestTimeout, ""),
		Entry("421", http.StatusMisdirectedRequest, ""),
		Entry("429", http.StatusTooManyRequests, ""),
		Entry("503", http.StatusServiceUnavailable, ""),
		Entry("503 with a key", http.StatusServiceUnavailable, "one"),
		Entry("429 with a key", http.StatusTooManyRequests, "two"),
	)
})
