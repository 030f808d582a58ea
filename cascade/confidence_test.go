package cascade_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/cascade"
)

var byConfidence = cascade.Confidence{Least: 60, LeastLate: 20, Idle: 0.1, Busy: 0.5, StepTime: time.Second}

func weak(confidence int) cascade.Answer {
	return cascade.Answer{Models: 3, Confidence: confidence, RunsLeft: 2, TimeLeft: 9 * time.Second}
}

func TestTheStrongestModelAnswersWhatTheSmallestDoubts(t *testing.T) {
	g := NewWithT(t)
	next, drop := byConfidence.Next(weak(59))
	g.Expect(drop).To(BeTrue())
	g.Expect(next).To(Equal(2))
	_, drop = byConfidence.Next(weak(60))
	g.Expect(drop).To(BeFalse())
	_, drop = byConfidence.Next(weak(-1))
	g.Expect(drop).To(BeFalse())
}

func TestNoStepWithoutARunOrTime(t *testing.T) {
	g := NewWithT(t)
	a := weak(0)
	a.RunsLeft = 0
	_, drop := byConfidence.Next(a)
	g.Expect(drop).To(BeFalse())
	a = weak(0)
	a.TimeLeft = 900 * time.Millisecond
	_, drop = byConfidence.Next(a)
	g.Expect(drop).To(BeFalse())
	a = weak(0)
	a.Model = 2
	_, drop = byConfidence.Next(a)
	g.Expect(drop).To(BeFalse())
}

func TestBusyEnginesMakeFairAnswersGoodEnough(t *testing.T) {
	g := NewWithT(t)
	for _, c := range []struct {
		wait       float64
		confidence int
		drop       bool
	}{{0.1, 59, true}, {0.3, 41, false}, {0.3, 39, true}, {0.5, 21, false}, {9, 19, true}} {
		a := weak(c.confidence)
		a.Wait = c.wait
		_, drop := byConfidence.Next(a)
		g.Expect(drop).To(Equal(c.drop), "%v", c)
	}
}

func TestTheStrongestModelIsFirstWhereNoOtherFollows(t *testing.T) {
	g := NewWithT(t)
	g.Expect(byConfidence.First(3, 3, true)).To(Equal(0))
	g.Expect(byConfidence.First(3, 1, true)).To(Equal(2))
	g.Expect(byConfidence.First(3, 3, false)).To(Equal(2))
}
