package route_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/route"
)

func endCost(c route.Candidate) float64 {
	r := route.Request{TimeLeft: 10 * time.Second, MaxPause: time.Second, FastestAnswer: 2 * time.Second}
	return route.DefaultEndScorer().Score(&r, nil, &c)
}

// TestEndScorerCostsGrowTowardsDeadlineAndPause guards against upstreams that are chosen for a
// quick first event although the answer would be cut at its deadline.
func TestEndScorerCostsGrowTowardsDeadlineAndPause(t *testing.T) {
	g := NewWithT(t)
	g.Expect(endCost(route.Candidate{})).To(BeZero(), "nothing is known")
	g.Expect(endCost(route.Candidate{AnswerTime: 2 * time.Second, AnswerEnd: 3 * time.Second, EventGap: 50 * time.Millisecond})).To(BeZero())
	longer := endCost(route.Candidate{AnswerTime: 3 * time.Second, AnswerEnd: 4 * time.Second, EventGap: 75 * time.Millisecond})
	g.Expect(longer).To(BeNumerically("~", 0.5, 0.01))
	near := endCost(route.Candidate{AnswerTime: 8 * time.Second, AnswerEnd: 9 * time.Second, EventGap: 200 * time.Millisecond})
	over := endCost(route.Candidate{AnswerTime: 12 * time.Second, AnswerEnd: 13 * time.Second, EventGap: 200 * time.Millisecond})
	g.Expect(near).To(BeNumerically(">", longer+3))
	g.Expect(over).To(BeNumerically(">", near+3))
	paused := endCost(route.Candidate{AnswerTime: 2 * time.Second, AnswerEnd: 3 * time.Second, EventGap: 900 * time.Millisecond})
	g.Expect(paused).To(BeNumerically(">", 1))
	g.Expect(endCost(route.Candidate{AnswerEnd: time.Hour, AnswerTime: time.Hour, EventGap: time.Hour})).To(BeNumerically("<", 2000))
}

func TestMemoryScorerKeepsRequestsFromFullMemory(t *testing.T) {
	g := NewWithT(t)
	score := func(use float64) float64 {
		return route.DefaultMemoryScorer().Score(&route.Request{}, nil, &route.Candidate{MemoryUse: use})
	}
	g.Expect(score(0)).To(BeZero())
	g.Expect(score(0.8)).To(BeZero())
	g.Expect(score(1)).To(BeNumerically("~", 5, 0.01))
	g.Expect(score(1.5)).To(BeNumerically(">", score(1)))
}
