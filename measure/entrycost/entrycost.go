// Package entrycost measures the overhead of the entry: the latency that it adds
// to calling the same engine directly in the same run, the throughput in tokens
// streamed per second, and the memory per open stream.
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

// Target is the entry and an engine that is an upstream of it.
type Target struct {
	EntryURL string
	// Key is the client account's key at the entry.
	Key string
	// Model is the model in requests to the entry.
	Model string
	// EngineURL and Version are for direct requests to the engine. The entry must
	// select Version for Model.
	EngineURL string
	Version   engine.VersionRef
	// Models are the models over which MeasureMemory distributes the open
	// streams, because a VM limits the in-flight requests of each model. Empty
	// means Model alone.
	Models []string
	// MinTokens and MaxTokens are the engine's bounds on the number of tokens of
	// an answer to a request without max_tokens.
	MinTokens, MaxTokens int
}

// LatencyOptions configure MeasureLatency.
type LatencyOptions struct {
	// Rate is the mean number of requests per second, of which about half are
	// direct.
	Rate float64
	// Count is the number of requests.
	Count int
	// Seed seeds the arrivals and the choice of the path.
	Seed uint64
	// Stream selects streamed answers.
	Stream bool
	// MaxInFlight is the maximum number of in-flight requests.
	MaxInFlight int
}

// LatencyOverhead is the result of MeasureLatency: the latencies of direct
// requests and of requests through the entry, and the differences of their
// quantiles in microseconds.
type LatencyOverhead struct {
	Direct      load.Quantiles `json:"direct"`
	Entry       load.Quantiles `json:"entry"`
	OverheadP50 float64        `json:"adds_p50_us"`
	OverheadP99 float64        `json:"adds_p99_us"`
	Report      load.Report    `json:"report"`
}

// Outcomes of requests other than load.Complete.
const (
	failed load.Outcome = "broken"
	wrong  load.Outcome = "wrong"
)

// MeasureLatency sends requests in an open loop, each at random directly to the
// engine or through the entry, and compares the latencies.
func MeasureLatency(ctx context.Context, t Target, o LatencyOptions) LatencyOverhead {
	direct, entry := caller.New(t.EngineURL, ""), caller.New(t.EntryURL, t.Key)
	defer direct.Close()
	defer entry.Close()
	paths := drawPaths(o.Seed, o.Count)
	latencies := [2]*load.Histogram{load.NewHistogram(), load.NewHistogram()}
	report := load.Run(ctx, load.Options{Rate: o.Rate, Count: o.Count, MaxInFlight: o.MaxInFlight, Seed: o.Seed},
		func(ctx context.Context, i int) load.Outcome {
			startedAt := time.Now()
			outcome := t.send(ctx, direct, entry, paths[i], i, o)
			latencies[paths[i]].Record(time.Since(startedAt))
			return outcome
		})
	overhead := LatencyOverhead{Direct: latencies[0].Quantiles(), Entry: latencies[1].Quantiles(), Report: report}
	overhead.OverheadP50 = overhead.Entry.P50 - overhead.Direct.P50
	overhead.OverheadP99 = overhead.Entry.P99 - overhead.Direct.P99
	return overhead
}

// drawPaths chooses at random for each request whether it is sent directly (0) or
// through the entry (1).
func drawPaths(seed uint64, count int) []int {
	random := rand.New(rand.NewPCG(seed, 1))
	paths := make([]int, count)
	for i := range paths {
		paths[i] = random.IntN(2)
	}
	return paths
}

// send sends one request over a path, as drawn by drawPaths, and checks the
// answer.
func (t Target) send(ctx context.Context, direct, entry *caller.Client, path, i int, o LatencyOptions) load.Outcome {
	prompt := fmt.Sprintf("request %d of %d", i, o.Seed)
	request := caller.Request{Model: t.Model, Prompt: prompt, Stream: o.Stream}
	client := entry
	if path == 0 {
		client = direct
		request.Model = t.Version.Model + "@" + t.Version.Version
	}
	response, err := client.Complete(ctx, request)
	switch {
	case err != nil:
		return failed
	case !engine.IsAnswer(response.Text, t.Version.Model, t.Version.Version, prompt, t.MinTokens, t.MaxTokens, 0):
		return wrong
	default:
		return load.Complete
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

// MeasureThroughput keeps a constant number of streams open for a duration,
// starts the next one when one ends, and counts the tokens in complete answers.
func MeasureThroughput(ctx context.Context, url, key, model string, streams int, d time.Duration) Throughput {
	client := caller.New(url, key)
	defer client.Close()
	result := Throughput{Streams: streams}
	startedAt := time.Now()
	var callers sync.WaitGroup
	for s := range streams {
		callers.Go(func() {
			for i := 0; time.Since(startedAt) < d && ctx.Err() == nil; i++ {
				request := caller.Request{Model: model, Prompt: fmt.Sprintf("stream %d/%d", s, i), Stream: true}
				response, err := client.Complete(ctx, request)
				if err != nil {
					atomic.AddInt64(&result.Failed, 1)
					continue
				}
				atomic.AddInt64(&result.Answers, 1)
				atomic.AddInt64(&result.Tokens, int64(response.Events))
			}
		})
	}
	callers.Wait()
	result.Seconds = time.Since(startedAt).Seconds()
	result.TokensPerSecond = float64(result.Tokens) / result.Seconds
	return result
}
