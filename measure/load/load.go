// Package load sends requests at a given rate without waiting for responses (open
// loop). Latency is measured from the time at which a request was due, so that a
// stalled target doesn't reduce the number of measured latencies.
package load

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The range and the precision of the histogram of latencies.
const (
	minLatencyNS      = int64(time.Microsecond)
	maxLatencyNS      = int64(5 * time.Minute)
	significantDigits = 3
)

// Options configure a run.
type Options struct {
	// Rate is the mean number of requests due per second. The intervals between
	// them are exponentially distributed.
	Rate float64
	// Count is the number of requests due after which the run ends. 0 means no
	// maximum.
	Count int
	// Duration is the time after which no more requests are due. 0 means no
	// maximum.
	Duration time.Duration
	// MaxInFlight is the maximum number of in-flight requests, at least 1. A
	// request above it is dropped and counted.
	MaxInFlight int
	// Seed seeds the intervals between requests.
	Seed uint64
}

// Outcome classifies the response to one request.
type Outcome string

// Complete is the outcome of a request whose answer was complete and correct.
const Complete Outcome = "whole"

// Report is the result of a run. Seconds is the duration until the last response.
type Report struct {
	Sent     int             `json:"sent"`
	Dropped  int             `json:"dropped"`
	Outcomes map[Outcome]int `json:"outcomes"`
	Latency  Quantiles       `json:"latency"`
	Seconds  float64         `json:"seconds"`
}

// Quantiles are quantiles of latencies in microseconds.
type Quantiles struct {
	P50 float64 `json:"p50_us"`
	P90 float64 `json:"p90_us"`
	P99 float64 `json:"p99_us"`
	Max float64 `json:"max_us"`
}

// Histogram is a histogram of latencies that is safe for concurrent use.
type Histogram struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

// NewHistogram returns an empty histogram with the range from 1 µs to 5 min.
func NewHistogram() *Histogram {
	return &Histogram{histogram: hdrhistogram.New(minLatencyNS, maxLatencyNS, significantDigits)}
}

// Record adds one latency, clamped to the range of the histogram.
func (h *Histogram) Record(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.histogram.RecordValue(min(max(int64(d), minLatencyNS), maxLatencyNS))
}

// Quantiles returns the quantiles of the recorded latencies.
func (h *Histogram) Quantiles() Quantiles {
	h.mu.Lock()
	defer h.mu.Unlock()
	micros := func(q float64) float64 {
		return float64(h.histogram.ValueAtQuantile(q)) / float64(time.Microsecond)
	}
	return Quantiles{P50: micros(50), P90: micros(90), P99: micros(99), Max: micros(100)}
}

// Run sends requests until Count or Duration is reached or ctx is done, and waits
// for the responses. It calls do once per request, with the index of the request,
// on a separate goroutine.
func Run(ctx context.Context, o Options, do func(ctx context.Context, i int) Outcome) Report {
	r := &run{options: o, latency: NewHistogram(), report: Report{Outcomes: make(map[Outcome]int)}}
	startedAt := time.Now()
	r.send(ctx, startedAt, do)
	r.inFlight.Wait()
	r.report.Latency = r.latency.Quantiles()
	r.report.Seconds = time.Since(startedAt).Seconds()
	return r.report
}

// run is the state of one call of Run.
type run struct {
	options  Options
	latency  *Histogram
	inFlight sync.WaitGroup

	mu     sync.Mutex
	report Report
}

// send starts each request when it is due, or drops it if too many are in flight.
func (r *run) send(ctx context.Context, startedAt time.Time, do func(context.Context, int) Outcome) {
	random := rand.New(rand.NewPCG(r.options.Seed, 0))
	slots := make(chan struct{}, max(r.options.MaxInFlight, 1))
	due := startedAt
	for i := 0; r.options.Count == 0 || i < r.options.Count; i++ {
		due = due.Add(time.Duration(random.ExpFloat64() / r.options.Rate * float64(time.Second)))
		if r.options.Duration > 0 && due.Sub(startedAt) > r.options.Duration {
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

// start runs one request on a new goroutine, and releases its slot when it is
// done.
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

// sleepUntil sleeps until due and returns true, or returns false if ctx is done
// before that.
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
