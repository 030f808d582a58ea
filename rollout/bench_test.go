package rollout_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/rollout"
	"github.com/poplarshore/poplarshore/vm"
)

// BenchmarkAssign measures the selection of a version for one session.
func BenchmarkAssign(b *testing.B) {
	g := rollout.NewGuard(plan(), rollout.Begin(plan(), start), "vm1", "a", rollout.GuardOptions{})
	b.ReportAllocs()
	for b.Loop() {
		_, _ = g.Assign("session-0123456789", nil)
	}
}

// BenchmarkEnded measures recording the end of an attempt on the new version. The
// statistical test runs only if the mean of the new version is worse.
func BenchmarkEnded(b *testing.B) {
	for name, failing := range map[string]bool{"worse": true, "as good": false} {
		b.Run(name, func(b *testing.B) {
			g := rollout.NewGuard(plan(), rollout.Begin(plan(), start), "vm1", "a", rollout.GuardOptions{EvidenceThreshold: 1e12})
			for range 1000 {
				g.RecordAttempt("v1", false, time.Second)
			}
			for b.Loop() {
				g.RecordAttempt("v2", failing, time.Second)
			}
		})
	}
}

// BenchmarkDecide measures a decision with one report from each VM.
func BenchmarkDecide(b *testing.B) {
	for _, vms := range []int{7, 200, 2000} {
		b.Run(fmt.Sprintf("vms=%d", vms), func(b *testing.B) {
			in := input(rollout.Begin(plan(), start), start)
			in.Reports, in.Domains = nil, nil
			for i := range 18 {
				in.Domains = append(in.Domains, domain.ID(fmt.Sprint(i)))
			}
			for i := range vms {
				r := healthyReport(in.Domains[i%18], in.Row, start)
				r.VM = vm.ID(fmt.Sprint(i))
				in.Reports = append(in.Reports, r)
			}
			b.ReportAllocs()
			for b.Loop() {
				rollout.Decide(in, rollout.Options{})
			}
		})
	}
}

// BenchmarkWatch measures an observation of a watch that has a reference.
func BenchmarkWatch(b *testing.B) {
	w := rollout.NewWatch(rollout.WatchOptions{})
	for range 10 {
		w.Observe(healthyCounts(1000))
	}
	for b.Loop() {
		w.Observe(healthyCounts(100))
	}
}
