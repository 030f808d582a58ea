package roster_test

import (
	"context"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/poplarshore/poplarshore/coord/roster"
)

var _ = Describe("Merge", func() {
	policy := roster.Policy{SuspectFor: 5 * time.Second, ListLag: 2 * time.Minute, Forget: time.Hour}
	base := time.Unix(1e9, 0)
	type step struct {
		kind  roster.Kind
		inc   roster.Incarnation
		after time.Duration
	}

	DescribeTable("ranks the evidence", func(want roster.Phase, now time.Duration, steps ...step) {
		var r roster.Record
		for _, s := range steps {
			r = policy.Merge(r, roster.Observation{Kind: s.kind, Incarnation: s.inc, At: base.Add(s.after)})
		}
		Expect(policy.Phase(r, base.Add(now))).To(Equal(want))
	},
		Entry("nothing", roster.Unknown, time.Second),
		Entry("listed", roster.Live, time.Second, step{roster.Listed, 0, 0}),
		Entry("leaving is not undone by a list or an answer", roster.Leaving, time.Hour,
			step{roster.Departing, 0, 1}, step{roster.Listed, 0, time.Minute}, step{roster.Served, 0, time.Hour}),
		Entry("a later incarnation is another", roster.Live, time.Hour,
			step{roster.Departing, 1, 1}, step{roster.Listed, 2, time.Minute}),
		Entry("an earlier incarnation says nothing", roster.Live, time.Hour,
			step{roster.Listed, 2, 1}, step{roster.Departing, 1, time.Minute}),
		Entry("refused", roster.Suspect, 3*time.Second, step{roster.Listed, 0, 0}, step{roster.Refused, 0, time.Second}),
		Entry("refused, then served", roster.Live, 3*time.Second, step{roster.Refused, 0, 1}, step{roster.Served, 0, time.Second}),
		Entry("refused long ago", roster.Live, time.Minute, step{roster.Listed, 0, 0}, step{roster.Refused, 0, 1}),
		Entry("gone", roster.Gone, time.Minute, step{roster.Listed, 0, 0}, step{roster.Absent, 0, 1}),
		Entry("not listed yet", roster.Live, time.Minute, step{roster.Served, 0, 0}, step{roster.Absent, 0, 1}),
		Entry("left, and back in a list that may lag", roster.Leaving, 2*time.Minute,
			step{roster.Listed, 0, 0}, step{roster.Departing, 0, 1}, step{roster.Absent, 0, 2},
			step{roster.Listed, 0, time.Minute}),
		Entry("left, and back after the lag; an old sign comes late", roster.Live, time.Hour,
			step{roster.Listed, 0, 0}, step{roster.Departing, 0, 1}, step{roster.Absent, 0, 2},
			step{roster.Listed, 0, 3 * time.Minute}, step{roster.Departing, 0, 1}),
	)

	It("does not depend on order or repetition of signs and answers", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			var all []roster.Observation
			for range rapid.IntRange(0, 8).Draw(t, "count") {
				all = append(all, roster.Observation{
					Kind:        rapid.SampledFrom([]roster.Kind{roster.Served, roster.Refused, roster.Departing}).Draw(t, "kind"),
					Incarnation: roster.Incarnation(rapid.IntRange(1, 3).Draw(t, "incarnation")),
					At:          base.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "at"))),
				})
			}
			fold := func(list []roster.Observation) (r roster.Record) {
				for _, o := range list {
					r = policy.Merge(r, o)
				}
				return r
			}
			twice := append(rapid.Permutation(all).Draw(t, "order"), all...)
			if fold(all) != fold(twice) {
				t.Fatalf("%v and %v differ", fold(all), fold(twice))
			}
		})
	})
})

var _ = Describe("Gossip", func() {
	ctx := context.Background()

	DescribeTable("tells every VM of a leaving upstream within 3 s of the first sign", func(size int, loss float64) {
		m := newMesh(size, clockwork.NewFakeClockAt(time.Unix(1e9, 0)))
		r := rand.New(rand.NewPCG(1, 1))
		m.lost = func(int, int) bool { return r.Float64() < loss }
		m.list(engines(3)...)
		m.rosters[0].Departing("engine-0001", 0)
		took := m.until(ctx, "engine-0001", roster.Leaving)
		Expect(took).To(BeNumerically("<", 3*time.Second))
		Expect(m.seeing("engine-0000", roster.Live)).To(Equal(size))
	},
		Entry("7 VMs", 7, 0.0), Entry("50 VMs, a fifth of the exchanges lost", 50, 0.2),
		Entry("200 VMs", 200, 0.0), Entry("200 VMs, a fifth of the exchanges lost", 200, 0.2),
	)

	It("teaches a VM that starts later, and keeps each message bounded", func() {
		m := newMesh(6, clockwork.NewFakeClockAt(time.Unix(1e9, 0)))
		m.lost = func(from, to int) bool { return from == 5 || to == 5 }
		all := engines(200)
		m.list(all...)
		for _, e := range all {
			m.rosters[0].Departing(e.ID, 0)
		}
		for range 60 {
			m.round(ctx)
			m.measure(0)
		}
		m.lost = func(int, int) bool { return false }
		for range 80 {
			m.round(ctx)
		}
		Expect(m.rosters[5].Leaving()).To(HaveLen(200))
		Expect(m.largest).To(BeNumerically("<", 2<<10))
	})

	It("passes on refused connections, which an answer seen by a VM itself overrules", func() {
		clock := clockwork.NewFakeClockAt(time.Unix(1e9, 0))
		m := newMesh(3, clock)
		m.list(engines(1)...)
		m.rosters[0].Refused("engine-0000")
		Expect(m.until(ctx, "engine-0000", roster.Suspect)).To(BeNumerically("<", 3*time.Second))
		clock.Advance(time.Second)
		m.rosters[1].Served("engine-0000", 0)
		Expect(m.rosters[1].Phase("engine-0000")).To(Equal(roster.Live))
		clock.Advance(5 * time.Second)
		Expect(m.seeing("engine-0000", roster.Live)).To(Equal(3))
	})

	It("ignores an older list and one bad sign", func() {
		r := roster.New(roster.Options{Self: "a", Clock: clockwork.NewFakeClockAt(time.Unix(1e9, 0))})
		now := time.Now()
		r.List(now, engines(1))
		r.List(now.Add(-time.Minute), nil)
		Expect(r.Phase("engine-0000")).To(Equal(roster.Live))
		err := r.Receive(roster.Digest{Signs: []roster.Sign{{ID: "x", Kind: "odd"}, {ID: "engine-0000", Kind: roster.Departing}}})
		Expect(err).To(HaveOccurred())
		Expect(r.Phase("engine-0000")).To(Equal(roster.Leaving))
	})

	It("runs by itself and stops with its context", func() {
		synctest.Test(suite, func(t *testing.T) {
			g := NewWithT(t)
			m := newMesh(5, clockwork.NewRealClock())
			ctx, cancel := context.WithCancel(ctx)
			for _, gossip := range m.gossips {
				go gossip.Run(ctx)
			}
			time.AfterFunc(5*time.Second, cancel)
			synctest.Wait()
			m.rosters[3].Departing("engine-0000", 0)
			<-ctx.Done()
			synctest.Wait()
			g.Expect(m.seeing("engine-0000", roster.Leaving)).To(Equal(5))
			g.Expect(slices.Contains(m.rosters[0].Leaving(), "engine-0000")).To(BeTrue())
		})
	})
})
