package cascade_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/cascade"
)

var policy = cascade.ConfidencePolicy{
	MinConfidence: 60, MinConfidenceLate: 20, NextModelConfidence: 50,
	IdleWait: 0.1, BusyWait: 0.5, LatestStart: 0.9, StepTime: time.Second, LatestEnd: 0.8}

// smallestAnswer returns an answer of the smallest of three models with idle
// engines and enough runs and time for two further steps.
func smallestAnswer(confidence int) cascade.Answer {
	return cascade.Answer{Models: 3, Confidence: confidence, RunsLeft: 2, TimeLeft: 9 * time.Second}
}

func TestConfidenceNextSelectsStrongestModelOnLowConfidence(t *testing.T) {
	g := NewWithT(t)
	next, drop := policy.Next(smallestAnswer(49))
	g.Expect(drop).To(BeTrue())
	g.Expect(next).To(Equal(2))
	_, drop = policy.Next(smallestAnswer(60))
	g.Expect(drop).To(BeFalse())
	_, drop = policy.Next(smallestAnswer(-1))
	g.Expect(drop).To(BeFalse())
}

// TestConfidenceNextSelectsNextModelOnFairConfidence also checks that the
// strongest model is selected if no run would be left for it after the next one.
func TestConfidenceNextSelectsNextModelOnFairConfidence(t *testing.T) {
	g := NewWithT(t)
	a := smallestAnswer(59)
	next, drop := policy.Next(a)
	g.Expect(drop).To(BeTrue())
	g.Expect(next).To(Equal(1))
	a.RunsLeft = 1
	next, _ = policy.Next(a)
	g.Expect(next).To(Equal(2))
	a.Model, a.RunsLeft = 1, 1
	next, drop = policy.Next(a)
	g.Expect(drop).To(BeTrue())
	g.Expect(next).To(Equal(2))
}

func TestConfidenceNextDeliversAnswerWithoutRunsTimeOrStrongerModel(t *testing.T) {
	g := NewWithT(t)
	a := smallestAnswer(0)
	a.RunsLeft = 0
	_, drop := policy.Next(a)
	g.Expect(drop).To(BeFalse())
	a = smallestAnswer(0)
	a.TimeLeft = 900 * time.Millisecond
	_, drop = policy.Next(a)
	g.Expect(drop).To(BeFalse())
	a = smallestAnswer(0)
	a.Model = 2
	_, drop = policy.Next(a)
	g.Expect(drop).To(BeFalse())
}

func TestConfidenceNextAcceptsLowerConfidenceWithBusyEngines(t *testing.T) {
	g := NewWithT(t)
	for _, c := range []struct {
		wait       float64
		confidence int
		drop       bool
	}{{0.1, 59, true}, {0.3, 41, false}, {0.3, 39, true}, {0.5, 21, false}, {9, 19, true}} {
		a := smallestAnswer(c.confidence)
		a.Wait = c.wait
		_, drop := policy.Next(a)
		g.Expect(drop).To(Equal(c.drop), "%v", c)
	}
}

func TestConfidenceFirstSelectsStrongestModelWithoutSecondStep(t *testing.T) {
	g := NewWithT(t)
	g.Expect(policy.First(cascade.FirstInput{Models: 3, RunsLeft: 3, SecondRunAllowed: true})).To(Equal(0))
	g.Expect(policy.First(cascade.FirstInput{Models: 3, RunsLeft: 1, SecondRunAllowed: true})).To(Equal(2))
	g.Expect(policy.First(cascade.FirstInput{Models: 3, RunsLeft: 3})).To(Equal(2))
}

// TestConfidencePrefersAnswersThatStartInTime checks that the strongest model is
// tried first if trying the smallest before it would make it late. If it is late
// either way, the smallest is tried first and MinConfidenceLate applies to its answer.
func TestConfidencePrefersAnswersThatStartInTime(t *testing.T) {
	g := NewWithT(t)
	for _, c := range []struct {
		direct, stepped float64
		first           int
	}{{0.5, 0.8, 0}, {0.8, 1, 2}, {1, 1.2, 0}} {
		g.Expect(policy.First(cascade.FirstInput{
			Models: 3, RunsLeft: 3, SecondRunAllowed: true, DirectStart: c.direct, SteppedStart: c.stepped,
		})).To(Equal(c.first), "%v", c)
	}
	a := smallestAnswer(21)
	a.ExpectedStart = 1
	_, drop := policy.Next(a)
	g.Expect(drop).To(BeFalse())
	a.ExpectedStart = 0.8
	_, drop = policy.Next(a)
	g.Expect(drop).To(BeTrue())
}

// TestConfidenceTriesOnlyModelsThatEndInTime guards against weak answers that are dropped for one
// that is cut at the deadline.
func TestConfidenceTriesOnlyModelsThatEndInTime(t *testing.T) {
	g := NewWithT(t)
	for _, c := range []struct {
		confidence int
		ends       cascade.Ends
		next       int
		drop       bool
	}{
		{43, cascade.Ends{Strongest: 0.7, Next: 0.4}, 2, true},
		{43, cascade.Ends{Strongest: 1.4, Next: 0.7}, 1, true},
		{43, cascade.Ends{Strongest: 1.4, Next: 0.9}, 0, false},
		{55, cascade.Ends{Strongest: 1.4, Next: 0.7}, 1, true},
		{55, cascade.Ends{Strongest: 1.4, Next: 0.9}, 0, false},
		{43, cascade.Ends{}, 2, true},
		{43, cascade.Ends{Strongest: 1.4}, 1, true},
	} {
		a := smallestAnswer(c.confidence)
		a.Ends = c.ends
		next, drop := policy.Next(a)
		g.Expect(drop).To(Equal(c.drop), "%+v", c)
		g.Expect(next).To(Equal(c.next), "%+v", c)
	}
	last := smallestAnswer(10)
	last.Model, last.Ends = 1, cascade.Ends{Strongest: 1.4, Next: 1.4}
	_, drop := policy.Next(last)
	g.Expect(drop).To(BeFalse())
	two := smallestAnswer(10)
	two.Models, two.Ends = 2, cascade.Ends{Strongest: 1.4, Next: 1.4}
	_, drop = policy.Next(two)
	g.Expect(drop).To(BeFalse())
}

// TestConfidenceFirstModelEndsInTime covers requests that begin with the strongest model because
// no second one can be tried.
func TestConfidenceFirstModelEndsInTime(t *testing.T) {
	g := NewWithT(t)
	for _, c := range []struct {
		ends  cascade.Ends
		first int
	}{{cascade.Ends{Strongest: 0.8}, 2}, {cascade.Ends{Strongest: 0.9, Next: 0.6}, 1}, {cascade.Ends{Strongest: 2, Next: 0.9}, 0}, {cascade.Ends{}, 2}} {
		g.Expect(policy.First(cascade.FirstInput{Models: 3, RunsLeft: 1, SecondRunAllowed: true, Ends: c.ends})).To(Equal(c.first), "%+v", c)
	}
}
