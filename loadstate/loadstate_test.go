package loadstate_test

import (
	"sync"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/link"
	"github.com/poplarshore/poplarshore/loadstate"
	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/route"
	"github.com/poplarshore/poplarshore/upstream"
)

func TestLoadState(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "loadstate")
}

var (
	now = time.Unix(1_800_000_000, 0)
	ref = model.Ref{Model: "strong", Version: "v1"}
	key = loadstate.Key{Ref: ref}
)

// openBreaker refuses attempts on the upstream "near" only.
type openBreaker struct{}

func (openBreaker) Ready(id upstream.ID, _ model.Ref, _ time.Time) bool { return id != "near" }

// placement returns a configuration with one upstream in the VM's own region and one
// in another region.
func placement() loadstate.GroupConfig {
	return loadstate.GroupConfig{
		Region:   "cuyo",
		Links:    link.NewMap([]link.Link{{From: "cuyo", To: "noa", LatencyMS: 25, PricePerMB: 90}}),
		RegionOf: func(d domain.ID) domain.Region { return domain.Region(d) },
		Groups: map[loadstate.Key][]*upstream.Upstream{key: {
			{ID: "near", Domain: "cuyo", Capacity: 4},
			{ID: "far", Domain: "noa", Capacity: 4},
		}},
	}
}

func newState(opts loadstate.Options) *loadstate.State {
	s := loadstate.New(opts)
	s.Reconcile(placement())
	return s
}

// candidateAt returns candidate i of the group at a time.
func candidateAt(s *loadstate.State, i int, at time.Time) route.Candidate {
	view, ok := s.View(key, at)
	Expect(ok).To(BeTrue())
	var c route.Candidate
	view.Fill(i, &c)
	return c
}

func begin(s *loadstate.State, id upstream.ID, at time.Time) *loadstate.Call {
	c, err := s.Begin(id, at)
	Expect(err).NotTo(HaveOccurred())
	return c
}

var _ = Describe("State", func() {
	It("subtracts the in-flight requests of this VM from a delayed report", func() {
		s := newState(loadstate.DefaultOptions())
		first := begin(s, "near", now)
		begin(s, "near", now.Add(100*time.Millisecond))
		takenAt := now.Add(200 * time.Millisecond)
		begin(s, "near", now.Add(400*time.Millisecond))
		first.End(now.Add(500*time.Millisecond), true)
		first.End(now.Add(600*time.Millisecond), true)
		arrived := now.Add(1200 * time.Millisecond)
		_, err := s.ObserveLoad("near", loadstate.Report{Load: route.Load{Running: 4, Waiting: 3, Capacity: 6}, Taken: takenAt})
		Expect(err).NotTo(HaveOccurred())
		c := candidateAt(s, 0, arrived)
		Expect(c.RemoteInFlight).To(Equal(5))
		Expect(c.InFlight).To(Equal(2))
		Expect(c.InFlightSinceReport).To(Equal(0))
		Expect(c.Capacity).To(Equal(6))
		Expect(c.ReportAge).To(Equal(time.Second))
		Expect(c.RequestDuration).To(Equal(500 * time.Millisecond))
		Expect(s.InFlight("near")).To(Equal(2))
	})

	It("ignores a report older than the last and applies draining and loaded versions", func() {
		s := newState(loadstate.DefaultOptions())
		newer := loadstate.Report{Load: route.Load{Draining: true}, Taken: now, Loaded: []model.Ref{{Model: "cheap"}}}
		accepted, err := s.ObserveLoad("near", newer)
		Expect(err).NotTo(HaveOccurred())
		Expect(accepted).To(BeTrue())
		accepted, _ = s.ObserveLoad("near", loadstate.Report{Taken: now.Add(-time.Second)})
		Expect(accepted).To(BeFalse())
		c := candidateAt(s, 0, now)
		Expect(c.Leaving).To(BeTrue())
		Expect(c.Loaded).To(BeFalse())
		Expect(candidateAt(s, 1, now).Loaded).To(BeTrue())
		Expect(candidateAt(s, 1, now).ReportAge).To(BeNumerically("<", 0))
	})

	It("fills candidates with link latency, price and breaker state", func() {
		s := newState(loadstate.Options{Breakers: openBreaker{}})
		near, far := candidateAt(s, 0, now), candidateAt(s, 1, now)
		Expect(near.BreakerOpen).To(BeTrue())
		Expect(far.BreakerOpen).To(BeFalse())
		Expect(near.LinkLatency).To(BeZero())
		Expect(far.LinkLatency).To(Equal(25 * time.Millisecond))
		Expect(far.PricePerMB).To(BeEquivalentTo(90))
	})

	It("keeps the state of known upstreams when the configuration changes", func() {
		s := newState(loadstate.DefaultOptions())
		call := begin(s, "near", now)
		Expect(s.SetLeaving("far", true)).To(Succeed())
		p := placement()
		p.Groups[key][0].Capacity = 9
		p.Groups[key] = append(p.Groups[key], &upstream.Upstream{ID: "new", Domain: "cuyo"})
		s.Reconcile(p)
		Expect(candidateAt(s, 0, now).InFlight).To(Equal(1))
		Expect(candidateAt(s, 0, now).Capacity).To(Equal(9))
		Expect(candidateAt(s, 1, now).Leaving).To(BeTrue())
		call.End(now, false)
		Expect(candidateAt(s, 0, now).InFlight).To(BeZero())
		Expect(candidateAt(s, 0, now).RequestDuration).To(BeZero())
		_, err := s.Begin("gone", now)
		Expect(errorx.IsOfType(err, loadstate.ErrUnknownUpstream)).To(BeTrue())
	})

	It("averages the time to first token only over requests that began with free capacity", func() {
		s := newState(loadstate.DefaultOptions())
		begin(s, "near", now).FirstToken(100 * time.Millisecond)
		for range 3 {
			begin(s, "near", now)
		}
		begin(s, "near", now).FirstToken(10 * time.Second)
		Expect(candidateAt(s, 0, now).FirstToken).To(Equal(100 * time.Millisecond))
	})

	It("counts in-flight requests correctly under concurrent requests, reports and reconciles", func() {
		s := newState(loadstate.DefaultOptions())
		var wg sync.WaitGroup
		for w := range 8 {
			wg.Go(func() {
				for i := range 200 {
					at := now.Add(time.Duration(i) * time.Millisecond)
					call, err := s.Begin("near", at)
					if err != nil {
						panic(err)
					}
					view, _ := s.View(key, at)
					view.Home(uint64(i))
					var c route.Candidate
					view.Fill(i%2, &c)
					call.FirstToken(time.Millisecond)
					if w == 0 {
						s.Reconcile(placement())
						_, _ = s.ObserveLoad("near", loadstate.Report{Taken: at})
					}
					call.End(at, true)
				}
			})
		}
		wg.Wait()
		Expect(s.InFlight("near")).To(BeZero())
	})

	It("spreads the homes of prefixes evenly over the upstreams", func() {
		s := newState(loadstate.DefaultOptions())
		view, _ := s.View(key, now)
		homes := map[upstream.ID]int{}
		for prefix := range uint64(100) {
			homes[view.Home(prefix)]++
		}
		Expect(homes).To(HaveLen(2))
		Expect(homes["near"]).To(BeNumerically("~", 50, 20))
	})
})

var _ = Describe("PrefixIndex", func() {
	It("returns the longest prefix first and drops entries by age, eviction and size", func() {
		l := loadstate.NewPrefixIndex(loadstate.PrefixIndexOptions{MaxPrefixes: 3, TTL: time.Minute})
		prompt := []uint64{1, 2, 3}
		l.Record(prompt[:1], "a", now)
		l.Record(prompt, "b", now.Add(time.Second))
		hints := func(at time.Time) []route.Hint { return l.AppendHints(nil, prompt, at) }
		Expect(hints(now)).To(Equal([]route.Hint{{Upstream: "b", Blocks: 3}, {Upstream: "a", Blocks: 1}}))
		l.RecordEviction(3, "b")
		Expect(hints(now)[0]).To(Equal(route.Hint{Upstream: "b", Blocks: 2}))
		Expect(hints(now.Add(time.Minute + time.Millisecond))).To(HaveLen(1))
		Expect(hints(now.Add(2 * time.Minute))).To(BeEmpty())
		l.Record([]uint64{7, 8}, "c", now)
		Expect(l.Len()).To(Equal(3))
	})
})
