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

func answers(n, errors int64) shift.Seen {
	return shift.Seen{Answers: rollout.Counts{Requests: n, Errors: errors}, Paced: rollout.Counts{Requests: n}}
}

func good(n int64) shift.Evidence {
	return shift.Evidence{
		Fresh: answers(n, 0), Good: n, Old: answers(50, 1),
	}
}

func TestSessionsStayOnTheOldVersionInTheFirstHalf(t *testing.T) {
	g := NewWithT(t)
	plan := shift.DefaultPlan()
	s := shift.Begin(order, 0)
	next, changed := plan.Next(s, 12*time.Second, good(100))
	g.Expect(changed).To(BeFalse())
	g.Expect(plan.Fresh(next, 0)).To(BeFalse())
}

func TestAGoodVersionCompletesBeforeItsDeadline(t *testing.T) {
	g := NewWithT(t)
	plan := shift.DefaultPlan()
	s := shift.Begin(order, 0)
	for now := time.Duration(0); now < order.Duration; now += 100 * time.Millisecond {
		s, _ = plan.Next(s, now, good(20))
	}
	g.Expect(s.Phase).To(Equal(shift.Complete))
}

func TestSilenceIsNotHealth(t *testing.T) {
	g := NewWithT(t)
	plan := shift.DefaultPlan()
	s := shift.Begin(order, 0)
	for now := time.Duration(0); now < 2*order.Duration; now += 100 * time.Millisecond {
		s, _ = plan.Next(s, now, shift.Evidence{Old: answers(100, 0)})
	}
	g.Expect(s.Phase).To(Equal(shift.Active))
	g.Expect(plan.Share(s)).To(Equal(plan.Steps[0].Share))
}

func TestABadVersionIsRevertedOnFewAnswers(t *testing.T) {
	g := NewWithT(t)
	plan := shift.DefaultPlan()
	s := shift.Begin(order, 0)
	s.Step = 1
	bad := shift.Evidence{Fresh: answers(16, 7), Old: answers(100, 2)}
	next, changed := plan.Next(s, 14*time.Second, bad)
	g.Expect(changed).To(BeTrue())
	g.Expect(next.Phase).To(Equal(shift.Reverted))
	g.Expect(plan.Fresh(next, 0)).To(BeFalse())
}

func TestASlowVersionIsRevertedThoughNoAnswerFails(t *testing.T) {
	g := NewWithT(t)
	plan := shift.DefaultPlan()
	s := shift.Begin(order, 0)
	s.Step = 1
	slow := shift.Evidence{Fresh: answers(40, 0), Old: answers(100, 0)}
	// Of 40 answers 10 showed their pace.
	slow.Fresh.Paced = rollout.Counts{Requests: 10, Slow: 6}
	next, _ := plan.Next(s, 14*time.Second, slow)
	g.Expect(next.Phase).To(Equal(shift.Reverted))
	g.Expect(next.Verdict.Metric).To(Equal(rollout.MetricSlow))
}

// TestPhasesGoOneWay draws evidence at random: a share never falls but to
// nothing at a revert, and nothing follows an end.
func TestPhasesGoOneWay(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		plan := shift.DefaultPlan()
		s := shift.Begin(order, 0)
		now := time.Duration(0)
		for range 60 {
			now += time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(rt, "pause"))
			requests := rapid.Int64Range(0, 40).Draw(rt, "requests")
			fresh := answers(requests, rapid.Int64Range(0, requests).Draw(rt, "errors"))
			next, changed := plan.Next(s, now, shift.Evidence{
				Fresh: fresh, Good: requests - fresh.Bad(), Old: answers(60, 1),
			})
			if s.Ended() && changed {
				rt.Fatalf("%v followed the end %v", next, s)
			}
			if next.Phase != shift.Reverted && plan.Share(next) < plan.Share(s) {
				rt.Fatalf("the share fell from %v to %v", s, next)
			}
			s = next
		}
	})
}

// TestAVersionThatIsNeverFoundBadStaysWithinTheExposureBound plays a whole
// shift of a version that fails only under load: what it gets between the order
// and the deadline must stay within the users' bound.
func TestAVersionThatIsNeverFoundBadStaysWithinTheExposureBound(t *testing.T) {
	g := NewWithT(t)
	const (
		perSecond     = 75.0
		exposureShare = 0.15
		exposureSlack = 30.0
		tick          = 50 * time.Millisecond
	)
	brief := order
	brief.Duration = 12 * time.Second
	plan := shift.DefaultPlan()
	s := shift.Begin(brief, 0)
	exposed := 0.0
	for now := time.Duration(0); now < brief.Duration; now += tick {
		s, _ = plan.Next(s, now, good(20))
		exposed += plan.Share(s) * perSecond * tick.Seconds()
	}
	g.Expect(exposed).To(BeNumerically("<=", exposureShare*perSecond*brief.Duration.Seconds()+exposureSlack))
}

// TestEveryPlanStaysWithinItsExposure draws bounds and times of orders: a
// version that is never found bad stays within the bound, and completes.
func TestEveryPlanStaysWithinItsExposure(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const tick = 20 * time.Millisecond
		bound := rapid.Float64Range(0.08, 0.4).Draw(rt, "bound")
		o := order
		o.Duration = time.Duration(rapid.Int64Range(12, 60).Draw(rt, "seconds")) * time.Second
		plan := shift.PlanWithin(bound)
		s := shift.Begin(o, 0)
		exposed := 0.0
		for now := time.Duration(0); now < o.Duration; now += tick {
			s, _ = plan.Next(s, now, good(20))
			exposed += plan.Share(s) * tick.Seconds() / o.Duration.Seconds()
		}
		if exposed > bound {
			rt.Fatalf("%.3f of the requests went to the new version, %.3f are allowed", exposed, bound)
		}
		if s.Phase != shift.Complete {
			rt.Fatalf("not complete: %v", s)
		}
	})
}
