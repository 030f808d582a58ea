package once_test

import (
	"fmt"
	"testing"

	"github.com/poplarshore/poplarshore/coord/once"
	"github.com/poplarshore/poplarshore/coord/store/memory"
)

// BenchmarkStoreOperations counts the store operations of a request that runs,
// and of one that is repeated through another node.
func BenchmarkStoreOperations(b *testing.B) {
	for _, nodes := range []int{1, 7, 50, 200} {
		for _, repeated := range []bool{false, true} {
			b.Run(fmt.Sprintf("nodes=%d/repeated=%v", nodes, repeated), func(b *testing.B) {
				table := memory.NewTable()
				all := make([]*once.Claims, nodes)
				for i := range all {
					all[i], _ = once.New(table, fmt.Sprint("vm-", i), once.Options{})
				}
				runs := 0
				for b.Loop() {
					runs++
					request(b, all, runs, repeated)
				}
				counts := table.Counts()
				b.ReportMetric(float64(counts.Reads)/float64(runs), "reads/request")
				b.ReportMetric(float64(counts.Writes)/float64(runs), "writes/request")
			})
		}
	}
}

// request runs one request, and repeats it through the next node if asked to.
func request(b *testing.B, all []*once.Claims, run int, repeated bool) {
	own := once.Key{Account: "works", ID: fmt.Sprint(run)}
	outcome, err := all[run%len(all)].Claim(ctx, own, body)
	if err != nil {
		b.Fatal(err)
	}
	if err := outcome.Claim.Complete(ctx, []byte("permit")); err != nil {
		b.Fatal(err)
	}
	if !repeated {
		return
	}
	if _, err := all[(run+1)%len(all)].Claim(ctx, own, body); err != nil {
		b.Fatal(err)
	}
}
