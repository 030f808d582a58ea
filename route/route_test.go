package route_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/poplarshore/poplarshore/contract"
	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/route"
	"github.com/poplarshore/poplarshore/upstream"
	"github.com/poplarshore/poplarshore/vm"
)

func TestRoute(t *testing.T) {
	RegisterFailHandler(Fail)
	Expect(flag.Set("rapid.seed", "1")).To(Succeed())
	Expect(flag.Set("rapid.nofailfile", "true")).To(Succeed())
	RunSpecs(t, "route")
}

var ref = model.Ref{Model: "strong", Version: "v1"}

// engines returns n idle candidates.
func engines(n int) route.Slice {
	s := make(route.Slice, n)
	for i := range s {
		s[i] = route.Candidate{
			Upstream: &upstream.Upstream{ID: upstream.ID(fmt.Sprintf("e%03d", i)), Kind: upstream.Engine},
			Ref:      ref, Capacity: 8, Loaded: true, RequestDuration: time.Second,
		}
	}
	return s
}

func request() *route.Request {
	return &route.Request{Refs: []model.Ref{ref}, PromptTokens: 4096, PromptBlocks: 16, Draw: 7}
}

func choose(r *route.Request, s route.Source) upstream.ID {
	d, ok := route.NewPolicy(route.DefaultOptions()).Select(r, s)
	ExpectWithOffset(1, ok).To(BeTrue())
	return d.Upstream.ID
}

var _ = Describe("Policy", func() {
	DescribeTable("returns no upstream and counts the reason when every candidate is refused",
		func(reason route.Reason, modify func(*route.Request, *route.Candidate)) {
			s, r := engines(3), request()
			reported := route.RefusalCounts{}
			for i := range s {
				modify(r, &s[i])
			}
			opts := route.DefaultOptions()
			opts.OnRefused = func(reason route.Reason, n int) { reported[reason] += n }
			d, ok := route.NewPolicy(opts).Select(r, s)
			Expect(ok).To(BeFalse())
			Expect(d.Refused[reason]).To(Equal(3))
			Expect(reported).To(Equal(d.Refused))
		},
		Entry("different model version", route.NotAllowed, func(_ *route.Request, c *route.Candidate) { c.Ref.Version = "v2" }),
		Entry("different service", route.NotAllowed, func(r *route.Request, _ *route.Candidate) { r.Service = "permits" }),
		Entry("failed attempt of the same request", route.Tried, func(r *route.Request, c *route.Candidate) { r.Tried = append(r.Tried, c.Upstream.ID) }),
		Entry("leaving upstream", route.Leaving, func(_ *route.Request, c *route.Candidate) { c.Leaving = true }),
		Entry("open circuit breaker", route.BreakerOpen, func(_ *route.Request, c *route.Candidate) { c.BreakerOpen = true }),
		Entry("queue at the bound for ordinary priority", route.Full, func(_ *route.Request, c *route.Candidate) { c.RemoteInFlight = 24 }),
	)

	It("reserves the last part of the queue for raised priorities", func() {
		s, r := engines(1), request()
		s[0].RemoteInFlight = 24
		r.Priority = 1
		Expect(choose(r, s)).To(Equal(upstream.ID("e000")))
	})

	It("selects the only candidate that passes, however many are refused", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			s, r := engines(rapid.IntRange(1, 60).Draw(t, "n")), request()
			r.Draw = rapid.Uint64().Draw(t, "draw")
			eligible := rapid.IntRange(0, len(s)-1).Draw(t, "good")
			for i := range s {
				s[i].Leaving = i != eligible
			}
			r.Preferred, r.Home = s[0].Upstream.ID, s[len(s)-1].Upstream.ID
			d, ok := route.NewPolicy(route.DefaultOptions()).Select(r, s)
			if !ok || d.Upstream != s[eligible].Upstream || d.Refused[route.Leaving] != len(s)-1 {
				t.Fatalf("selected upstream %v, refused candidates by reason %v", d.Upstream, d.Refused)
			}
		})
	})

	It("counts in-flight requests of this VM as well as reported requests of others", func() {
		s, r := engines(2), request()
		s[0].InFlight, s[0].RemoteInFlight = 9, 0
		s[1].InFlight, s[1].RemoteInFlight = 0, 8
		Expect(choose(r, s)).To(Equal(upstream.ID("e001")))
	})

	It("prefers the cached prefix, then the session's upstream, until each is overloaded", func() {
		s, r := engines(4), request()
		r.Preferred = "e002"
		Expect(choose(r, s)).To(Equal(upstream.ID("e002")))
		r.Hints = []route.Hint{{Upstream: "e001", Blocks: 16}}
		Expect(choose(r, s)).To(Equal(upstream.ID("e001")))
		s[1].RemoteInFlight = 6
		Expect(choose(r, s)).To(Equal(upstream.ID("e002")))
		s[2].RemoteInFlight = 6
		Expect(choose(r, s)).To(BeElementOf(upstream.ID("e000"), upstream.ID("e003")))
	})

	It("selects a remote region only when local queueing costs more than link latency and price", func() {
		s, r := engines(2), request()
		s[1].LinkLatency, s[1].PricePerMB = 30*time.Millisecond, 1_000_000
		r.Bytes = 1000
		Expect(choose(r, s)).To(Equal(upstream.ID("e000")))
		s[0].RemoteInFlight = 16
		r.Weights = contract.Weights{Latency: 1}
		Expect(choose(r, s)).To(Equal(upstream.ID("e001")))
		r.Weights = contract.Weights{Cost: 10, Latency: 1}
		Expect(choose(r, s)).To(Equal(upstream.ID("e000")))
	})

	It("selects an upstream without the loaded version or with a stale report only as a last resort", func() {
		s, r := engines(2), request()
		s[0].Loaded = false
		s[1].RemoteInFlight = 20
		Expect(choose(r, s)).To(Equal(upstream.ID("e001")))
		s[0].Loaded, s[0].ReportAge = true, time.Minute
		Expect(choose(r, s)).To(Equal(upstream.ID("e001")))
		Expect(choose(r, s[:1])).To(Equal(upstream.ID("e000")))
	})
})

var _ = Describe("Baselines", func() {
	It("skip refused candidates and select by their own criterion", func() {
		s, filters := engines(4), route.DefaultFilters()
		s[0].Leaving = true
		for i := range s {
			s[i].InFlight = 4 - i
			s[i].FirstToken = time.Duration(i) * time.Second
		}
		pick := func(sel route.Selector, draw uint64) upstream.ID {
			d, ok := sel.Select(&route.Request{Refs: []model.Ref{ref}, Draw: draw}, s)
			Expect(ok).To(BeTrue())
			return d.Upstream.ID
		}
		turns, drawn := map[upstream.ID]int{}, map[upstream.ID]int{}
		rr := &route.RoundRobin{Filters: filters}
		for i := range 40 {
			turns[pick(rr, 0)]++
			drawn[pick(route.Random{Filters: filters}, uint64(i))]++
		}
		Expect(turns).To(And(HaveLen(3), HaveKeyWithValue(upstream.ID("e003"), 10)))
		Expect(drawn).To(HaveLen(3))
		Expect(pick(route.LeastRequests{Filters: filters}, 1)).To(Equal(upstream.ID("e003")))
		Expect(pick(route.HotCold{Filters: filters, Sample: 3, Quantile: 0.5}, 1)).To(Equal(upstream.ID("e002")))
		Expect(pick(route.HotCold{Filters: filters, Sample: 3, Quantile: 0}, 1)).To(Equal(upstream.ID("e003")))
	})
})

var _ = Describe("AppendPrefixes", func() {
	It("returns equal hashes only for equal prefixes with the same salt", func() {
		a := make([]byte, 3*route.BlockBytes+5)
		b := append([]byte(nil), a...)
		b[2*route.BlockBytes] = 1
		x, y := route.AppendPrefixes(nil, "v1", a), route.AppendPrefixes(nil, "v1", b)
		Expect(x).To(HaveLen(3))
		Expect(x[:2]).To(Equal(y[:2]))
		Expect(x[2]).NotTo(Equal(y[2]))
		Expect(route.AppendPrefixes(nil, "v2", a)[0]).NotTo(Equal(x[0]))
		Expect(x[0]).NotTo(Equal(x[1]))
	})
})

var _ = Describe("Subset", func() {
	regions := func(d domain.ID) domain.Region { return domain.Region(d[:1]) }
	fleet := func(n int) []*upstream.Upstream {
		var all []*upstream.Upstream
		for i := range n {
			d := domain.ID(fmt.Sprintf("%c%d", 'a'+i%3, i%6))
			all = append(all, &upstream.Upstream{ID: upstream.ID(fmt.Sprint(i)), Domain: d})
		}
		return all
	}
	opts := route.SubsetOptions{Size: 60, LocalShare: 0.5}
	self := vm.VM{ID: "vm1", Region: "a"}

	It("takes the local share and spreads over failure domains", func() {
		perDomain := map[domain.ID]int{}
		for _, u := range route.Subset(self, fleet(600), regions, opts) {
			perDomain[u.Domain]++
		}
		Expect(perDomain).To(And(HaveLen(6), HaveKeyWithValue(domain.ID("a0"), 15), HaveKeyWithValue(domain.ID("a3"), 15)))
		for _, far := range []domain.ID{"b1", "b4", "c2", "c5"} {
			Expect(perDomain[far]).To(BeElementOf(7, 8))
		}
	})

	It("fills up from the other regions and keeps most members when one upstream is removed", func() {
		all := fleet(90)
		before := route.Subset(self, all, regions, opts)
		Expect(before).To(HaveLen(60))
		Expect(route.Subset(self, all[:50], regions, opts)).To(HaveLen(50))
		removed := before[0]
		var rest []*upstream.Upstream
		for _, u := range all {
			if u != removed {
				rest = append(rest, u)
			}
		}
		after := route.Subset(self, rest, regions, opts)
		Expect(after).To(HaveLen(60))
		Expect(after).To(ContainElements(before[1], before[30], before[59]))
		kept := 0
		for _, u := range after {
			for _, b := range before {
				if u == b {
					kept++
				}
			}
		}
		Expect(kept).To(BeNumerically(">=", 57))
	})
})
