package cascade_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/poplarshore/poplarshore/cascade"
	"github.com/poplarshore/poplarshore/contract"
	"github.com/poplarshore/poplarshore/money"
)

// drawRequest draws a request for a cascade of one to four models.
func drawRequest(t *rapid.T) cascade.Request {
	r := cascade.Request{
		Contract: contract.ID(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "contract"))),
		Class:    cascade.Class(fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "class"))),
		Target:   rapid.SampledFrom([]float64{0, 0.5, 0.9}).Draw(t, "target"),
		Floor:    rapid.SampledFrom([]float64{0, 0.5}).Draw(t, "floor"),
		Deadline: startTime.Add(rapid.SampledFrom([]time.Duration{time.Second, 5 * time.Second, time.Hour}).Draw(t, "deadline")),
	}
	for i := range rapid.IntRange(1, 4).Draw(t, "options") {
		r.Options = append(r.Options, cascade.Option{
			Model: []cascade.Option{{Model: "a"}, {Model: "b"}, {Model: "c"}, {Model: "d"}}[i].Model,
			Cost:  money.Micros(100 << (2 * i)), Latency: time.Duration(i+1) * time.Second, Quality: 0.5 + 0.1*float64(i),
		})
	}
	return r
}

// drawOutcome draws the outcome of an attempt, including invalid scores.
func drawOutcome(t *rapid.T, option int) cascade.Outcome {
	return cascade.Outcome{
		Option:          option,
		Failed:          rapid.IntRange(0, 5).Draw(t, "failed") == 0,
		RatingRequested: true,
		Rated:           rapid.Bool().Draw(t, "rated"),
		Score:           rapid.SampledFrom([]float64{-1, 0, 0.3, 0.6, 0.95, 1, 7}).Draw(t, "score"),
		Latency:         time.Duration(rapid.IntRange(0, 9).Draw(t, "seconds")) * time.Second,
	}
}

// simulate runs one request with outcomes drawn in random order and checks that
// only permitted answers reach the caller.
func simulate(t *rapid.T, d *cascade.Decider, r cascade.Request) {
	now := startTime
	run, step := d.Start(r, now)
	last := len(r.Options) - 1
	inFlight := map[int]bool{}
	ended := map[int]cascade.Outcome{}
	for range 2*len(r.Options) + 2 {
		switch step.Kind {
		case cascade.Accept:
			o, ok := ended[step.Answer]
			if !ok || o.Failed {
				t.Fatalf("accepted option %d, which has no complete answer", step.Answer)
			}
			rated := o.Rated && o.Score >= 0 && o.Score <= 1
			if r.Target > 0 && step.Answer != last && !rated {
				t.Fatalf("accepted the unrated answer of option %d with reason %s", step.Answer, step.Reason)
			}
			return
		case cascade.Exhausted:
			if len(inFlight) > 0 {
				t.Fatalf("request exhausted with attempts in flight")
			}
			return
		}
		for _, i := range step.Start {
			if _, alreadyEnded := ended[i]; alreadyEnded || inFlight[i] {
				t.Fatalf("option %d started twice", i)
			}
			inFlight[i] = true
		}
		if step.Stream != cascade.NoOption && step.Stream != last && r.Target > 0 {
			t.Fatalf("option %d may stream before it is rated", step.Stream)
		}
		var pending []int
		for i := range r.Options {
			if inFlight[i] {
				pending = append(pending, i)
			}
		}
		if len(pending) == 0 {
			t.Fatalf("no attempt in flight after step %s", step.Kind)
		}
		o := drawOutcome(t, rapid.SampledFrom(pending).Draw(t, "ends"))
		delete(inFlight, o.Option)
		ended[o.Option] = o
		now = now.Add(o.Latency)
		step = d.Next(run, o, now)
	}
	t.Fatalf("request not finished after %d steps", 2*len(r.Options)+2)
}

var _ = Describe("any sequence of outcomes", func() {
	It("ends with one complete answer that was rated or is the strongest option's, or with no answer", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			d := cascade.New(cascade.Options{Rand: rand.New(rand.NewPCG(3, 4)), MaxContracts: 2, MaxClasses: 3})
			for range 20 {
				simulate(t, d, drawRequest(t))
			}
			for i := range 3 {
				if s, ok := d.Snapshot(contract.ID(fmt.Sprint(i))); ok && s.Classes > 4 {
					t.Fatalf("contract %d has %d classes", i, s.Classes)
				}
			}
		})
	})
})

// serveRequest runs one request in which the cheap answer scores at least 0.85
// with probability passProbability, and returns the delivered score.
func serveRequest(d *cascade.Decider, r *rand.Rand, req cascade.Request, passProbability float64, now time.Time) float64 {
	score := []float64{0.3 + 0.3*r.Float64(), 0.85 + 0.1*r.Float64()}
	if r.Float64() < passProbability {
		score[0] = 0.85 + 0.1*r.Float64()
	}
	run, step := d.Start(req, now)
	if step.Shadow != cascade.NoOption {
		d.Observe(run, ratedOutcome(step.Shadow, score[step.Shadow]), now)
	}
	for step.Kind != cascade.Accept {
		step = d.Next(run, ratedOutcome(step.Start[0], score[step.Start[0]]), now)
	}
	if step.Audit {
		d.Audit(run, true, score[step.Answer], time.Millisecond, now)
	}
	return score[step.Answer]
}

var _ = Describe("the control loop", func() {
	It("converges to the target mean score, also after the cheap model gets worse", func() {
		d := newDecider(cascade.Options{})
		r := rand.New(rand.NewPCG(5, 6))
		for _, passProbability := range []float64{0.7, 0.4} {
			sum, n := 0.0, 0.0
			for i := range 9000 {
				score := serveRequest(d, r, request(), passProbability, startTime.Add(time.Duration(i)*time.Second))
				if i >= 3000 {
					sum, n = sum+score, n+1
				}
			}
			Expect(sum/n).To(BeNumerically("~", 0.802, 0.01), "pass probability %v", passProbability)
		}
	})

	It("skips the cheap model while it is not cost-effective and tries it again once it is", func() {
		d := newDecider(cascade.Options{ExploreShare: 0.05})
		r := rand.New(rand.NewPCG(7, 8))
		req := request()
		req.Target = 0.89
		req.Options[0].Cost = 300
		countCheapStarts := func(n int, passProbability float64) (cheap int) {
			for i := range n {
				if _, step := d.Start(req, startTime.Add(time.Duration(i)*time.Second)); step.Start[0] == 0 {
					cheap++
				}
				serveRequest(d, r, req, passProbability, startTime.Add(time.Duration(i)*time.Second))
			}
			return cheap
		}
		countCheapStarts(2000, 0.02)
		Expect(countCheapStarts(200, 0.02)).To(BeNumerically("<", 10))
		countCheapStarts(8000, 0.95)
		Expect(countCheapStarts(200, 0.95)).To(BeNumerically(">", 190))
	})
})
