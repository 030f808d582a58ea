package cascade_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/poplarshore/poplarshore/cascade"
	"github.com/poplarshore/poplarshore/contract"
)

// BenchmarkRequest measures the decisions for one request: Start and the calls of
// Next until the Accept step, with shadow runs and audits.
func BenchmarkRequest(b *testing.B) {
	for _, contracts := range []int{1, 100, 1000} {
		b.Run(fmt.Sprintf("contracts=%d", contracts), func(b *testing.B) {
			d := newDecider(cascade.Options{})
			r := rand.New(rand.NewPCG(1, 1))
			req := request()
			b.ReportAllocs()
			for i := range b.N {
				req.Contract = contract.ID(fmt.Sprint(i % contracts))
				serveRequest(d, r, req, 0.7, startTime)
			}
		})
	}
}
