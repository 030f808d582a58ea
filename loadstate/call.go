package loadstate

import (
	"sync/atomic"
	"time"

	"github.com/poplarshore/poplarshore/upstream"
)

// Call is one request in flight on an upstream.
type Call struct {
	entry  *entry
	weight float64
	begun  time.Time
	// idle tells that the upstream was believed to have room at the start.
	idle  bool
	first atomic.Bool
	ended atomic.Bool
}

// Begin counts a request as in flight until End. The request is counted also
// if the configuration drops the upstream meanwhile.
func (s *State) Begin(id upstream.ID, now time.Time) (*Call, error) {
	e, ok := s.tables.Load().entries[id]
	if !ok {
		return nil, ErrUnknownUpstream.New("upstream %q is in no group", id)
	}
	c := &Call{entry: e, weight: s.opts.Weight, begun: now, idle: e.hasRoom()}
	e.begin(now)
	return c, nil
}

// hasRoom tells whether one more request would run at once, by what is known.
func (e *entry) hasRoom() bool {
	n := int(e.inFlight.Load())
	capacity := int(e.capacity.Load())
	if seen := e.seen.Load(); seen != nil {
		n += seen.others
		if seen.report.Capacity > 0 {
			capacity = seen.report.Capacity
		}
	}
	return n < capacity || capacity == 0
}

// FirstToken records that the first token arrived; wait is the time since Begin
// less the part that link and prefill are known to take. Only the first call
// counts, and only if the upstream had room at the start, so that the smoothed
// time does not contain the queue.
func (c *Call) FirstToken(wait time.Duration) {
	if c.first.Swap(true) || !c.idle {
		return
	}
	c.entry.firstToken.add(max(wait, 1), c.weight)
}

// End takes the request out of the count. The time since Begin enters the mean
// holding time if the answer was whole. Only the first call counts.
func (c *Call) End(now time.Time, whole bool) {
	if c.ended.Swap(true) {
		return
	}
	c.entry.end(now)
	if whole {
		c.entry.hold.add(max(now.Sub(c.begun), 1), c.weight)
	}
}
