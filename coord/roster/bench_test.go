package roster_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/poplarshore/poplarshore/coord/roster"
)

// BenchmarkDeparture reports, in virtual time, how long a new update takes to reach every node, the
// bytes per node and second without new updates, and the rounds until every node knows that a
// twentieth of the upstreams, all at once, is leaving.
func BenchmarkDeparture(b *testing.B) {
	for _, size := range []int{1, 7, 50, 200} {
		b.Run(fmt.Sprint(size, "_nodes"), func(b *testing.B) {
			ctx := context.Background()
			for range b.N {
				clock := clockwork.NewFakeClockAt(time.Unix(1e9, 0))
				c := newCluster(size, clock)
				all := engines(1 + 5*size)
				c.applyList(all...)
				c.rosters[0].RecordDeparting(all[0].ID, 0)
				elapsed := c.timeUntilPhase(ctx, all[0].ID, roster.Leaving)
				b.ReportMetric(elapsed.Seconds(), "s-one-upstream")
				b.ReportMetric(c.meanBytesPerSecond(ctx, clock, 20), "B/node/s-quiet")
				b.ReportMetric(float64(c.roundsUntilAllLeaving(ctx, clock, all[:max(len(all)/20, 1)])), "rounds-twentieth")
				b.ReportMetric(float64(c.largestDigest), "B-largest-message")
			}
		})
	}
}

// meanBytesPerSecond returns the mean bytes sent and received by a node per second.
func (c *cluster) meanBytesPerSecond(ctx context.Context, clock *clockwork.FakeClock, seconds int) float64 {
	c.digestBytes, c.digestCount = 0, 0
	for range seconds {
		clock.Advance(time.Second)
		c.runRound(ctx)
		c.measureDigest(len(c.rosters) / 2)
	}
	if len(c.rosters) == 1 {
		return 0
	}
	// Digests per node and second: four exchanges initiated and four served, with two digests each.
	const messages = 16
	return float64(c.digestBytes) / float64(c.digestCount) * messages
}

// roundsUntilAllLeaving marks the members as leaving on different nodes, and returns the number of
// rounds, one per interval, until every node knows of all of them.
func (c *cluster) roundsUntilAllLeaving(ctx context.Context, clock *clockwork.FakeClock, leaving []roster.ListEntry) int {
	for i, e := range leaving {
		c.rosters[i%len(c.rosters)].RecordDeparting(e.ID, 0)
	}
	for rounds := 1; ; rounds++ {
		clock.Advance(500 * time.Millisecond)
		c.runRound(ctx)
		c.measureDigest(0)
		known := true
		for _, r := range c.rosters {
			known = known && len(r.Leaving()) >= len(leaving)
		}
		if known {
			return rounds
		}
	}
}

// BenchmarkRecordServed measures recording one answer of a member.
func BenchmarkRecordServed(b *testing.B) {
	c := newCluster(1, clockwork.NewRealClock())
	c.applyList(engines(50)...)
	for b.Loop() {
		c.rosters[0].RecordServed("engine-0007", 0)
	}
}
