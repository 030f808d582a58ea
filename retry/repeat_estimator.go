package retry

import (
	"sync"
	"time"
)

// RepeatEstimator estimates, for each kind of request, how often repeating it succeeds
// after an upstream answered with an error, and limits repeats that rarely do.
// Some errors are caused by the request and recur on every upstream. RepeatEstimator is
// safe for concurrent use.
type RepeatEstimator struct {
	mu     sync.Mutex
	byKind map[string]*repeatRate
}

// repeatRate is the state of one kind of request.
type repeatRate struct {
	// successRate is the moving average of the fraction of successful repeats.
	successRate float64
	// lastAllowedAt is when a repeat was last allowed.
	lastAllowedAt time.Time
}

const (
	// initialSuccessRate is assumed before any repeat is recorded.
	initialSuccessRate = 0.6
	// minSuccessRate is the rate below which only one repeat per sampleInterval
	// is allowed, as a sample.
	minSuccessRate = 0.3
	// successRateSmoothing is the weight of the newest repeat in the average.
	successRateSmoothing = 0.2
	// sampleInterval is the minimum time between such samples.
	sampleInterval = 5 * time.Second
)

// NewRepeatEstimator returns a RepeatEstimator without recorded repeats.
func NewRepeatEstimator() *RepeatEstimator {
	return &RepeatEstimator{byKind: make(map[string]*repeatRate)}
}

// Allow reports whether a request of the kind may be repeated now.
func (r *RepeatEstimator) Allow(kind string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	entry := r.rate(kind)
	if entry.successRate < minSuccessRate && now.Sub(entry.lastAllowedAt) < sampleInterval {
		return false
	}
	entry.lastAllowedAt = now
	return true
}

// Record records whether a repeat of a request of the kind succeeded.
func (r *RepeatEstimator) Record(kind string, succeeded bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	entry := r.rate(kind)
	value := 0.0
	if succeeded {
		value = 1
	}
	entry.successRate += successRateSmoothing * (value - entry.successRate)
}

func (r *RepeatEstimator) rate(kind string) *repeatRate {
	entry := r.byKind[kind]
	if entry == nil {
		entry = &repeatRate{successRate: initialSuccessRate}
		r.byKind[kind] = entry
	}
	return entry
}
