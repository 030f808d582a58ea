package lease_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/poplarshore/poplarshore/coord/lease"
	"github.com/poplarshore/poplarshore/coord/store/memory"
)

// BenchmarkStoreOperations reports the store operations per second for one job with
// one holder, while either all other nodes or only those among three candidates
// contend for it.
func BenchmarkStoreOperations(b *testing.B) {
	for _, nodes := range []int{1, 7, 50, 200} {
		for _, contenders := range slices.Compact([]int{nodes, min(nodes, 3)}) {
			b.Run(fmt.Sprintf("nodes=%d/contenders=%d", nodes, contenders), func(b *testing.B) {
				var counts memory.Counter
				for b.Loop() {
					counts = countOperations(contenders)
				}
				b.ReportMetric(float64(counts.Reads)/simulatedTime.Seconds(), "reads/s")
				b.ReportMetric(float64(counts.Writes)/simulatedTime.Seconds(), "writes/s")
				b.ReportMetric(float64(counts.Reads+counts.Writes)/simulatedTime.Seconds()/float64(nodes), "operations/s/node")
			})
		}
	}
}

const (
	simulatedTime = 10 * time.Minute // per iteration
	renewInterval = 2 * time.Second  // the default of Options.RenewInterval, without jitter
)

// countOperations lets one node renew a lease and the other contenders attempt to
// acquire it, each once per renewInterval as in Run, for simulatedTime.
func countOperations(contenders int) memory.Counter {
	table, clock := memory.NewTable(), clockwork.NewFakeClock()
	ctx := context.Background()
	managers := make([]*lease.Manager, contenders)
	for i := range managers {
		managers[i], _ = lease.New(table, fmt.Sprint("vm-", i), lease.Options{Clock: clock})
	}
	l, _ := managers[0].Acquire(ctx, job)
	for range simulatedTime / renewInterval {
		clock.Advance(renewInterval)
		_ = l.Renew(ctx)
		for _, m := range managers[1:] {
			_, _ = m.Acquire(ctx, job)
		}
	}
	return table.Counts()
}
