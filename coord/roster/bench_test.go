package roster_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/poplarshore/poplarshore/coord/roster"
)

// BenchmarkDeparture reports, in virtual time, how long the first sign takes to
// reach every VM, and what a node sends per second in quiet times and while a
// twentieth of the upstreams leaves at once.
func BenchmarkDeparture(b *testing.B) {
	for _, size := range []int{1, 7, 50, 200} {
		b.Run(fmt.Sprint(size, "_nodes"), func(b *testing.B) {
			ctx := context.Background()
			for range b.N {
				clock := clockwork.NewFakeClockAt(time.Unix(1e9, 0))
				m := newMesh(size, clock)
				all := engines(1 + 5*size)
				m.list(all...)
				m.rosters[0].Departing(all[0].ID, 0)
				took := m.until(ctx, all[0].ID, roster.Leaving)
				b.ReportMetric(took.Seconds(), "s-one-upstream")
				b.ReportMetric(m.wire(ctx, clock, 20), "B/node/s-quiet")
				b.ReportMetric(float64(m.leaveAll(ctx, clock, all[:max(len(all)/20, 1)])), "rounds-twentieth")
				b.ReportMetric(float64(m.largest), "B-largest-message")
			}
		})
	}
}

// wire returns the mean bytes sent and received by a node per second.
func (m *mesh) wire(ctx context.Context, clock *clockwork.FakeClock, seconds int) float64 {
	m.bytes, m.calls = 0, 0
	for range seconds {
		clock.Advance(time.Second)
		m.round(ctx)
		m.measure(len(m.rosters) / 2)
	}
	if len(m.rosters) == 1 {
		return 0
	}
	const messages = 16 // per node and second: four exchanges begun and four answered, both ways
	return float64(m.bytes) / float64(m.calls) * messages
}

// leaveAll returns the rounds of one tick until every node knows of all.
func (m *mesh) leaveAll(ctx context.Context, clock *clockwork.FakeClock, leaving []roster.ListEntry) int {
	for i, e := range leaving {
		m.rosters[i%len(m.rosters)].Departing(e.ID, 0)
	}
	for rounds := 1; ; rounds++ {
		clock.Advance(500 * time.Millisecond)
		m.round(ctx)
		m.measure(0)
		known := true
		for _, r := range m.rosters {
			known = known && len(r.Leaving()) >= len(leaving)
		}
		if known {
			return rounds
		}
	}
}

// BenchmarkServed reports the cost of recording one answer.
func BenchmarkServed(b *testing.B) {
	m := newMesh(1, clockwork.NewRealClock())
	m.list(engines(50)...)
	for b.Loop() {
		m.rosters[0].Served("engine-0007", 0)
	}
}
