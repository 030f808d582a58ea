package entrycost

import (
	"context"
	"time"

	"github.com/poplarshore/poplarshore/measure/figure"
	"github.com/poplarshore/poplarshore/measure/site"
	"github.com/poplarshore/poplarshore/standin/engine"
	"github.com/poplarshore/poplarshore/standin/environment"
)

// SetName is the name of the set of figures, and of its file without extension.
const SetName = "entry"

const (
	// answerTokens is the number of tokens of every answer.
	answerTokens = 64
	// streamsPerModel is less than an entry's initial limit on the in-flight
	// requests of a model.
	streamsPerModel = 50
	// memoryTokenTime is the time per token while the memory is measured.
	memoryTokenTime = 500 * time.Millisecond
)

// RunOptions configure Run.
type RunOptions struct {
	// Rate is the number of requests per second, and Count the number of requests,
	// in each comparison of latencies with direct requests.
	Rate  float64
	Count int
	// Streams is the number of concurrent streams, and Duration the duration, of
	// the measurement of the throughput.
	Streams  int
	Duration time.Duration
	// MemoryStreams is the number of open streams whose memory is measured.
	MemoryStreams int
	// Seed seeds the comparisons of latencies.
	Seed uint64
}

// Run makes all measurements once and adds them to the set. It returns the
// comparisons of latencies for complete and for streamed answers.
func Run(ctx context.Context, o RunOptions, set *figure.Set) (complete, streamed LatencyOverhead, err error) {
	env, err := startSite(ctx, 1024, 0, 1)
	if err != nil {
		return complete, streamed, err
	}
	defer env.Close()
	target := newTarget(env)
	options := LatencyOptions{Rate: o.Rate, Count: o.Count, Seed: o.Seed, MaxInFlight: 512}
	warmUp := options
	warmUp.Count = min(o.Count, 500)
	MeasureLatency(ctx, target, warmUp)
	complete = MeasureLatency(ctx, target, options)
	options.Stream = true
	streamed = MeasureLatency(ctx, target, options)
	recordLatency(set, "whole", o.Rate, complete)
	recordLatency(set, "streamed", o.Rate, streamed)
	throughput := MeasureThroughput(ctx, target.EntryURL, target.Key, target.Model, o.Streams, o.Duration)
	set.GetOrAdd("throughput.tokens", "tokens/s", "streams").Add(float64(o.Streams), throughput.TokensPerSecond)
	set.GetOrAdd("throughput.failed", "1", "streams").Add(float64(o.Streams), float64(throughput.Failed))
	return complete, streamed, measureStreamMemory(ctx, o.MemoryStreams, set)
}

// measureStreamMemory measures the memory per stream with an engine that is slow
// enough to keep all streams open, and adds it to the set.
func measureStreamMemory(ctx context.Context, streams int, set *figure.Set) error {
	models := (streams + streamsPerModel - 1) / streamsPerModel
	env, err := startSite(ctx, 2*streams, memoryTokenTime, models)
	if err != nil {
		return err
	}
	defer env.Close()
	target := newTarget(env)
	for i := range models {
		target.Models = append(target.Models, site.ModelName(i))
	}
	memory := MeasureMemory(ctx, target, streams)
	set.GetOrAdd("memory.per_stream", "B", "streams").Add(float64(streams), memory.Overhead)
	set.GetOrAdd("memory.failed", "1", "streams").Add(float64(streams), float64(memory.Failed))
	return nil
}

// recordLatency adds a comparison of latencies to the set. The series not_whole
// counts the requests without a complete and correct answer.
func recordLatency(set *figure.Set, name string, rate float64, overhead LatencyOverhead) {
	set.GetOrAdd(name+".adds_p50", "µs", "requests/s").Add(rate, overhead.OverheadP50)
	set.GetOrAdd(name+".adds_p99", "µs", "requests/s").Add(rate, overhead.OverheadP99)
	set.GetOrAdd(name+".direct_p50", "µs", "requests/s").Add(rate, overhead.Direct.P50)
	set.GetOrAdd(name+".direct_p99", "µs", "requests/s").Add(rate, overhead.Direct.P99)
	set.GetOrAdd(name+".not_whole", "1", "requests/s").Add(rate, float64(overhead.Report.Sent-overhead.Report.Outcomes["whole"]))
}

// startSite starts one entry VM and one engine. The engine runs capacity requests
// at the same time.
func startSite(ctx context.Context, capacity int, tokenTime time.Duration, models int) (*environment.Environment, error) {
	return site.Start(ctx, site.Options{VMs: 1, Engines: 1, Capacity: capacity, Models: models, Engine: func(e *engine.Options) {
		e.MinTokens, e.MaxTokens, e.TokenTime = answerTokens, answerTokens, tokenTime
	}})
}

// newTarget returns the target for an environment of startSite.
func newTarget(e *environment.Environment) Target {
	return Target{
		EntryURL: "http://" + e.VM(site.VMID(0)).CallersAddress(), Key: site.Key, Model: site.Model,
		EngineURL: e.Engines[site.EngineID(0)].URL(),
		Version:   engine.VersionRef{Model: site.Model, Version: site.Version},
		MinTokens: answerTokens, MaxTokens: answerTokens,
	}
}
