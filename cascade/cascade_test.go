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

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

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

func rated(option int, score float64) cascade.Outcome {
	return cascade.Outcome{Option: option, Asked: true, Rated: true, Score: score, Latency: time.Second, RatingLatency: 100 * time.Millisecond}
}

func unrated(option int) cascade.Outcome {
	return cascade.Outcome{Option: option, Asked: true, Latency: time.Second, RatingLatency: time.Second}
}

var _ = Describe("a request", func() {
	It("holds the cheap answer until it is rated, and goes on to the strong one if it does not pass", func() {
		d := newDecider(cascade.Options{})
		run, step := d.Start(request(), start)
		Expect(step.Kind).To(Equal(cascade.Try))
		Expect(step.Start).To(Equal([]int{0}))
		Expect(step.Stream).To(Equal(cascade.NoOption))
		Expect(step.Rate).To(BeTrue())

		step = d.Next(run, rated(0, 0.4), start.Add(time.Second))
		Expect(step.Kind).To(Equal(cascade.Try))
		Expect(step.Start).To(Equal([]int{1}))
		Expect(step.Stream).To(Equal(1))

		step = d.Next(run, cascade.Outcome{Option: 1}, start.Add(5*time.Second))
		Expect(step.Kind).To(Equal(cascade.Accept))
		Expect(step.Answer).To(Equal(1))
	})

	It("delivers a cheap answer that passes", func() {
		d := newDecider(cascade.Options{})
		run, _ := d.Start(request(), start)
		step := d.Next(run, rated(0, 0.95), start.Add(time.Second))
		Expect(step.Kind).To(Equal(cascade.Accept))
		Expect(step.Answer).To(Equal(0))
	})
})

var _ = Describe("a deadline", func() {
	type want struct {
		kind   cascade.Kind
		start  []int
		reason cascade.Reason
	}
	DescribeTable("decides between one after the other, both at once and the strongest alone",
		func(left time.Duration, cheapCost int64, expected want) {
			d := newDecider(cascade.Options{})
			r := request()
			r.Options[0].Cost = money.Micros(cheapCost)
			r.Deadline = start.Add(left)
			_, step := d.Start(r, start)
			Expect(want{step.Kind, step.Start, step.Reason}).To(Equal(expected))
		},
		Entry("time for both", 10*time.Second, int64(100), want{cascade.Try, []int{0}, cascade.ReasonFirst}),
		Entry("time for one, cheap saves more than it costs", 4500*time.Millisecond, int64(100), want{cascade.Hedge, []int{0, 1}, cascade.ReasonHedge}),
		Entry("time for one, cheap costs more than it saves", 4500*time.Millisecond, int64(700), want{cascade.Try, []int{1}, cascade.ReasonSkipDeadline}),
		Entry("time for the cheap one alone", 2*time.Second, int64(100), want{cascade.Try, []int{0}, cascade.ReasonSkipDeadline}),
	)

	DescribeTable("delivers an answer that does not pass only from the floor on",
		func(score float64, kind cascade.Kind) {
			d := newDecider(cascade.Options{})
			r := request()
			r.Deadline = start.Add(2 * time.Second)
			run, _ := d.Start(r, start)
			Expect(d.Next(run, rated(0, score), start.Add(time.Second)).Kind).To(Equal(kind))
		},
		Entry("above it", 0.6, cascade.Accept),
		Entry("below it", 0.4, cascade.Try),
	)
})

var _ = Describe("a failure of the strongest model", func() {
	It("falls back to the answer that is held, but for one below the floor", func() {
		for score, kind := range map[float64]cascade.Kind{0.6: cascade.Accept, 0.4: cascade.Exhausted} {
			d := newDecider(cascade.Options{})
			run, _ := d.Start(request(), start)
			d.Next(run, rated(0, score), start)
			Expect(d.Next(run, cascade.Outcome{Option: 1, Failed: true}, start).Kind).To(Equal(kind))
		}
	})
})

var _ = Describe("the rating service", func() {
	It("going silent brings the strongest model alone, and coming back ends that", func() {
		var modes []cascade.RaterMode
		d := newDecider(cascade.Options{Hooks: cascade.Hooks{Mode: func(m cascade.RaterMode) { modes = append(modes, m) }}})
		now := start
		for range 200 {
			now = now.Add(time.Second)
			run, step := d.Start(request(), now)
			if step.Start[0] != 0 {
				continue
			}
			step = d.Next(run, unrated(0), now)
			Expect(step.Kind).To(Equal(cascade.Try), "an unrated cheap answer is not delivered")
		}
		Expect(d.Mode()).To(Equal(cascade.RaterOut))
		run, step := d.Start(request(), now)
		Expect(step.Start).To(Equal([]int{1}))
		Expect(step.Reason).To(Equal(cascade.ReasonRaterOut))

		for range 100 {
			d.Learn(run, rated(0, 0.95), now)
		}
		_, step = d.Start(request(), now)
		Expect(step.Start).To(Equal([]int{0}))
		Expect(modes).To(Equal([]cascade.RaterMode{cascade.RaterPartial, cascade.RaterOut, cascade.RaterPartial, cascade.RaterHealthy}))
	})
})
