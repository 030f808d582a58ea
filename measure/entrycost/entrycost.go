// Package entrycost measures what the entry adds to a request: time against
// calling the same engine directly in the same run, tokens streamed a second,
// and memory per open stream.
package entrycost

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/poplarshore/poplarshore/measure/caller"
	"github.com/poplarshore/poplarshore/measure/load"
	"github.com/poplarshore/poplarshore/standin/engine"
)

// Target is the entry and an engine behind it.
type Target struct {
	EntryURL string
	Key      string
	// Model is what callers ask the entry for.
	Model string
	// EngineURL and Version address the engine directly; Version is one that
	// the entry chooses for Model.
	EngineURL string
	Version   engine.VersionRef
	// Models lists the models over which held streams are spread, as a VM bounds
	// the requests in flight for each model. Empty means Model alone.
	Models []string
	// MinTokens and MaxTokens are the engine's bounds on a natural answer.
	MinTokens, MaxTokens int
}

// AddedOptions bound a measurement of the added time.
type AddedOptions struct {
	// Rate is the number of requests per second, half of them direct.
	Rate   float64
	Count  int
	Seed   uint64
	Stream bool
	// MaxInFlight bounds the requests at once.
	MaxInFlight int
}

// Added is the result of Measure: quantiles of both ways and their difference.
type Added struct {
	Direct  load.Quantiles `json:"direct"`
	Entry   load.Quantiles `json:"entry"`
	AddsP50 float64        `json:"adds_p50_us"`
	AddsP99 float64        `json:"adds_p99_us"`
	Report  load.Report    `json:"report"`
}

// Outcomes other than load.Whole.
const (
	broken load.Outcome = "broken"
	wrong  load.Outcome = "wrong"
)

// MeasureAdded sends requests in an open loop, each at random directly to the
// engine or through the entry, and compares the latencies.
func MeasureAdded(ctx context.Context, t Target, o AddedOptions) Added {
	direct, entry := caller.New(t.EngineURL, ""), caller.New(t.EntryURL, t.Key)
	defer direct.Close()
	defer entry.Close()
	ways := ways(o.Seed, o.Count)
	latencies := [2]*load.Histogram{load.NewHistogram(), load.NewHistogram()}
	report := load.Run(ctx, load.Options{Rate: o.Rate, Count: o.Count, MaxInFlight: o.MaxInFlight, Seed: o.Seed},
		func(ctx context.Context, i int) load.Outcome {
			begun := time.Now()
			outcome := t.ask(ctx, direct, entry, ways[i], i, o)
			latencies[ways[i]].Record(time.Since(begun))
			return outcome
		})
	added := Added{Direct: latencies[0].Quantiles(), Entry: latencies[1].Quantiles(), Report: report}
	added.AddsP50 = added.Entry.P50 - added.Direct.P50
	added.AddsP99 = added.Entry.P99 - added.Direct.P99
	return added
}

// ways draws for each request whether it goes directly (0) or by the entry (1).
func ways(seed uint64, count int) []int {
	random := rand.New(rand.NewPCG(seed, 1))
	drawn := make([]int, count)
	for i := range drawn {
		drawn[i] = random.IntN(2)
	}
	return drawn
}

func (t Target) ask(ctx context.Context, direct, entry *caller.Caller, way, i int, o AddedOptions) load.Outcome {
	prompt := fmt.Sprintf("request %d of %d", i, o.Seed)
	question := caller.Question{Model: t.Model, Prompt: prompt, Stream: o.Stream}
	client := entry
	if way == 0 {
		client = direct
		question.Model = t.Version.Model + "@" + t.Version.Version
	}
	answer, err := client.Ask(ctx, question)
	switch {
	case err != nil:
		return broken
	case !engine.IsAnswer(answer.Text, t.Version.Model, t.Version.Version, prompt, t.MinTokens, t.MaxTokens, 0):
		return wrong
	default:
		return load.Whole
	}
}

// Throughput is the result of MeasureThroughput.
type Throughput struct {
	Streams         int     `json:"streams"`
	Answers         int64   `json:"answers"`
	Failed          int64   `json:"failed"`
	Tokens          int64   `json:"tokens"`
	Seconds         float64 `json:"seconds"`
	TokensPerSecond float64 `json:"tokens_per_second"`
}

// MeasureThroughput keeps a number of streams open at once for a duration,
// each followed by the next, and counts the tokens that callers received in
// whole answers.
func MeasureThroughput(ctx context.Context, url, key, model string, streams int, d time.Duration) Throughput {
	client := caller.New(url, key)
	defer client.Close()
	result := Throughput{Streams: streams}
	begun := time.Now()
	var callers sync.WaitGroup
	for s := range streams {
		callers.Go(func() {
			for i := 0; time.Since(begun) < d && ctx.Err() == nil; i++ {
				question := caller.Question{Model: model, Prompt: fmt.Sprintf("stream %d/%d", s, i), Stream: true}
				answer, err := client.Ask(ctx, question)
				if err != nil {
					atomic.AddInt64(&result.Failed, 1)
					continue
				}
				atomic.AddInt64(&result.Answers, 1)
				atomic.AddInt64(&result.Tokens, int64(answer.Events))
			}
		})
	}
	callers.Wait()
	result.Seconds = time.Since(begun).Seconds()
	result.TokensPerSecond = float64(result.Tokens) / result.Seconds
	return result
}
