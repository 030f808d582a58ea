package order_test

import (
	"fmt"
	"testing"

	"github.com/poplarshore/poplarshore/order"
	"github.com/poplarshore/poplarshore/upstream"
)

// BenchmarkPlan plans one round with all engines in their desired state, and with all of
// them needing an order.
func BenchmarkPlan(b *testing.B) {
	for _, engines := range []int{12, 100, 1000, 10_000} {
		for name, state := range map[string]order.State{"settled": stateWith(1, v2), "changing": stateWith(0, v1)} {
			b.Run(fmt.Sprintf("engines=%d/%s", engines, name), func(b *testing.B) {
				views := make([]order.View, engines)
				for i := range views {
					views[i] = newView(state)
					views[i].Desired.Engine = upstream.ID(fmt.Sprint("engine-", i))
				}
				b.ReportAllocs()
				for b.Loop() {
					planViews(views...)
				}
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(engines), "ns/engine")
			})
		}
	}
}
