package rollout_test

import (
	"flag"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/rollout"
)

func TestRollout(t *testing.T) {
	RegisterFailHandler(Fail)
	Expect(flag.Set("rapid.seed", "1")).To(Succeed())
	RunSpecs(t, "rollout")
}

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

var versions = []model.VersionID{"v1", "v2"}

func plan() rollout.Plan {
	return rollout.Plan{
		ID: "r1", Model: "draft", From: "v1", To: "v2",
		Steps: []rollout.Step{
			{Share: 0.1, DwellSeconds: 60, Domains: []domain.ID{"a"}},
			{Share: 0.5, DwellSeconds: 60},
			{Share: 1, DwellSeconds: 60},
		},
	}
}

func healthyCounts(n int64) rollout.Counts {
	return rollout.Counts{Requests: n, Rated: n / 5, RatingSum: 0.9 * float64(n/5)}
}

// healthyReport returns a report of a VM on the step of the row, without failures.
func healthyReport(d domain.ID, row rollout.Progress, now time.Time) rollout.Report {
	return rollout.Report{Domain: d, At: now, Generation: row.Generation, NewCounts: healthyCounts(500), OldCounts: healthyCounts(5000)}
}

func input(row rollout.Progress, now time.Time) rollout.Input {
	return rollout.Input{
		Plan: plan(), Row: row, Now: now,
		Domains: []domain.ID{"a", "b", "c"},
		Reports: []rollout.Report{healthyReport("a", row, now), healthyReport("b", row, now), healthyReport("c", row, now)},
	}
}

func isOneOf(versions ...model.VersionID) func(model.VersionID) bool {
	return func(v model.VersionID) bool {
		for _, w := range versions {
			if v == w {
				return true
			}
		}
		return false
	}
}

var _ = Describe("Decide", func() {
	later := start.Add(2 * time.Minute)

	It("advances through all steps on healthy reports, finishes, and then keeps the row", func() {
		row, now := rollout.Begin(plan(), start), start
		var kinds []rollout.Kind
		for range 4 {
			now = now.Add(2 * time.Minute)
			decision := rollout.Decide(input(row, now), rollout.Options{})
			kinds = append(kinds, decision.Kind)
			row = decision.Row
		}
		Expect(kinds).To(Equal([]rollout.Kind{rollout.Advance, rollout.Advance, rollout.Finish, rollout.Keep}))
	})

	DescribeTable("holds without sufficient evidence, and stops or rolls back a bad version",
		func(change func(*rollout.Input), kind rollout.Kind, reason rollout.Reason) {
			in := input(rollout.Begin(plan(), start), later)
			change(&in)
			decision := rollout.Decide(in, rollout.Options{})
			Expect(decision.Kind).To(Equal(kind))
			Expect(decision.Reason).To(Equal(reason))
		},
		Entry("dwell", func(in *rollout.Input) { in.Now = start.Add(time.Second) }, rollout.Hold, rollout.ReasonDwell),
		Entry("paused", func(in *rollout.Input) { in.Plan.Paused = true }, rollout.Hold, rollout.ReasonPaused),
		Entry("no report", func(in *rollout.Input) { in.Reports = in.Reports[1:] }, rollout.Hold, rollout.ReasonSilent),
		Entry("no failure domain known", func(in *rollout.Input) { in.Domains, in.Plan.Steps[0].Domains = nil, nil }, rollout.Hold, rollout.ReasonSilent),
		Entry("outdated report", func(in *rollout.Input) { in.Reports[0].At = start }, rollout.Hold, rollout.ReasonSilent),
		Entry("VM with an outdated row", func(in *rollout.Input) { in.Reports[0].Generation = 0 }, rollout.Hold, rollout.ReasonSilent),
		Entry("version still loading", func(in *rollout.Input) { in.Reports[0].Loading = true }, rollout.Hold, rollout.ReasonLoading),
		Entry("rating service unavailable", func(in *rollout.Input) { in.RaterOut = true }, rollout.Hold, rollout.ReasonRaterOut),
		Entry("rating service unavailable to most VMs", func(in *rollout.Input) {
			in.Reports[0].RaterOut, in.Reports[1].RaterOut = true, true
		}, rollout.Hold, rollout.ReasonRaterOut),
		Entry("no ratings", func(in *rollout.Input) {
			for i := range in.Reports {
				in.Reports[i].NewCounts.Rated, in.Reports[i].NewCounts.RatingSum = 0, 0
			}
		}, rollout.Hold, rollout.ReasonRatings),
		Entry("aborted", func(in *rollout.Input) { in.Plan.Aborted = true }, rollout.RollBack, rollout.ReasonAborted),
		Entry("withdrawn", func(in *rollout.Input) { in.Withdrawn = isOneOf("v2") }, rollout.RollBack, rollout.ReasonWithdrawn),
		Entry("errors", func(in *rollout.Input) { in.Reports[0].NewCounts.Errors = 250 }, rollout.RollBack, rollout.ReasonBad),
		Entry("errors, replaced version withdrawn", func(in *rollout.Input) {
			in.Reports[0].NewCounts.Errors = 250
			in.Withdrawn = isOneOf("v1")
		}, rollout.Hold, rollout.ReasonNoFallbackVersion),
		Entry("stopped by a guard", func(in *rollout.Input) {
			in.Reports[0].Stopped, in.Reports[0].Verdict.Bad = true, true
		}, rollout.StopDomain, rollout.ReasonDomainStop),
	)

	DescribeTable("stops a version that becomes bad after the roll-out has finished",
		func(stops int, watched bool, kind rollout.Kind) {
			in := input(rollout.Begin(plan(), start), later)
			in.Row.Phase = rollout.Done
			for i := range stops {
				in.Reports[i].Stopped, in.Reports[i].Verdict.Bad = true, true
			}
			in.WatchVerdict.Bad = watched
			Expect(rollout.Decide(in, rollout.Options{}).Kind).To(Equal(kind))
		},
		Entry("still good", 0, false, rollout.Keep),
		Entry("stopped by a guard in one domain", 1, false, rollout.StopDomain),
		Entry("stopped by guards in two domains", 2, false, rollout.RollBack),
		Entry("found bad by the watch", 0, true, rollout.RollBack),
	)

	It("reports a roll-out as stalled after StallAfter, and writes the row only when the reason changes", func() {
		in := input(rollout.Begin(plan(), start), later)
		in.RaterOut = true
		first := rollout.Decide(in, rollout.Options{})
		Expect(first.Changed).To(BeTrue())
		in.Row, in.Now = first.Row, later.Add(20*time.Minute)
		for i := range in.Reports {
			in.Reports[i].At = in.Now
		}
		second := rollout.Decide(in, rollout.Options{})
		Expect(second.Changed).To(BeFalse())
		Expect(second.Stalled).To(BeTrue())
	})
})

var _ = Describe("ReconcileReports", func() {
	row := rollout.Begin(plan(), start)
	now := start.Add(2 * time.Minute)
	listed := []rollout.Member{{VM: "vm1", Domain: "a"}, {VM: "vm2", Domain: "a"}}

	DescribeTable("distinguishes VMs that are gone from VMs that do not report",
		func(members []rollout.Member, second rollout.Report, kind rollout.Kind, reason rollout.Reason) {
			first := healthyReport("a", row, now)
			first.VM = "vm1"
			reports := []rollout.Report{first}
			if second.VM != "" {
				reports = append(reports, second)
			}
			in := input(row, now)
			in.Reports = rollout.ReconcileReports(reports, members, now)
			decision := rollout.Decide(in, rollout.Options{})
			Expect(decision.Kind).To(Equal(kind))
			Expect(decision.Reason).To(Equal(reason))
		},
		Entry("listed, reports", listed, rollout.Report{VM: "vm2", Domain: "a", At: now, Generation: 1}, rollout.Advance, rollout.ReasonNone),
		Entry("listed, outdated report", listed, rollout.Report{VM: "vm2", Domain: "a", At: start, Generation: 1}, rollout.Hold, rollout.ReasonSilent),
		Entry("listed, never reported", listed, rollout.Report{}, rollout.Hold, rollout.ReasonSilent),
		Entry("not listed, outdated report", listed[:1], rollout.Report{VM: "vm2", Domain: "a", At: start, Generation: 1}, rollout.Advance, rollout.ReasonNone),
		Entry("list not known, outdated report", nil, rollout.Report{VM: "vm2", Domain: "a", At: start, Generation: 1}, rollout.Hold, rollout.ReasonSilent),
	)
})

var _ = Describe("Guard", func() {
	It("stops a failing version within 15 requests and never assigns it again", func() {
		row := rollout.Begin(plan(), start)
		g := rollout.NewGuard(plan(), row, "vm1", "a", rollout.GuardOptions{})
		for range 1000 {
			g.RecordAttempt("v1", false, time.Second)
		}
		requests := 0
		for ; requests < 100; requests++ {
			if _, stopped := g.Stopped(); stopped {
				break
			}
			g.RecordAttempt("v2", true, time.Second)
		}
		Expect(requests).To(BeNumerically("<", 15))
		changed := plan()
		changed.Paused = true
		g.SetPlan(changed)
		row.Generation, row.Phase = 9, rollout.Done
		Expect(g.Install(row)).To(BeTrue())
		Expect(g.Assign("any", nil)).To(Equal(model.VersionID("v1")))
	})
})
