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

// countingTransport is an http.RoundTripper that counts requests and answers each with
// status 204.
type countingTransport struct{ calls atomic.Int64 }

func (c *countingTransport) RoundTrip(*http.Request) (*http.Response, error) {
	c.calls.Add(1)
	return &http.Response{StatusCode: http.StatusNoContent, Body: http.NoBody}, nil
}

var _ = Describe("Reporter", func() {
	DescribeTable("reports to every other VM up to MaxReportPeers VMs, and to none above",
		func(others, calls int) {
			book := peer.NewBook("self")
			addresses := make(map[vm.ID]string)
			for i := range others {
				addresses[vm.ID(fmt.Sprint(i))] = "127.0.0.1:1"
			}
			book.Set(addresses)
			transport := &countingTransport{}
			reporter := limits.Reporter{
				Limiter: limit.New(limit.DefaultOptions("self", "life")), Clock: clockwork.NewFakeClock(), MaxDelay: time.Minute,
				Peers: &peer.Client{Scheme: "http", Book: book, Transport: transport},
			}
			reporter.SendReports(context.Background())
			Expect(transport.calls.Load()).To(BeEquivalentTo(calls))
		},
		Entry("6 other VMs", 6, 6),
		Entry("MaxReportPeers other VMs", limits.MaxReportPeers, limits.MaxReportPeers),
		Entry("MaxReportPeers+1 other VMs", limits.MaxReportPeers+1, 0),
	)
})
