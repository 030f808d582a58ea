package limits_test

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/internal/limits"
	"github.com/poplarshore/poplarshore/internal/peer"
	"github.com/poplarshore/poplarshore/limit"
	"github.com/poplarshore/poplarshore/vm"
)

func TestLimits(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "limits")
}

// counted counts the calls made through it.
type counted struct{ calls atomic.Int64 }

func (c *counted) RoundTrip(*http.Request) (*http.Response, error) {
	c.calls.Add(1)
	return &http.Response{StatusCode: http.StatusNoContent, Body: http.NoBody}, nil
}

var _ = Describe("Reporter", func() {
	DescribeTable("reports to every other VM while they are few, and to none beyond that",
		func(others, calls int) {
			book := peer.NewBook("self")
			addresses := make(map[vm.ID]string)
			for i := range others {
				addresses[vm.ID(fmt.Sprint(i))] = "127.0.0.1:1"
			}
			book.Set(addresses)
			via := &counted{}
			reporter := limits.Reporter{
				Limiter: limit.New(limit.DefaultOptions("self", "life")), Clock: clockwork.NewFakeClock(), MaxDelay: time.Minute,
				Peers: &peer.Client{Scheme: "http", Book: book, Via: via},
			}
			reporter.Round(context.Background())
			Expect(via.calls.Load()).To(BeEquivalentTo(calls))
		},
		Entry("few", 6, 6),
		Entry("as many as are told", limits.MaxReported, limits.MaxReported),
		Entry("too many", limits.MaxReported+1, 0),
	)
})
