package cascade_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/poplarshore/poplarshore/cascade"
)

// The cheap model's answer is rated 0.55, which is below the threshold, so the
// strong model answers.
func ExampleDecider() {
	decider := cascade.New(cascade.Options{Rand: rand.New(rand.NewPCG(1, 2))})
	now := time.Date(2030, 1, 1, 12, 0, 0, 0, time.UTC)
	run, step := decider.Start(cascade.Request{
		Contract: "works",
		Class:    cascade.ClassOf("plan", 900),
		Target:   0.88,
		Deadline: now.Add(30 * time.Second),
		Options: []cascade.Option{
			{Model: "cheap", Cost: 1_000, Latency: time.Second, Quality: 0.8},
			{Model: "strong", Cost: 10_000, Latency: 4 * time.Second, Quality: 0.9},
		},
	}, now)
	fmt.Println(step.Kind, step.Start, step.Reason, "rate:", step.Rate)

	step = decider.Next(run, cascade.Outcome{Option: 0, RatingRequested: true, Rated: true, Score: 0.55, Latency: time.Second}, now.Add(time.Second))
	fmt.Println(step.Kind, step.Start, step.Reason, "stream:", step.Stream)

	step = decider.Next(run, cascade.Outcome{Option: 1, Latency: 4 * time.Second}, now.Add(5*time.Second))
	fmt.Println(step.Kind, step.Answer, step.Reason)
	// Output:
	// try [0] first rate: true
	// try [1] below stream: 1
	// accept 1 strongest
}
