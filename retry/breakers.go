package retry

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/upstream"
)

// Breakers holds a circuit breaker for each combination of upstream and version
// and for each version. It implements loadstate.Breakers. It is safe for concurrent
// use.
type Breakers struct {
	opts BreakerOptions

	byKey atomic.Pointer[breakerMap]
	// mu serializes writes to byKey.
	mu sync.Mutex
}

// breakerMap is copied on write, so that it can be read without a lock.
type breakerMap map[BreakerKey]*breaker

// NewBreakers returns Breakers that are all closed.
func NewBreakers(opts BreakerOptions) *Breakers {
	b := &Breakers{opts: opts}
	b.byKey.Store(&breakerMap{})
	return b
}

// Ready reports whether the upstream's breaker for the version would admit an
// attempt, without changing its state.
func (b *Breakers) Ready(id upstream.ID, ref model.Ref, now time.Time) bool {
	return b.lookup(BreakerKey{Upstream: id, Ref: ref}).ready(now)
}

// VersionReady reports whether the breaker of the version over all upstreams
// would admit an attempt. It is always true for an empty ref.
func (b *Breakers) VersionReady(ref model.Ref, now time.Time) bool {
	return ref == (model.Ref{}) || b.lookup(BreakerKey{Ref: ref}).ready(now)
}

// Permit is an attempt admitted by breakers. Exactly one of Done and Abandon must
// be called when it ends.
type Permit struct {
	startedAt    time.Time
	breakers     [2]*breaker
	generations  [2]uint64
	breakerCount int
}

// Acquire admits an attempt, or returns false if a breaker is open or has its
// maximum number of probes in flight.
func (b *Breakers) Acquire(id upstream.ID, ref model.Ref, now time.Time) (Permit, bool) {
	permit := Permit{startedAt: now}
	if !permit.acquire(b.getOrCreate(BreakerKey{Upstream: id, Ref: ref}), now) {
		return permit, false
	}
	if ref != (model.Ref{}) && !permit.acquire(b.getOrCreate(BreakerKey{Ref: ref}), now) {
		permit.Abandon()
		return permit, false
	}
	return permit, true
}

func (p *Permit) acquire(br *breaker, now time.Time) bool {
	generation, ok := br.acquire(now)
	if !ok {
		return false
	}
	p.breakers[p.breakerCount], p.generations[p.breakerCount] = br, generation
	p.breakerCount++
	return true
}

// Done records whether the attempt succeeded. An answer that the caller cancelled
// has no outcome; call Abandon for it.
func (p *Permit) Done(success bool, now time.Time) {
	for i, br := range p.breakers[:p.breakerCount] {
		br.recordOutcome(p.generations[i], p.startedAt, success, now)
	}
}

// Abandon releases an attempt that has no outcome.
func (p *Permit) Abandon() {
	for i, br := range p.breakers[:p.breakerCount] {
		br.abandon(p.generations[i], p.startedAt)
	}
}

// State returns the state of a breaker; Closed if there is none for the key.
func (b *Breakers) State(key BreakerKey) BreakerState {
	return b.lookup(key).currentState()
}

// Retain removes the breakers for which keep returns false. It is called after a
// change of configuration.
func (b *Breakers) Retain(keep func(BreakerKey) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	next := maps.Clone(*b.byKey.Load())
	maps.DeleteFunc(next, func(key BreakerKey, _ *breaker) bool { return !keep(key) })
	b.byKey.Store(&next)
}

func (b *Breakers) getOrCreate(key BreakerKey) *breaker {
	if br, ok := (*b.byKey.Load())[key]; ok {
		return br
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if br, ok := (*b.byKey.Load())[key]; ok {
		return br
	}
	next := maps.Clone(*b.byKey.Load())
	br := newBreaker(key, &b.opts)
	next[key] = br
	b.byKey.Store(&next)
	return br
}

// closedBreaker stands in for breakers that do not exist yet.
var closedBreaker = newBreaker(BreakerKey{}, &BreakerOptions{})

// lookup returns the breaker for the key, or closedBreaker if there is none.
func (b *Breakers) lookup(key BreakerKey) *breaker {
	if br, ok := (*b.byKey.Load())[key]; ok {
		return br
	}
	return closedBreaker
}
