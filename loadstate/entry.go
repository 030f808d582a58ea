package loadstate

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/route"
)

// Report is an upstream's report of its load.
type Report struct {
	route.Load
	// Taken is when the upstream took the report, by this VM's clock.
	Taken time.Time
	// Loaded lists the versions in memory; nil means that the upstream does
	// not tell, and all of its versions count as loaded.
	Loaded []model.Ref
}

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

// entry is the state of one upstream.
type entry struct {
	capacity atomic.Int64
	inFlight atomic.Int64
	// leaving is what was seen, declaredLeaving what the configuration says.
	leaving         atomic.Bool
	declaredLeaving atomic.Bool
	firstToken      smoothed
	hold            smoothed
	// seen is the last report with what was derived from it.
	seen atomic.Pointer[observed]

	mu  sync.Mutex
	own history
}

// observed is a report with the requests of this VM taken out.
type observed struct {
	report Report
	// own is this VM's requests in flight when the report was taken.
	own    int
	others int
}

// begin counts a request of this VM.
func (e *entry) begin(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.own.set(now, int(e.inFlight.Add(1)))
}

func (e *entry) end(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.own.set(now, int(e.inFlight.Add(-1)))
}

// observe installs a report unless a newer one is known.
func (e *entry) observe(r Report) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	last := e.seen.Load()
	if last != nil && r.Taken.Before(last.report.Taken) {
		return false
	}
	own := e.own.at(r.Taken)
	e.seen.Store(&observed{report: r, own: own, others: max(r.Running+r.Waiting-own, 0)})
	return true
}

// fill writes the entry to a candidate.
func (e *entry) fill(now time.Time, ref model.Ref, c *route.Candidate) {
	c.InFlight = int(e.inFlight.Load())
	c.Capacity = int(e.capacity.Load())
	c.Recent, c.Others, c.ReportAge = c.InFlight, 0, -1
	c.FirstToken = e.firstToken.value()
	c.Hold = e.hold.value()
	c.Leaving = e.leaving.Load() || e.declaredLeaving.Load()
	c.Loaded = true
	seen := e.seen.Load()
	if seen == nil {
		return
	}
	c.Others = seen.others
	c.Recent = c.InFlight - seen.own
	c.ReportAge = max(now.Sub(seen.report.Taken), 0)
	c.Loaded = seen.report.loaded(ref)
	c.Leaving = c.Leaving || seen.report.Draining
	if seen.report.Capacity > 0 {
		c.Capacity = seen.report.Capacity
	}
}

// smoothed is an exponentially weighted mean of durations, read without a lock.
type smoothed struct {
	bits atomic.Uint64
}

func (s *smoothed) value() time.Duration {
	return time.Duration(math.Float64frombits(s.bits.Load()))
}

// add mixes in a sample with the given weight, 0 to 1.
func (s *smoothed) add(d time.Duration, weight float64) {
	for {
		old := s.bits.Load()
		mean := math.Float64frombits(old)
		if old == 0 {
			mean = float64(d)
		}
		mean += weight * (float64(d) - mean)
		if s.bits.CompareAndSwap(old, math.Float64bits(mean)) {
			return
		}
	}
}
