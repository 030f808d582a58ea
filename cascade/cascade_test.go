package cascade_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/cascade"
)

func TestCascade(t *testing.T) {
	RegisterFailHandler(Fail)
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
