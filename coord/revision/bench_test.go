package revision_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/coord/revision"
)

// hopTime is the virtual time of one exchange and one fetch between regions.
const hopTime = 160 * time.Millisecond

// BenchmarkSpread reports, in virtual time, how long a change takes to be in force on
// all nodes if the store fails right after the change was accepted. It also reports
// the store reads, bytes and messages per node and second.
func BenchmarkSpread(b *testing.B) {
	for _, size := range []int{1, 7, 50, 200} {
		b.Run(fmt.Sprint(size, "_nodes"), func(b *testing.B) {
			RegisterTestingT(b)
			ctx := context.Background()
			for range b.N {
				c := newCluster(size)
				c.propose(ctx, c.ids[0], 0)
				c.runFor(ctx, 20*time.Second)
				c.propose(ctx, c.ids[size/2], 1)
				c.setStoreDown(true)
				elapsed := time.Duration(c.propagate(ctx)) * hopTime
				for c.installedCount(2) < size {
					c.tick(ctx)
					elapsed += time.Second
				}
				b.ReportMetric(elapsed.Seconds(), "s-to-in-force")
				c.setStoreDown(false)
				c.reportCosts(ctx, b)
			}
		})
	}
}

// reportCosts reports the costs per node over 20 s without a change.
func (c *cluster) reportCosts(ctx context.Context, b *testing.B) {
	const seconds = 20
	c.counting = true
	reads, sent, calls := c.table.Counts().Reads, c.digestBytes.Load(), c.digestCount.Load()
	c.runFor(ctx, seconds*time.Second)
	perNode := float64(len(c.ids) * seconds)
	b.ReportMetric(float64(c.table.Counts().Reads-reads)/seconds, "store-reads/s")
	b.ReportMetric(float64(c.table.Counts().Reads-reads)/perNode, "store-reads/node/s")
	b.ReportMetric(2*float64(c.digestBytes.Load()-sent)/perNode, "B/node/s") // sent and received
	b.ReportMetric(2*float64(c.digestCount.Load()-calls)/perNode, "messages/node/s")
	b.ReportMetric(float64(c.freshCount())/float64(len(c.ids)), "fresh")
}

// BenchmarkOutage reports, for several values of FreshFor, the share of nodes that are
// fresh after a minute in which no node reaches the store.
func BenchmarkOutage(b *testing.B) {
	for _, size := range []int{7, 50, 100, 200} {
		for _, freshForSeconds := range []time.Duration{5, 10, 15, 20, 30} {
			b.Run(fmt.Sprint(size, "_nodes/", int(freshForSeconds), "_s"), func(b *testing.B) {
				RegisterTestingT(b)
				ctx := context.Background()
				for range b.N {
					c := newClusterWithFreshFor(size, freshForSeconds*time.Second)
					c.propose(ctx, c.ids[0], 0)
					c.runFor(ctx, 30*time.Second)
					b.ReportMetric(float64(c.freshCount())/float64(size), "fresh-before")
					c.setStoreDown(true)
					c.runFor(ctx, time.Minute)
					b.ReportMetric(float64(c.freshCount())/float64(size), "fresh-in-outage")
				}
			})
		}
	}
}

// BenchmarkPropose reports the number of store operations per accepted change.
func BenchmarkPropose(b *testing.B) {
	ctx := context.Background()
	c := newCluster(1)
	p := revision.NewPublisher(revision.PublisherOptions{Table: c.table, Objects: c.objects, Prefix: prefix})
	base := uint64(0)
	for b.Loop() {
		accepted, err := p.Propose(ctx, base, []byte(fmt.Sprint(base)), fmt.Sprint(base), "ana")
		if err != nil {
			b.Fatal(err)
		}
		base = accepted.Revision.Number
	}
	t, o := c.table.Counts(), c.objects.Counts()
	b.ReportMetric(float64(t.Reads+t.Writes+o.Reads+o.Writes)/float64(base), "store-ops/change")
}
