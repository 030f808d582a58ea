package loadstate

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/route"
)

// Report is a load report of an upstream.
type Report struct {
	route.Load
	// Taken is the time at which the upstream measured its load, by this VM's clock.
	Taken time.Time
	// Loaded lists the versions in memory. Nil means that the upstream does not
	// report them; all of its versions then count as loaded.
	Loaded []model.Ref
}

// loaded reports whether a version counts as loaded; true for a nil report.
func (r *Report) loaded(ref model.Ref) bool {
	if r == nil || r.Loaded == nil {
		return true
	}
	for _, l := range r.Loaded {
		if l == ref {
			return true
		}
	}
	return false
}

// entry is the state of one upstream. The atomic fields are read without a lock.
type entry struct {
	capacity atomic.Int64
	inFlight atomic.Int64
	// leaving is set by SetLeaving, declaredLeaving by the configuration. Either one
	// makes the upstream leaving.
	leaving         atomic.Bool
	declaredLeaving atomic.Bool
	firstToken      movingAverage
	requestDuration movingAverage
	// lastReport is the last report and the counts derived from it; nil before the
	// first.
	lastReport atomic.Pointer[observedReport]

	// mu serializes changes of inFlight, localHistory and lastReport.
	mu sync.Mutex
	// localHistory is the recent history of inFlight.
	localHistory history
}

// observedReport is a report split into the requests of this VM and of others.
type observedReport struct {
	report Report
	// localInFlight is the number of requests that this VM had in flight when the
	// report was taken.
	localInFlight int
	// remoteInFlight is the number of running and waiting requests of other senders.
	remoteInFlight int
}

// begin counts one more request of this VM as in flight.
func (e *entry) begin(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.localHistory.set(now, int(e.inFlight.Add(1)))
}

// end counts one request of this VM less as in flight.
func (e *entry) end(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.localHistory.set(now, int(e.inFlight.Add(-1)))
}

// observe installs a report and returns true, unless the last one is newer.
func (e *entry) observe(r Report) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	last := e.lastReport.Load()
	if last != nil && r.Taken.Before(last.report.Taken) {
		return false
	}
	localInFlight := e.localHistory.at(r.Taken)
	e.lastReport.Store(&observedReport{
		report: r, localInFlight: localInFlight, remoteInFlight: max(r.Running+r.Waiting-localInFlight, 0)})
	return true
}

// fill sets the fields of a candidate that depend on the entry.
func (e *entry) fill(now time.Time, ref model.Ref, c *route.Candidate) {
	c.InFlight = int(e.inFlight.Load())
	c.Capacity = int(e.capacity.Load())
	c.InFlightSinceReport, c.RemoteInFlight, c.ReportAge = c.InFlight, 0, -1
	c.FirstToken = e.firstToken.value()
	c.RequestDuration = e.requestDuration.value()
	c.Leaving = e.leaving.Load() || e.declaredLeaving.Load()
	c.Loaded = true
	last := e.lastReport.Load()
	if last == nil {
		return
	}
	c.RemoteInFlight = last.remoteInFlight
	c.InFlightSinceReport = c.InFlight - last.localInFlight
	c.ReportAge = max(now.Sub(last.report.Taken), 0)
	c.Loaded = last.report.loaded(ref)
	c.Leaving = c.Leaving || last.report.Draining
	if last.report.Capacity > 0 {
		c.Capacity = last.report.Capacity
	}
}

// movingAverage is an exponentially weighted moving average of durations. It is
// safe for concurrent use without a lock.
type movingAverage struct {
	// bits is the average in nanoseconds as a float64; zero before the first sample.
	bits atomic.Uint64
}

// value returns the average, or zero before the first sample.
func (m *movingAverage) value() time.Duration {
	return time.Duration(math.Float64frombits(m.bits.Load()))
}

// add adds a positive sample with the given weight, 0 to 1. The first sample
// becomes the average.
func (m *movingAverage) add(d time.Duration, weight float64) {
	for {
		old := m.bits.Load()
		mean := math.Float64frombits(old)
		if old == 0 {
			mean = float64(d)
		}
		mean += weight * (float64(d) - mean)
		if m.bits.CompareAndSwap(old, math.Float64bits(mean)) {
			return
		}
	}
}
