package loadstate

import (
	"sync/atomic"
	"time"

	"github.com/poplarshore/poplarshore/upstream"
)

// Call is one request in flight on an upstream.
type Call struct {
	entry *entry
	// weight is the weight of one sample in the moving averages.
	weight    float64
	startedAt time.Time
	// hadCapacity is set if the upstream had free capacity, as far as known, when
	// the request began.
	hadCapacity        bool
	firstTokenRecorded atomic.Bool
	ended              atomic.Bool
}

// Begin counts a request as in flight on the upstream until Call.End. It remains
// counted if a new configuration removes the upstream in the meantime. Errors:
// ErrUnknownUpstream.
func (s *State) Begin(id upstream.ID, now time.Time) (*Call, error) {
	e, ok := s.tables.Load().entries[id]
	if !ok {
		return nil, ErrUnknownUpstream.New("upstream %q is not in any group of the configuration", id)
	}
	c := &Call{entry: e, weight: s.opts.SmoothingWeight, startedAt: now, hadCapacity: e.hasCapacity()}
	e.begin(now)
	return c, nil
}

// hasCapacity reports whether, as far as known, one more request would run without
// queueing. It returns true if the capacity is unknown.
func (e *entry) hasCapacity() bool {
	n := int(e.inFlight.Load())
	capacity := int(e.capacity.Load())
	if last := e.lastReport.Load(); last != nil {
		n += last.remoteInFlight
		if last.report.Capacity > 0 {
			capacity = last.report.Capacity
		}
	}
	return n < capacity || capacity == 0
}

// FirstToken records the arrival of the first token. wait is the time since Begin,
// less the expected times of link and prefill. Only the first call has an effect,
// and only if the upstream had free capacity when the request began, so that the
// moving average does not include time in the queue.
func (c *Call) FirstToken(wait time.Duration) {
	if c.firstTokenRecorded.Swap(true) || !c.hadCapacity {
		return
	}
	c.entry.firstToken.add(max(wait, 1), c.weight)
}

// End stops counting the request as in flight. If it completed, the time since
// Begin is added to the moving average of request durations. Only the first call
// has an effect.
func (c *Call) End(now time.Time, completed bool) {
	if c.ended.Swap(true) {
		return
	}
	c.entry.end(now)
	if completed {
		c.entry.requestDuration.add(max(now.Sub(c.startedAt), 1), c.weight)
	}
}
