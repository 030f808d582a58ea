// Package load sends requests at a given rate without waiting for answers
// (open loop). Latency counts from the time at which a request was due, so that
// a stalled target is not measured less often than a quick one.
package load

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	lowestLatency  = int64(time.Microsecond)
	highestLatency = int64(5 * time.Minute)
	digits         = 3
)

// Options bound a run.
type Options struct {
	// Rate is the mean number of requests due per second; gaps are exponential.
	Rate float64
	// Count ends the run after so many requests; 0 means no bound.
	Count int
	// Duration ends the run after so long; 0 means no bound.
	Duration time.Duration
	// MaxInFlight bounds the requests at once; those above it are dropped and counted.
	MaxInFlight int
	// Seed seeds the gaps.
	Seed uint64
}

// Outcome is what became of one request.
type Outcome string

// Whole is the outcome of an answer that was whole and right.
const Whole Outcome = "whole"

// Report is the result of a run.
type Report struct {
	Sent     int             `json:"sent"`
	Dropped  int             `json:"dropped"`
	Outcomes map[Outcome]int `json:"outcomes"`
	Latency  Quantiles       `json:"latency"`
	Seconds  float64         `json:"seconds"`
}

// Quantiles are latencies in microseconds.
type Quantiles struct {
	P50 float64 `json:"p50_us"`
	P90 float64 `json:"p90_us"`
	P99 float64 `json:"p99_us"`
	Max float64 `json:"max_us"`
}

// Histogram collects latencies; it is safe for concurrent use.
type Histogram struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

// NewHistogram returns an empty histogram from 1 µs to 5 min.
func NewHistogram() *Histogram {
	return &Histogram{histogram: hdrhistogram.New(lowestLatency, highestLatency, digits)}
}

// Record adds one latency; it is clamped to the histogram's range.
func (h *Histogram) Record(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.histogram.RecordValue(min(max(int64(d), lowestLatency), highestLatency))
}

// Quantiles returns the histogram's quantiles.
func (h *Histogram) Quantiles() Quantiles {
	h.mu.Lock()
	defer h.mu.Unlock()
	micros := func(q float64) float64 {
		return float64(h.histogram.ValueAtQuantile(q)) / float64(time.Microsecond)
	}
	return Quantiles{P50: micros(50), P90: micros(90), P99: micros(99), Max: micros(100)}
}

// Run sends requests until a bound is reached or ctx ends, and waits for the
// answers. do is called once per request with its number, on a goroutine of its
// own.
func Run(ctx context.Context, o Options, do func(ctx context.Context, i int) Outcome) Report {
	r := &run{options: o, latency: NewHistogram(), report: Report{Outcomes: make(map[Outcome]int)}}
	begun := time.Now()
	r.send(ctx, begun, do)
	r.inFlight.Wait()
	r.report.Latency = r.latency.Quantiles()
	r.report.Seconds = time.Since(begun).Seconds()
	return r.report
}

type run struct {
	options  Options
	latency  *Histogram
	inFlight sync.WaitGroup

	mu     sync.Mutex
	report Report
}

func (r *run) send(ctx context.Context, begun time.Time, do func(context.Context, int) Outcome) {
	random := rand.New(rand.NewPCG(r.options.Seed, 0))
	slots := make(chan struct{}, max(r.options.MaxInFlight, 1))
	due := begun
	for i := 0; r.options.Count == 0 || i < r.options.Count; i++ {
		due = due.Add(time.Duration(random.ExpFloat64() / r.options.Rate * float64(time.Second)))
		if r.options.Duration > 0 && due.Sub(begun) > r.options.Duration {
			return
		}
		if !sleepUntil(ctx, due) {
			return
		}
		select {
		case slots <- struct{}{}:
		default:
			r.report.Dropped++
			continue
		}
		r.report.Sent++
		r.start(ctx, i, due, slots, do)
	}
}

// start sends one request and frees its slot once it is answered.
func (r *run) start(ctx context.Context, i int, due time.Time, slots <-chan struct{}, do func(context.Context, int) Outcome) {
	r.inFlight.Go(func() {
		outcome := do(ctx, i)
		r.record(outcome, time.Since(due))
		<-slots
	})
}

func (r *run) record(outcome Outcome, latency time.Duration) {
	r.latency.Record(latency)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Outcomes[outcome]++
}

func sleepUntil(ctx context.Context, due time.Time) bool {
	wait := time.Until(due)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
