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

// BenchmarkStoreOperations counts the store operations a second of one job with
// one holder, while the other nodes stand by, all of them or three candidates.
func BenchmarkStoreOperations(b *testing.B) {
	for _, nodes := range []int{1, 7, 50, 200} {
		for _, contenders := range slices.Compact([]int{nodes, min(nodes, 3)}) {
			b.Run(fmt.Sprintf("nodes=%d/contenders=%d", nodes, contenders), func(b *testing.B) {
				var counts memory.Counter
				for b.Loop() {
					counts = standBy(contenders)
				}
				b.ReportMetric(float64(counts.Reads)/counted.Seconds(), "reads/s")
				b.ReportMetric(float64(counts.Writes)/counted.Seconds(), "writes/s")
				b.ReportMetric(float64(counts.Reads+counts.Writes)/counted.Seconds()/float64(nodes), "operations/s/node")
			})
		}
	}
}

const (
	counted = 10 * time.Minute
	every   = 2 * time.Second // the default of RenewEvery, without jitter
)

// standBy lets one node renew and the others contend at the pace of Run.
func standBy(contenders int) memory.Counter {
	table, clock := memory.NewTable(), clockwork.NewFakeClock()
	ctx := context.Background()
	managers := make([]*lease.Manager, contenders)
	for i := range managers {
		managers[i], _ = lease.New(table, fmt.Sprint("vm-", i), lease.Options{Clock: clock})
	}
	held, _ := managers[0].Acquire(ctx, job)
	for range counted / every {
		clock.Advance(every)
		_ = held.Renew(ctx)
		for _, m := range managers[1:] {
			_, _ = m.Acquire(ctx, job)
		}
	}
	return table.Counts()
}
