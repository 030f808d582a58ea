package rollout_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/rollout"
)

// draw returns what n requests show, a fifth of them rated.
func draw(r *rand.Rand, n int, errorRate, lowRate float64) rollout.Counts {
	var c rollout.Counts
	for range n {
		c.Requests++
		if r.Float64() < errorRate {
			c.Errors++
		}
		if r.Float64() >= 0.2 {
			continue
		}
		c.Rated++
		if r.Float64() < lowRate {
			c.Low++
			c.RatingSum += 0.3
		} else {
			c.RatingSum += 0.9
		}
	}
	return c
}

var _ = Describe("Compare", func() {
	// ever tells whether the new version is found bad at any of many looks.
	ever := func(seed uint64, errorRate, lowRate, evidence float64) bool {
		r := rand.New(rand.NewPCG(seed, 1))
		baseline := draw(r, 2000, 0.05, 0.1)
		var fresh, old rollout.Counts
		for range 60 {
			fresh, old = fresh.Add(draw(r, 20, errorRate, lowRate)), old.Add(draw(r, 40, 0.05, 0.1))
			if rollout.Compare(fresh, old, baseline, rollout.Tolerance{}, evidence).Bad {
				return true
			}
		}
		return false
	}
	count := func(errorRate, lowRate, evidence float64) (found int) {
		for seed := range uint64(200) {
			if ever(seed, errorRate, lowRate, evidence) {
				found++
			}
		}
		return found
	}

	It("finds an equally good version bad no more often than the evidence says, over all looks", func() {
		// Four metrics at 5% each allow 40 in 200.
		Expect(count(0.05, 0.1, 3)).To(BeNumerically("<=", 40))
	})

	DescribeTable("finds a bad one", func(errorRate, lowRate float64) {
		Expect(count(errorRate, lowRate, 10)).To(BeNumerically(">=", 190))
	},
		Entry("by errors", 0.2, 0.1),
		Entry("by low ratings", 0.05, 0.5),
	)
})

var _ = Describe("Watch", func() {
	DescribeTable("tells a version that turned bad from one that did not",
		func(errorRate, lowRate float64, want rollout.Metric) {
			r := rand.New(rand.NewPCG(9, 1))
			w := rollout.NewWatch(rollout.WatchOptions{})
			for range 300 {
				Expect(w.Observe(draw(r, 100, 0.005, 0.05)).Bad).To(BeFalse())
			}
			for range 20 {
				w.Observe(draw(r, 100, errorRate, lowRate))
			}
			Expect(w.Observe(rollout.Counts{}).Metric).To(Equal(want))
		},
		Entry("still good", 0.005, 0.05, rollout.Metric("")),
		Entry("errors", 0.1, 0.05, rollout.MetricErrors),
		Entry("low ratings", 0.005, 0.4, rollout.MetricLow),
	)
})

var _ = Describe("Deltas", func() {
	It("counts what each VM added, and all of a VM that started anew", func() {
		d := rollout.NewDeltas()
		fresh := func(r rollout.Report) rollout.Counts { return r.Fresh }
		seen := func(a, b int64) int64 {
			return d.Added([]rollout.Report{{VM: "a", Fresh: good(a)}, {VM: "b", Fresh: good(b)}}, fresh).Requests
		}
		Expect([]int64{seen(100, 50), seen(120, 50), seen(5, 60)}).To(Equal([]int64{150, 20, 15}))
	})
})

var _ = Describe("Assign", func() {
	It("keeps a session that got the new version on it as the share grows, and gives out the share", func() {
		row := rollout.Begin(plan(), start)
		given := []int{}
		had := map[string]bool{}
		for step := range plan().Steps {
			row.Step = step
			n := 0
			for i := range 2000 {
				key := fmt.Sprint("session", i)
				v, err := rollout.Assign(plan(), row, rollout.Local{Domain: "a"}, key)
				Expect(err).NotTo(HaveOccurred())
				Expect(had[key] && v != "v2").To(BeFalse())
				had[key] = v == "v2"
				if had[key] {
					n++
				}
			}
			given = append(given, n)
		}
		Expect(given[0]).To(BeNumerically("~", 200, 40))
		Expect(given[1]).To(BeNumerically("~", 1000, 70))
		Expect(given[2]).To(Equal(2000))
	})
})

var _ = Describe("Progress", func() {
	It("survives its encoding and is refused when it is not one", func() {
		row := rollout.Begin(plan(), start).WithBaseline(good(10))
		row.Stopped, row.HeldFor, row.HeldSince = append(row.Stopped, "a"), rollout.ReasonDomainStop, start.Add(time.Second)
		text, err := row.Encode()
		Expect(err).NotTo(HaveOccurred())
		back, err := rollout.DecodeProgress(text)
		Expect(err).NotTo(HaveOccurred())
		Expect(back.Equal(row)).To(BeTrue())
		for _, bad := range []string{"", "{}", `{"id":"r","generation":1,"phase":"odd"}`, string(text) + "x"} {
			_, err := rollout.DecodeProgress([]byte(bad))
			Expect(err).To(MatchError(ContainSubstring("rollout.invalid")), bad)
		}
	})
})

var _ = Describe("CheckWithdrawal", func() {
	It("refuses to leave none unless forced", func() {
		Expect(rollout.CheckWithdrawal("v1", versions, nil, false)).To(Succeed())
		Expect(rollout.CheckWithdrawal("v1", versions, only("v2"), false)).To(MatchError(ContainSubstring("no version")))
		Expect(rollout.CheckWithdrawal("v1", versions, only("v2"), true)).To(Succeed())
	})
})
