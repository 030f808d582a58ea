package cascade_test

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/cascade"
	"github.com/poplarshore/poplarshore/money"
)

func TestCascade(t *testing.T) {
	RegisterFailHandler(Fail)
	Expect(flag.Set("rapid.seed", "1")).To(Succeed())
	RunSpecs(t, "cascade")
}

var startTime = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func newDecider(o cascade.Options) *cascade.Decider {
	o.Rand = rand.New(rand.NewPCG(1, 2))
	return cascade.New(o)
}

func request() cascade.Request {
	return cascade.Request{
		Contract: "works", Class: "plan/1", Target: 0.8, Floor: 0.5,
		Options: []cascade.Option{
			{Model: "cheap", Cost: 100, Latency: time.Second, Quality: 0.8},
			{Model: "strong", Cost: 1000, Latency: 4 * time.Second, Quality: 0.9},
		},
	}
}

func ratedOutcome(option int, score float64) cascade.Outcome {
	return cascade.Outcome{Option: option, RatingRequested: true, Rated: true, Score: score, Latency: time.Second, RatingLatency: 100 * time.Millisecond}
}

func unratedOutcome(option int) cascade.Outcome {
	return cascade.Outcome{Option: option, RatingRequested: true, Latency: time.Second, RatingLatency: time.Second}
}

var _ = Describe("a request", func() {
	It("buffers the cheap answer until it is rated and starts the strong option if the score is below the threshold", func() {
		d := newDecider(cascade.Options{})
		run, step := d.Start(request(), startTime)
		Expect(step.Kind).To(Equal(cascade.Try))
		Expect(step.Start).To(Equal([]int{0}))
		Expect(step.Stream).To(Equal(cascade.NoOption))
		Expect(step.Rate).To(BeTrue())

		step = d.Next(run, ratedOutcome(0, 0.4), startTime.Add(time.Second))
		Expect(step.Kind).To(Equal(cascade.Try))
		Expect(step.Start).To(Equal([]int{1}))
		Expect(step.Stream).To(Equal(1))

		step = d.Next(run, cascade.Outcome{Option: 1}, startTime.Add(5*time.Second))
		Expect(step.Kind).To(Equal(cascade.Accept))
		Expect(step.Answer).To(Equal(1))
	})

	It("delivers a cheap answer whose score reaches the threshold", func() {
		d := newDecider(cascade.Options{})
		run, _ := d.Start(request(), startTime)
		step := d.Next(run, ratedOutcome(0, 0.95), startTime.Add(time.Second))
		Expect(step.Kind).To(Equal(cascade.Accept))
		Expect(step.Answer).To(Equal(0))
	})
})

var _ = Describe("a deadline", func() {
	type stepSummary struct {
		kind   cascade.Kind
		start  []int
		reason cascade.Reason
	}
	DescribeTable("determines whether options run one after the other, in parallel, or only one of them runs",
		func(timeToDeadline time.Duration, cheapCost int64, expected stepSummary) {
			d := newDecider(cascade.Options{})
			r := request()
			r.Options[0].Cost = money.Micros(cheapCost)
			r.Deadline = startTime.Add(timeToDeadline)
			_, step := d.Start(r, startTime)
			Expect(stepSummary{step.Kind, step.Start, step.Reason}).To(Equal(expected))
		},
		Entry("time for both in sequence", 10*time.Second, int64(100), stepSummary{cascade.Try, []int{0}, cascade.ReasonFirst}),
		Entry("time for one, hedging saves more than the cheap option costs", 4500*time.Millisecond, int64(100), stepSummary{cascade.Hedge, []int{0, 1}, cascade.ReasonHedge}),
		Entry("time for one, hedging saves less than the cheap option costs", 4500*time.Millisecond, int64(700), stepSummary{cascade.Try, []int{1}, cascade.ReasonSkipDeadline}),
		Entry("time for the cheap option only", 2*time.Second, int64(100), stepSummary{cascade.Try, []int{0}, cascade.ReasonSkipDeadline}),
	)

	DescribeTable("lets an answer below the threshold be delivered only if it reaches the floor",
		func(score float64, kind cascade.Kind) {
			d := newDecider(cascade.Options{})
			r := request()
			r.Deadline = startTime.Add(2 * time.Second)
			run, _ := d.Start(r, startTime)
			Expect(d.Next(run, ratedOutcome(0, score), startTime.Add(time.Second)).Kind).To(Equal(kind))
		},
		Entry("above the floor", 0.6, cascade.Accept),
		Entry("below the floor", 0.4, cascade.Try),
	)
})

var _ = Describe("a failure of the strongest model", func() {
	It("falls back to the buffered answer unless it is below the floor", func() {
		for score, kind := range map[float64]cascade.Kind{0.6: cascade.Accept, 0.4: cascade.Exhausted} {
			d := newDecider(cascade.Options{})
			run, _ := d.Start(request(), startTime)
			d.Next(run, ratedOutcome(0, score), startTime)
			Expect(d.Next(run, cascade.Outcome{Option: 1, Failed: true}, startTime).Kind).To(Equal(kind))
		}
	})
})

var _ = Describe("the rating service", func() {
	It("causes safe mode when it stops rating and ends it when ratings resume", func() {
		var modes []cascade.RaterMode
		d := newDecider(cascade.Options{Hooks: cascade.Hooks{Mode: func(m cascade.RaterMode) { modes = append(modes, m) }}})
		now := startTime
		for range 200 {
			now = now.Add(time.Second)
			run, step := d.Start(request(), now)
			if step.Start[0] != 0 {
				continue
			}
			step = d.Next(run, unratedOutcome(0), now)
			Expect(step.Kind).To(Equal(cascade.Try), "an unrated cheap answer must not be delivered")
		}
		Expect(d.Mode()).To(Equal(cascade.RaterUnavailable))
		run, step := d.Start(request(), now)
		Expect(step.Start).To(Equal([]int{1}))
		Expect(step.Reason).To(Equal(cascade.ReasonRaterUnavailable))

		for range 100 {
			d.Observe(run, ratedOutcome(0, 0.95), now)
		}
		_, step = d.Start(request(), now)
		Expect(step.Start).To(Equal([]int{0}))
		Expect(modes).To(Equal([]cascade.RaterMode{cascade.RaterPartial, cascade.RaterUnavailable, cascade.RaterPartial, cascade.RaterHealthy}))
	})
})
