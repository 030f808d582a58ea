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
	"github.com/poplarshore/poplarshore/internal/bubble"
)

var _ = Describe("Merge", func() {
	policy := roster.Policy{SuspectFor: 5 * time.Second, ListLag: 2 * time.Minute, Retention: time.Hour}
	base := time.Unix(1e9, 0)
	type step struct {
		kind  roster.Kind
		inc   roster.Incarnation
		after time.Duration
	}

	DescribeTable("determines the phase from a sequence of observations", func(want roster.Phase, now time.Duration, steps ...step) {
		var r roster.Record
		for _, s := range steps {
			r = policy.Merge(r, roster.Observation{Kind: s.kind, Incarnation: s.inc, At: base.Add(s.after)})
		}
		Expect(policy.Phase(r, base.Add(now))).To(Equal(want))
	},
		Entry("no observation: unknown", roster.Unknown, time.Second),
		Entry("listed: live", roster.Live, time.Second, step{roster.Listed, 0, 0}),
		Entry("departing, then listed and served: still leaving", roster.Leaving, time.Hour,
			step{roster.Departing, 0, 1}, step{roster.Listed, 0, time.Minute}, step{roster.Served, 0, time.Hour}),
		Entry("departing, then a later incarnation listed: live", roster.Live, time.Hour,
			step{roster.Departing, 1, 1}, step{roster.Listed, 2, time.Minute}),
		Entry("departing of an earlier incarnation: ignored", roster.Live, time.Hour,
			step{roster.Listed, 2, 1}, step{roster.Departing, 1, time.Minute}),
		Entry("refused recently: suspect", roster.Suspect, 3*time.Second, step{roster.Listed, 0, 0}, step{roster.Refused, 0, time.Second}),
		Entry("refused, then served: live", roster.Live, 3*time.Second, step{roster.Refused, 0, 1}, step{roster.Served, 0, time.Second}),
		Entry("refused longer ago than SuspectFor: live", roster.Live, time.Minute, step{roster.Listed, 0, 0}, step{roster.Refused, 0, 1}),
		Entry("listed, then absent: gone", roster.Gone, time.Minute, step{roster.Listed, 0, 0}, step{roster.Absent, 0, 1}),
		Entry("served, never listed, absent: live", roster.Live, time.Minute, step{roster.Served, 0, 0}, step{roster.Absent, 0, 1}),
		Entry("departed, absent, listed again within ListLag: still leaving", roster.Leaving, 2*time.Minute,
			step{roster.Listed, 0, 0}, step{roster.Departing, 0, 1}, step{roster.Absent, 0, 2},
			step{roster.Listed, 0, time.Minute}),
		Entry("departed, absent, listed again after ListLag, old departing update: live", roster.Live, time.Hour,
			step{roster.Listed, 0, 0}, step{roster.Departing, 0, 1}, step{roster.Absent, 0, 2},
			step{roster.Listed, 0, 3 * time.Minute}, step{roster.Departing, 0, 1}),
	)

	It("does not depend on the order or repetition of observations other than lists", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			var observations []roster.Observation
			for range rapid.IntRange(0, 8).Draw(t, "count") {
				observations = append(observations, roster.Observation{
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
			repeated := append(rapid.Permutation(observations).Draw(t, "order"), observations...)
			if fold(observations) != fold(repeated) {
				t.Fatalf("%v and %v differ", fold(observations), fold(repeated))
			}
		})
	})
})

var _ = Describe("Gossip", func() {
	ctx := context.Background()

	DescribeTable("spreads a leaving upstream to every VM within 3 s of the first observation", func(size int, loss float64) {
		c := newCluster(size, clockwork.NewFakeClockAt(time.Unix(1e9, 0)))
		r := rand.New(rand.NewPCG(1, 1))
		c.isDropped = func(int, int) bool { return r.Float64() < loss }
		c.applyList(engines(3)...)
		c.rosters[0].RecordDeparting("engine-0001", 0)
		elapsed := c.timeUntilPhase(ctx, "engine-0001", roster.Leaving)
		Expect(elapsed).To(BeNumerically("<", 3*time.Second))
		Expect(c.countInPhase("engine-0000", roster.Live)).To(Equal(size))
	},
		Entry("7 VMs", 7, 0.0), Entry("50 VMs, a fifth of the exchanges lost", 50, 0.2),
		Entry("200 VMs", 200, 0.0), Entry("200 VMs, a fifth of the exchanges lost", 200, 0.2),
	)

	It("brings a VM that was unreachable up to date, with digests below 2 KiB", func() {
		c := newCluster(6, clockwork.NewFakeClockAt(time.Unix(1e9, 0)))
		c.isDropped = func(from, to int) bool { return from == 5 || to == 5 }
		all := engines(200)
		c.applyList(all...)
		for _, e := range all {
			c.rosters[0].RecordDeparting(e.ID, 0)
		}
		for range 60 {
			c.runRound(ctx)
			c.measureDigest(0)
		}
		c.isDropped = func(int, int) bool { return false }
		for range 80 {
			c.runRound(ctx)
		}
		Expect(c.rosters[5].Leaving()).To(HaveLen(200))
		Expect(c.largestDigest).To(BeNumerically("<", 2<<10))
	})

	It("spreads refused connections, which a later answer observed by a VM itself overrides", func() {
		clock := clockwork.NewFakeClockAt(time.Unix(1e9, 0))
		c := newCluster(3, clock)
		c.applyList(engines(1)...)
		c.rosters[0].RecordRefused("engine-0000")
		Expect(c.timeUntilPhase(ctx, "engine-0000", roster.Suspect)).To(BeNumerically("<", 3*time.Second))
		clock.Advance(time.Second)
		c.rosters[1].RecordServed("engine-0000", 0)
		Expect(c.rosters[1].Phase("engine-0000")).To(Equal(roster.Live))
		clock.Advance(5 * time.Second)
		Expect(c.countInPhase("engine-0000", roster.Live)).To(Equal(3))
	})

	It("ignores an older list, and rejects an update of unsupported kind but merges the others", func() {
		r := roster.New(roster.Options{Self: "a", Clock: clockwork.NewFakeClockAt(time.Unix(1e9, 0))})
		now := time.Now()
		r.ApplyList(now, engines(1))
		r.ApplyList(now.Add(-time.Minute), nil)
		Expect(r.Phase("engine-0000")).To(Equal(roster.Live))
		err := r.Receive(roster.Digest{Updates: []roster.Update{{ID: "x", Kind: "odd"}, {ID: "engine-0000", Kind: roster.Departing}}})
		Expect(err).To(HaveOccurred())
		Expect(r.Phase("engine-0000")).To(Equal(roster.Leaving))
	})

	It("spreads an update while Run is running, and stops when the context ends", func() {
		bubble.Test(suite, func(t *testing.T) {
			g := NewWithT(t)
			c := newCluster(5, clockwork.NewRealClock())
			ctx, cancel := context.WithCancel(ctx)
			for _, gossip := range c.gossips {
				go gossip.Run(ctx)
			}
			time.AfterFunc(5*time.Second, cancel)
			synctest.Wait()
			c.rosters[3].RecordDeparting("engine-0000", 0)
			<-ctx.Done()
			synctest.Wait()
			g.Expect(c.countInPhase("engine-0000", roster.Leaving)).To(Equal(5))
			g.Expect(slices.Contains(c.rosters[0].Leaving(), "engine-0000")).To(BeTrue())
		})
	})
})
