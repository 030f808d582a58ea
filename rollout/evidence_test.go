package rollout_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/rollout"
)

// drawCounts returns the counts of n random requests, a fifth of which are rated.
func drawCounts(r *rand.Rand, n int, errorRate, lowRate float64) rollout.Counts {
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
	// everFoundBad reports whether the new version is found bad at any of 60 comparisons
	// on growing counts.
	everFoundBad := func(seed uint64, errorRate, lowRate, threshold float64) bool {
		r := rand.New(rand.NewPCG(seed, 1))
		baseline := drawCounts(r, 2000, 0.05, 0.1)
		var newCounts, oldCounts rollout.Counts
		for range 60 {
			newCounts, oldCounts = newCounts.Add(drawCounts(r, 20, errorRate, lowRate)), oldCounts.Add(drawCounts(r, 40, 0.05, 0.1))
			if rollout.Compare(newCounts, oldCounts, baseline, rollout.Tolerance{}, threshold).Bad {
				return true
			}
		}
		return false
	}
	countFoundBad := func(errorRate, lowRate, threshold float64) (found int) {
		for seed := range uint64(200) {
			if everFoundBad(seed, errorRate, lowRate, threshold) {
				found++
			}
		}
		return found
	}

	It("finds an equally good version bad no more often than the threshold allows, over all comparisons", func() {
		// Threshold 3 allows a probability of 5% for each of the four metrics,
		// that is 40 in 200.
		Expect(countFoundBad(0.05, 0.1, 3)).To(BeNumerically("<=", 40))
	})

	DescribeTable("finds a bad version", func(errorRate, lowRate float64) {
		Expect(countFoundBad(errorRate, lowRate, 10)).To(BeNumerically(">=", 190))
	},
		Entry("by errors", 0.2, 0.1),
		Entry("by low ratings", 0.05, 0.5),
	)
})

var _ = Describe("Watch", func() {
	DescribeTable("detects a version that becomes bad, and no other",
		func(errorRate, lowRate float64, want rollout.Metric) {
			r := rand.New(rand.NewPCG(9, 1))
			w := rollout.NewWatch(rollout.WatchOptions{})
			for range 300 {
				Expect(w.Observe(drawCounts(r, 100, 0.005, 0.05)).Bad).To(BeFalse())
			}
			for range 20 {
				w.Observe(drawCounts(r, 100, errorRate, lowRate))
			}
			Expect(w.Observe(rollout.Counts{}).Metric).To(Equal(want))
		},
		Entry("still good", 0.005, 0.05, rollout.Metric("")),
		Entry("errors", 0.1, 0.05, rollout.MetricErrors),
		Entry("low ratings", 0.005, 0.4, rollout.MetricLow),
	)
})

var _ = Describe("Deltas", func() {
	It("returns the counts that each VM added, and all counts of a restarted VM", func() {
		d := rollout.NewDeltas()
		newCounts := func(r rollout.Report) rollout.Counts { return r.NewCounts }
		addedRequests := func(a, b int64) int64 {
			return d.Added([]rollout.Report{{VM: "a", NewCounts: healthyCounts(a)}, {VM: "b", NewCounts: healthyCounts(b)}}, newCounts).Requests
		}
		Expect([]int64{addedRequests(100, 50), addedRequests(120, 50), addedRequests(5, 60)}).To(Equal([]int64{150, 20, 15}))
	})
})

var _ = Describe("Assign", func() {
	It("keeps sessions on the new version as the share grows, and assigns the configured share", func() {
		row := rollout.Begin(plan(), start)
		newVersionSessions := []int{}
		hadNewVersion := map[string]bool{}
		for step := range plan().Steps {
			row.Step = step
			count := 0
			for i := range 2000 {
				key := fmt.Sprint("session", i)
				v, err := rollout.Assign(plan(), row, rollout.LocalState{Domain: "a"}, key)
				Expect(err).NotTo(HaveOccurred())
				Expect(hadNewVersion[key] && v != "v2").To(BeFalse())
				hadNewVersion[key] = v == "v2"
				if hadNewVersion[key] {
					count++
				}
			}
			newVersionSessions = append(newVersionSessions, count)
		}
		Expect(newVersionSessions[0]).To(BeNumerically("~", 200, 40))
		Expect(newVersionSessions[1]).To(BeNumerically("~", 1000, 70))
		Expect(newVersionSessions[2]).To(Equal(2000))
	})
})

var _ = Describe("Progress", func() {
	It("is unchanged after encoding and decoding, and invalid rows are rejected", func() {
		row := rollout.Begin(plan(), start).WithBaseline(healthyCounts(10))
		row.Stopped, row.HeldFor, row.HeldSince = append(row.Stopped, "a"), rollout.ReasonDomainStop, start.Add(time.Second)
		encoded, err := row.Encode()
		Expect(err).NotTo(HaveOccurred())
		decoded, err := rollout.DecodeProgress(encoded)
		Expect(err).NotTo(HaveOccurred())
		Expect(decoded.Equal(row)).To(BeTrue())
		for _, bad := range []string{"", "{}", `{"id":"r","generation":1,"phase":"odd"}`, string(encoded) + "x"} {
			_, err := rollout.DecodeProgress([]byte(bad))
			Expect(err).To(MatchError(ContainSubstring("rollout.invalid")), bad)
		}
	})
})

var _ = Describe("CheckWithdrawal", func() {
	It("rejects withdrawal of a model's last version unless forced", func() {
		Expect(rollout.CheckWithdrawal("v1", versions, nil, false)).To(Succeed())
		Expect(rollout.CheckWithdrawal("v1", versions, isOneOf("v2"), false)).To(MatchError(ContainSubstring("no version")))
		Expect(rollout.CheckWithdrawal("v1", versions, isOneOf("v2"), true)).To(Succeed())
	})
})
