package entrycost

import (
	"context"
	"time"

	"github.com/poplarshore/poplarshore/measure/figure"
	"github.com/poplarshore/poplarshore/measure/site"
	"github.com/poplarshore/poplarshore/standin/engine"
	"github.com/poplarshore/poplarshore/standin/environment"
)

// SetName names the file of these figures.
const SetName = "entry"

const (
	// answerTokens is the length of every answer.
	answerTokens = 64
	// streamsPerModel is below the requests in flight that an entry starts with.
	streamsPerModel = 50
	heldTokenTime   = 500 * time.Millisecond
)

// RunOptions bound a whole measurement.
type RunOptions struct {
	// Rate and Count are those of the comparison with direct calls.
	Rate  float64
	Count int
	// Streams and Duration are those of the throughput.
	Streams  int
	Duration time.Duration
	// Held is the number of streams whose memory is measured.
	Held int
	Seed uint64
}

// Run takes all measurements once and adds them to the set. It returns the
// comparisons for whole and streamed answers.
func Run(ctx context.Context, o RunOptions, into *figure.Set) (whole, streamed Added, err error) {
	quick, err := start(ctx, 1024, 0, 1)
	if err != nil {
		return whole, streamed, err
	}
	defer quick.Close()
	target := targetOf(quick)
	options := AddedOptions{Rate: o.Rate, Count: o.Count, Seed: o.Seed, MaxInFlight: 512}
	warm := options
	warm.Count = min(o.Count, 500)
	MeasureAdded(ctx, target, warm)
	whole = MeasureAdded(ctx, target, options)
	options.Stream = true
	streamed = MeasureAdded(ctx, target, options)
	record(into, "whole", o.Rate, whole)
	record(into, "streamed", o.Rate, streamed)
	through := MeasureThroughput(ctx, target.EntryURL, target.Key, target.Model, o.Streams, o.Duration)
	into.Get("throughput.tokens", "tokens/s", "streams").Add(float64(o.Streams), through.TokensPerSecond)
	into.Get("throughput.failed", "1", "streams").Add(float64(o.Streams), float64(through.Failed))
	return whole, streamed, measureHeld(ctx, o.Held, into)
}

func measureHeld(ctx context.Context, streams int, into *figure.Set) error {
	models := (streams + streamsPerModel - 1) / streamsPerModel
	slow, err := start(ctx, 2*streams, heldTokenTime, models)
	if err != nil {
		return err
	}
	defer slow.Close()
	target := targetOf(slow)
	for i := range models {
		target.Models = append(target.Models, site.ModelName(i))
	}
	held := MeasureMemory(ctx, target, streams)
	into.Get("memory.per_stream", "B", "streams").Add(float64(streams), held.Adds)
	into.Get("memory.failed", "1", "streams").Add(float64(streams), float64(held.Failed))
	return nil
}

func record(into *figure.Set, name string, rate float64, a Added) {
	into.Get(name+".adds_p50", "µs", "requests/s").Add(rate, a.AddsP50)
	into.Get(name+".adds_p99", "µs", "requests/s").Add(rate, a.AddsP99)
	into.Get(name+".direct_p50", "µs", "requests/s").Add(rate, a.Direct.P50)
	into.Get(name+".direct_p99", "µs", "requests/s").Add(rate, a.Direct.P99)
	into.Get(name+".not_whole", "1", "requests/s").Add(rate, float64(a.Report.Sent-a.Report.Outcomes["whole"]))
}

func start(ctx context.Context, capacity int, tokenTime time.Duration, models int) (*environment.Environment, error) {
	return site.Start(ctx, site.Options{VMs: 1, Engines: 1, Capacity: capacity, Models: models, Engine: func(e *engine.Options) {
		e.MinTokens, e.MaxTokens, e.TokenTime = answerTokens, answerTokens, tokenTime
	}})
}

func targetOf(e *environment.Environment) Target {
	return Target{
		EntryURL: "http://" + e.VM(site.VM(0)).CallersAddress(), Key: site.Key, Model: site.Model,
		EngineURL: e.Engines[site.Engine(0)].URL(),
		Version:   engine.VersionRef{Model: site.Model, Version: site.Version},
		MinTokens: answerTokens, MaxTokens: answerTokens,
	}
}
