package once_test

import (
	"fmt"
	"testing"

	"github.com/poplarshore/poplarshore/coord/once"
	"github.com/poplarshore/poplarshore/coord/store/memory"
)

// BenchmarkStoreOperations reports the store operations per request, without and with a
// repetition of the request through another node.
func BenchmarkStoreOperations(b *testing.B) {
	for _, nodes := range []int{1, 7, 50, 200} {
		for _, repeated := range []bool{false, true} {
			b.Run(fmt.Sprintf("nodes=%d/repeated=%v", nodes, repeated), func(b *testing.B) {
				table := memory.NewTable()
				claimsByNode := make([]*once.Claims, nodes)
				for i := range claimsByNode {
					claimsByNode[i], _ = once.New(table, fmt.Sprint("vm-", i), once.Options{})
				}
				requests := 0
				for b.Loop() {
					requests++
					runRequest(b, claimsByNode, requests, repeated)
				}
				counts := table.Counts()
				b.ReportMetric(float64(counts.Reads)/float64(requests), "reads/request")
				b.ReportMetric(float64(counts.Writes)/float64(requests), "writes/request")
			})
		}
	}
}

// runRequest runs one request, and repeats it through the next node if repeated is set.
func runRequest(b *testing.B, claimsByNode []*once.Claims, number int, repeated bool) {
	uniqueKey := once.Key{Account: "works", ID: fmt.Sprint(number)}
	outcome, err := claimsByNode[number%len(claimsByNode)].Claim(ctx, uniqueKey, fingerprint)
	if err != nil {
		b.Fatal(err)
	}
	if err := outcome.Claim.Complete(ctx, []byte("permit")); err != nil {
		b.Fatal(err)
	}
	if !repeated {
		return
	}
	if _, err := claimsByNode[(number+1)%len(claimsByNode)].Claim(ctx, uniqueKey, fingerprint); err != nil {
		b.Fatal(err)
	}
}
