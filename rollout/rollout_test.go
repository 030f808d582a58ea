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

func good(n int64) rollout.Counts {
	return rollout.Counts{Requests: n, Rated: n / 5, RatingSum: 0.9 * float64(n/5)}
}

// report returns a healthy report for the step in force.
func report(d domain.ID, row rollout.Progress, now time.Time) rollout.Report {
	return rollout.Report{Domain: d, At: now, Generation: row.Generation, Fresh: good(500), Old: good(5000)}
}

func input(row rollout.Progress, now time.Time) rollout.Input {
	return rollout.Input{
		Plan: plan(), Row: row, Now: now,
		Domains: []domain.ID{"a", "b", "c"},
		Reports: []rollout.Report{report("a", row, now), report("b", row, now), report("c", row, now)},
	}
}

func only(versions ...model.VersionID) func(model.VersionID) bool {
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

	It("goes from step to step to the end on healthy reports, and keeps the row there", func() {
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

	DescribeTable("does not take silence for health",
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
		Entry("no domain known", func(in *rollout.Input) { in.Domains, in.Plan.Steps[0].Domains = nil, nil }, rollout.Hold, rollout.ReasonSilent),
		Entry("old report", func(in *rollout.Input) { in.Reports[0].At = start }, rollout.Hold, rollout.ReasonSilent),
		Entry("VM behind", func(in *rollout.Input) { in.Reports[0].Generation = 0 }, rollout.Hold, rollout.ReasonSilent),
		Entry("loading", func(in *rollout.Input) { in.Reports[0].Loading = true }, rollout.Hold, rollout.ReasonLoading),
		Entry("rater out", func(in *rollout.Input) { in.RaterOut = true }, rollout.Hold, rollout.ReasonRaterOut),
		Entry("rater out for most VMs", func(in *rollout.Input) {
			in.Reports[0].RaterOut, in.Reports[1].RaterOut = true, true
		}, rollout.Hold, rollout.ReasonRaterOut),
		Entry("no ratings", func(in *rollout.Input) {
			for i := range in.Reports {
				in.Reports[i].Fresh.Rated, in.Reports[i].Fresh.RatingSum = 0, 0
			}
		}, rollout.Hold, rollout.ReasonRatings),
		Entry("aborted", func(in *rollout.Input) { in.Plan.Aborted = true }, rollout.RollBack, rollout.ReasonAborted),
		Entry("withdrawn", func(in *rollout.Input) { in.Withdrawn = only("v2") }, rollout.RollBack, rollout.ReasonWithdrawn),
		Entry("errors", func(in *rollout.Input) { in.Reports[0].Fresh.Errors = 250 }, rollout.RollBack, rollout.ReasonBad),
		Entry("errors in the whole, no way back", func(in *rollout.Input) {
			in.Reports[0].Fresh.Errors = 250
			in.Withdrawn = only("v1")
		}, rollout.Hold, rollout.ReasonNoWayBack),
		Entry("a guard's stop", func(in *rollout.Input) {
			in.Reports[0].Stopped, in.Reports[0].Verdict.Bad = true, true
		}, rollout.StopDomain, rollout.ReasonDomainStop),
	)

	DescribeTable("stops a version that turned bad after the end",
		func(stops int, watched bool, kind rollout.Kind) {
			in := input(rollout.Begin(plan(), start), later)
			in.Row.Phase = rollout.Done
			for i := range stops {
				in.Reports[i].Stopped, in.Reports[i].Verdict.Bad = true, true
			}
			in.Watched.Bad = watched
			Expect(rollout.Decide(in, rollout.Options{}).Kind).To(Equal(kind))
		},
		Entry("still good", 0, false, rollout.Keep),
		Entry("one domain's VM", 1, false, rollout.StopDomain),
		Entry("two domains' VMs", 2, false, rollout.RollBack),
		Entry("by all evidence", 0, true, rollout.RollBack),
	)

	It("tells of a stalled roll-out after a while, and writes the row only when the reason changes", func() {
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

var _ = Describe("Complete", func() {
	row := rollout.Begin(plan(), start)
	now := start.Add(2 * time.Minute)
	listed := []rollout.Member{{VM: "vm1", Domain: "a"}, {VM: "vm2", Domain: "a"}}

	DescribeTable("tells VMs that have gone from those that are silent",
		func(members []rollout.Member, second rollout.Report, kind rollout.Kind, reason rollout.Reason) {
			first := report("a", row, now)
			first.VM = "vm1"
			reports := []rollout.Report{first}
			if second.VM != "" {
				reports = append(reports, second)
			}
			in := input(row, now)
			in.Reports = rollout.Complete(reports, members, now)
			decision := rollout.Decide(in, rollout.Options{})
			Expect(decision.Kind).To(Equal(kind))
			Expect(decision.Reason).To(Equal(reason))
		},
		Entry("listed, reports", listed, rollout.Report{VM: "vm2", Domain: "a", At: now, Generation: 1}, rollout.Advance, rollout.ReasonNone),
		Entry("listed, silent", listed, rollout.Report{VM: "vm2", Domain: "a", At: start, Generation: 1}, rollout.Hold, rollout.ReasonSilent),
		Entry("listed, never reported", listed, rollout.Report{}, rollout.Hold, rollout.ReasonSilent),
		Entry("not listed, silent", listed[:1], rollout.Report{VM: "vm2", Domain: "a", At: start, Generation: 1}, rollout.Advance, rollout.ReasonNone),
		Entry("no list, silent", nil, rollout.Report{VM: "vm2", Domain: "a", At: start, Generation: 1}, rollout.Hold, rollout.ReasonSilent),
	)
})

var _ = Describe("Guard", func() {
	It("stops a version that fails within a few requests and never gives it out again", func() {
		row := rollout.Begin(plan(), start)
		g := rollout.NewGuard(plan(), row, "vm1", "a", rollout.GuardOptions{})
		for range 1000 {
			g.Ended("v1", false, time.Second)
		}
		requests := 0
		for ; requests < 100; requests++ {
			if _, stopped := g.Stopped(); stopped {
				break
			}
			g.Ended("v2", true, time.Second)
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
