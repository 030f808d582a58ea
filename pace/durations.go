package pace

import (
	"math"
	"math/bits"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// durationQuantile is the share of the recent requests that take at most the expected time.
	durationQuantile = 0.95
	// Samples count for durationWindows times durationWindow, less up to one durationWindow.
	durationWindows = 4
	durationWindow  = 30 * time.Second
	// maxDurationPerUnit bounds samples, and durationDigits is the number of significant digits
	// that are kept of them.
	maxDurationPerUnit = 10 * time.Minute
	durationDigits     = 1
	// sizeClasses is the number of classes of sizes, each of which begins at twice the size of the one
	// before. The time to the beginning of an answer doesn't grow with its size, so that what a unit of
	// small requests takes says little about large ones.
	sizeClasses = 16
)

// Durations learns how long requests take by route, in relation to their expected size. It is safe
// for concurrent use.
type Durations struct {
	mu      sync.Mutex
	byRoute map[string]*[sizeClasses]*recentDurations
}

// sizeClass returns the class of a size.
func sizeClass(size float64) int {
	return min(bits.Len(uint(min(size, 1<<sizeClasses))), sizeClasses-1)
}

// recentDurations holds the durations of a route's recent requests of a class of sizes for each unit of
// their size, in microseconds.
type recentDurations struct {
	perUnit *hdrhistogram.WindowedHistogram
	// windowEnd is when the current window ends.
	windowEnd time.Time
}

// Observe records a request that ended at the given time after the duration took. size is what was
// expected of it: the number of events of its answer, or 1 for requests without a size. A size that
// is not positive is ignored.
func (d *Durations) Observe(route string, size float64, took time.Duration, now time.Time) {
	if size <= 0 || math.IsNaN(size) {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	classes := d.byRoute[route]
	if classes == nil {
		if len(d.byRoute) >= maxRoutes {
			return
		}
		if d.byRoute == nil {
			d.byRoute = make(map[string]*[sizeClasses]*recentDurations)
		}
		classes = new([sizeClasses]*recentDurations)
		d.byRoute[route] = classes
	}
	class := sizeClass(size)
	r := classes[class]
	if r == nil {
		r = &recentDurations{
			perUnit:   hdrhistogram.NewWindowed(durationWindows, 1, maxDurationPerUnit.Microseconds(), durationDigits),
			windowEnd: now.Add(durationWindow),
		}
		classes[class] = r
	}
	r.advance(now)
	perUnit := min(max(float64(took.Microseconds())/size, 1), float64(maxDurationPerUnit.Microseconds()))
	// The value is in the histogram's range, so that it is recorded.
	_ = r.perUnit.Current.RecordValue(int64(perUnit))
}

// Expect returns the time that most requests of a route and size take, and false if none of the route
// ended recently. Without recent ones of about its size it is derived from those whose size is nearest.
func (d *Durations) Expect(route string, size float64, now time.Time) (time.Duration, bool) {
	if size <= 0 || math.IsNaN(size) {
		return 0, false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	classes := d.byRoute[route]
	if classes == nil {
		return 0, false
	}
	class := sizeClass(size)
	for distance := range sizeClasses {
		// What a unit of smaller requests takes is rather too much than too little.
		for _, near := range []int{class - distance, class + distance} {
			if near < 0 || near >= sizeClasses || classes[near] == nil {
				continue
			}
			if perUnit, known := classes[near].expect(now); known {
				return time.Duration(min(perUnit*size, float64(maxDurationPerUnit.Microseconds()))) * time.Microsecond, true
			}
		}
	}
	return 0, false
}

// expect returns the time, in microseconds, that most requests take for each unit, and false if none
// ended recently.
func (r *recentDurations) expect(now time.Time) (float64, bool) {
	r.advance(now)
	recent := r.perUnit.Merge()
	if recent.TotalCount() == 0 {
		return 0, false
	}
	return float64(recent.ValueAtQuantile(100 * durationQuantile)), true
}

// advance begins the window of the given time.
func (r *recentDurations) advance(now time.Time) {
	for range durationWindows {
		if now.Before(r.windowEnd) {
			return
		}
		r.perUnit.Rotate()
		r.windowEnd = r.windowEnd.Add(durationWindow)
	}
	// All windows are empty if the last sample is older than they are.
	if !now.Before(r.windowEnd) {
		r.windowEnd = now.Add(durationWindow)
	}
}
