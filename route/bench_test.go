package route_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/poplarshore/poplarshore/route"
)

// BenchmarkSelect measures one decision over a slice of candidates and reports its
// 99th percentile.
func BenchmarkSelect(b *testing.B) {
	for _, n := range []int{10, 50, 100, 500, 2000} {
		s := engines(n)
		rng := rand.New(rand.NewPCG(1, 1))
		for i := range s {
			s[i].RemoteInFlight = rng.IntN(12)
		}
		b.Run(fmt.Sprintf("engines=%d", n), func(b *testing.B) {
			policy := route.NewPolicy(route.DefaultOptions())
			r := request()
			r.Hints = []route.Hint{{Upstream: "e000", Blocks: 3}, {Upstream: "e009", Blocks: 1}}
			r.Preferred = "e005"
			h := hdrhistogram.New(1, int64(time.Second), 3)
			b.ReportAllocs()
			for b.Loop() {
				r.Draw = rng.Uint64()
				begin := time.Now()
				if _, ok := policy.Select(r, s); !ok {
					b.Fatal("no candidate")
				}
				_ = h.RecordValue(int64(time.Since(begin)))
			}
			b.ReportMetric(float64(h.ValueAtQuantile(99)), "p99-ns")
		})
	}
}

// BenchmarkSelectRefused measures the worst case: every candidate but one is
// refused, so a decision examines all of them.
func BenchmarkSelectRefused(b *testing.B) {
	s := engines(500)
	for i := range s[1:] {
		s[i+1].Leaving = true
	}
	policy, r := route.NewPolicy(route.DefaultOptions()), request()
	for b.Loop() {
		r.Draw++
		if _, ok := policy.Select(r, s); !ok {
			b.Fatal("no candidate")
		}
	}
}
