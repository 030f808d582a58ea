package shift_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/poplarshore/poplarshore/rollout"
	"github.com/poplarshore/poplarshore/rollout/shift"
)

var order = shift.Order{ID: 7, Service: "models", To: "v2", Duration: 24 * time.Second}

func observations(n, errors int64) shift.Observations {
	return shift.Observations{Answers: rollout.Counts{Requests: n, Errors: errors}, Paced: rollout.Counts{Requests: n}}
}

func healthyEvidence(n int64) shift.Evidence {
	return shift.Evidence{
		New: observations(n, 0), Old: observations(50, 1),
	}
}

func TestNoSessionMovesInFirstHalfOfDuration(t *testing.T) {
	g := NewWithT(t)
	plan := shift.DefaultPlan()
	s := shift.Begin(order, 0)
	next, changed := plan.Next(s, 12*time.Second, healthyEvidence(100))
	g.Expect(changed).To(BeFalse())
	g.Expect(plan.GetsNewVersion(next, 0)).To(BeFalse())
}

func TestGoodVersionCompletesBeforeDeadline(t *testing.T) {
	g := NewWithT(t)
	plan := shift.DefaultPlan()
	s := shift.Begin(order, 0)
	for now := time.Duration(0); now < order.Duration; now += 100 * time.Millisecond {
		s, _ = plan.Next(s, now, healthyEvidence(20))
	}
	g.Expect(s.Phase).To(Equal(shift.Complete))
}

func TestNoStepAfterFirstWithoutGoodAnswers(t *testing.T) {
	g := NewWithT(t)
	plan := shift.DefaultPlan()
	s := shift.Begin(order, 0)
	for now := time.Duration(0); now < 2*order.Duration; now += 100 * time.Millisecond {
		s, _ = plan.Next(s, now, shift.Evidence{Old: observations(100, 0)})
		g.Expect(s.Step).To(BeNumerically("<=", 1))
	}
	g.Expect(s.Phase).To(Equal(shift.Reverted))
}

func TestFailingVersionIsRevertedAfterFewAnswers(t *testing.T) {
	g := NewWithT(t)
	plan := shift.DefaultPlan()
	s := shift.Begin(order, 0)
	s.Step = 1
	bad := shift.Evidence{New: observations(16, 7), Old: observations(100, 2)}
	next, changed := plan.Next(s, 14*time.Second, bad)
	g.Expect(changed).To(BeTrue())
	g.Expect(next.Phase).To(Equal(shift.Reverted))
	g.Expect(plan.GetsNewVersion(next, 0)).To(BeFalse())
}

func TestSlowVersionIsRevertedWithoutErrors(t *testing.T) {
	g := NewWithT(t)
	plan := shift.DefaultPlan()
	s := shift.Begin(order, 0)
	s.Step = 1
	slow := shift.Evidence{New: observations(40, 0), Old: observations(100, 0)}
	// The speed of 10 of the 40 answers is known.
	slow.New.Paced = rollout.Counts{Requests: 10, Slow: 6}
	next, _ := plan.Next(s, 14*time.Second, slow)
	g.Expect(next.Phase).To(Equal(shift.Reverted))
	g.Expect(next.Verdict.Metric).To(Equal(rollout.MetricSlow))
}

// atDeadline returns the state after all ticks of a shift that had the same evidence from
// its first step on.
func atDeadline(e shift.Evidence) shift.State {
	plan := shift.DefaultPlan()
	s := shift.Begin(order, 0)
	for now := time.Duration(0); now <= order.Duration; now += 100 * time.Millisecond {
		s, _ = plan.Next(s, now, e)
	}
	return s
}

// Two good answers among as many failures don't show that a version is good.
func TestFailingVersionWithFewAnswersIsNotCompleted(t *testing.T) {
	g := NewWithT(t)
	var e shift.Evidence
	e.New = shift.Observations{Answers: rollout.Counts{Requests: 9, Errors: 4}, Paced: rollout.Counts{Requests: 5}}
	e.Old = shift.Observations{Answers: rollout.Counts{Requests: 52, Errors: 9}, Paced: rollout.Counts{Requests: 43}}
	g.Expect(atDeadline(e).Phase).NotTo(Equal(shift.Complete))
}

// An absence of failures among a few answers doesn't show that a version is good.
func TestVersionWithTwoAnswersIsNotCompleted(t *testing.T) {
	g := NewWithT(t)
	g.Expect(atDeadline(healthyEvidence(2)).Phase).NotTo(Equal(shift.Complete))
}

func TestSlowVersionWithFewAnswersIsNotCompleted(t *testing.T) {
	g := NewWithT(t)
	var e shift.Evidence
	e.New = shift.Observations{Answers: rollout.Counts{Requests: 14}, Paced: rollout.Counts{Requests: 9, Slow: 4}}
	e.Old = shift.Observations{Answers: rollout.Counts{Requests: 382}, Paced: rollout.Counts{Requests: 162, Slow: 36}}
	g.Expect(atDeadline(e).Phase).NotTo(Equal(shift.Complete))
}

// A version that is bad under load only must carry all sessions for some time before it
// is complete.
func TestLateStepIsNotFollowedByCompletionAtOnce(t *testing.T) {
	g := NewWithT(t)
	plan := shift.DefaultPlan()
	s := shift.Begin(order, 0)
	s.Step = 1
	deadline := order.Duration
	s, _ = plan.Next(s, deadline-950*time.Millisecond, healthyEvidence(30))
	g.Expect(plan.Share(s)).To(Equal(1.0))
	s, _ = plan.Next(s, deadline-750*time.Millisecond, healthyEvidence(32))
	g.Expect(s.Phase).To(Equal(shift.Active))
	s, _ = plan.Next(s, deadline-680*time.Millisecond, healthyEvidence(40))
	g.Expect(s.Phase).To(Equal(shift.Complete))
}

// Operators must see that the version is rolled back when the deadline passes.
func TestUnprovenVersionIsRevertedBeforeDeadline(t *testing.T) {
	g := NewWithT(t)
	plan := shift.DefaultPlan()
	s := shift.Begin(order, 0)
	for now := time.Duration(0); now <= order.Duration-500*time.Millisecond; now += 100 * time.Millisecond {
		s, _ = plan.Next(s, now, healthyEvidence(4))
	}
	g.Expect(s.Phase).To(Equal(shift.Reverted))
	g.Expect(s.Verdict.Bad).To(BeFalse())
}

// TestShareNeverShrinksExceptOnRevert uses random evidence. The share must never
// decrease except to zero on a revert, and the state must not change after the shift
// has ended.
func TestShareNeverShrinksExceptOnRevert(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		plan := shift.DefaultPlan()
		s := shift.Begin(order, 0)
		now := time.Duration(0)
		for range 60 {
			now += time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(rt, "pause"))
			requests := rapid.Int64Range(0, 40).Draw(rt, "requests")
			newVersion := observations(requests, rapid.Int64Range(0, requests).Draw(rt, "errors"))
			next, changed := plan.Next(s, now, shift.Evidence{
				New: newVersion, Old: observations(60, 1),
			})
			if s.Ended() && changed {
				rt.Fatalf("state %v after the shift ended with %v", next, s)
			}
			if next.Phase != shift.Reverted && plan.Share(next) < plan.Share(s) {
				rt.Fatalf("share decreased from %v to %v", s, next)
			}
			s = next
		}
	})
}

// TestDefaultPlanKeepsExposureWithinBound simulates a complete shift to a version that
// is never found bad, such as one that fails only under load. The requests that it gets
// between the order and the deadline must stay within the users' bound.
func TestDefaultPlanKeepsExposureWithinBound(t *testing.T) {
	g := NewWithT(t)
	const (
		requestsPerSecond     = 75.0
		exposureShare         = 0.15
		exposureSlackRequests = 30.0
		tick                  = 50 * time.Millisecond
	)
	shortOrder := order
	shortOrder.Duration = 12 * time.Second
	plan := shift.DefaultPlan()
	s := shift.Begin(shortOrder, 0)
	exposedRequests := 0.0
	for now := time.Duration(0); now < shortOrder.Duration; now += tick {
		s, _ = plan.Next(s, now, healthyEvidence(20))
		exposedRequests += plan.Share(s) * requestsPerSecond * tick.Seconds()
	}
	g.Expect(exposedRequests).To(BeNumerically("<=", exposureShare*requestsPerSecond*shortOrder.Duration.Seconds()+exposureSlackRequests))
}

// TestPlanWithinKeepsExposureWithinBound uses random bounds and durations. A version
// that is never found bad must stay within the bound, and the shift must complete.
func TestPlanWithinKeepsExposureWithinBound(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const tick = 20 * time.Millisecond
		maxExposure := rapid.Float64Range(0.08, 0.4).Draw(rt, "bound")
		o := order
		o.Duration = time.Duration(rapid.Int64Range(12, 60).Draw(rt, "seconds")) * time.Second
		plan := shift.PlanWithin(shift.Exposure{Share: maxExposure})
		s := shift.Begin(o, 0)
		exposedFraction := 0.0
		for now := time.Duration(0); now < o.Duration; now += tick {
			s, _ = plan.Next(s, now, healthyEvidence(20))
			exposedFraction += plan.Share(s) * tick.Seconds() / o.Duration.Seconds()
		}
		if exposedFraction > maxExposure {
			rt.Fatalf("%.3f of the requests went to the new version, want at most %.3f", exposedFraction, maxExposure)
		}
		if s.Phase != shift.Complete {
			rt.Fatalf("shift not complete at the deadline: %v", s)
		}
	})
}

// TestPlanKeepsExposureWithinBoundAtAnyRate uses random bounds, durations and request
// rates. A version that is never found bad gets no more than the share of all requests
// plus the slack, and more than without the slack, which shows sooner what it is worth.
func TestPlanKeepsExposureWithinBoundAtAnyRate(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		bound := shift.Exposure{
			Share: rapid.Float64Range(0.08, 0.4).Draw(rt, "share"), Slack: rapid.Float64Range(5, 60).Draw(rt, "slack"),
		}
		rate := rapid.Float64Range(1, 2000).Draw(rt, "rate")
		o := order
		o.Duration = time.Duration(rapid.Int64Range(12, 60).Draw(rt, "seconds")) * time.Second
		exposed := func(x shift.Exposure) float64 {
			const tick = 20 * time.Millisecond
			plan, s, requests := shift.PlanWithin(x), shift.Begin(o, 0), 0.0
			e := healthyEvidence(30)
			e.RequestRate = rate
			for now := time.Duration(0); now < o.Duration; now += tick {
				s, _ = plan.Next(s, now, e)
				requests += plan.Share(s) * rate * tick.Seconds()
			}
			if s.Phase != shift.Complete {
				rt.Fatalf("shift not complete at the deadline: %v", s)
			}
			return requests
		}
		all := rate * o.Duration.Seconds()
		if got := exposed(bound); got > bound.Share*all+bound.Slack {
			rt.Fatalf("%.0f of %.0f requests went to the new version, bound %v", got, all, bound)
		}
		if with, without := exposed(bound), exposed(shift.Exposure{Share: bound.Share}); with < without {
			rt.Fatalf("%.0f requests went to the new version with the slack, %.0f without", with, without)
		}
	})
}
