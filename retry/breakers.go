package retry

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/upstream"
)

// Breakers holds a circuit breaker for each upstream with version and for each
// version. It implements the gate of package loadstate.
type Breakers struct {
	opts BreakerOptions

	byKey atomic.Pointer[breakerMap]
	// mu joins writers of byKey.
	mu sync.Mutex
}

// breakerMap is replaced as a whole, so that it is read without a lock.
type breakerMap map[BreakerKey]*breaker

// NewBreakers returns breakers that are closed.
func NewBreakers(opts BreakerOptions) *Breakers {
	b := &Breakers{opts: opts}
	b.byKey.Store(&breakerMap{})
	return b
}

// Ready tells whether the upstream's breaker for the version would let an
// attempt through. It changes nothing.
func (b *Breakers) Ready(id upstream.ID, ref model.Ref, now time.Time) bool {
	return b.peek(BreakerKey{Upstream: id, Ref: ref}).ready(now)
}

// VersionReady tells whether the version's own breaker lets attempts through.
func (b *Breakers) VersionReady(ref model.Ref, now time.Time) bool {
	return ref == (model.Ref{}) || b.peek(BreakerKey{Ref: ref}).ready(now)
}

// Trial is an attempt that breakers let through. Exactly one of Done and
// Abandon should be called.
type Trial struct {
	begun    time.Time
	parts    [2]*breaker
	periods  [2]uint64
	nBreaker int
}

// Begin lets an attempt through, or returns false if a breaker is open or has
// all of its probes out.
func (b *Breakers) Begin(id upstream.ID, ref model.Ref, now time.Time) (Trial, bool) {
	t := Trial{begun: now}
	if !t.enter(b.get(BreakerKey{Upstream: id, Ref: ref}), now) {
		return t, false
	}
	if ref != (model.Ref{}) && !t.enter(b.get(BreakerKey{Ref: ref}), now) {
		t.Abandon()
		return t, false
	}
	return t, true
}

func (t *Trial) enter(br *breaker, now time.Time) bool {
	period, ok := br.begin(now)
	if !ok {
		return false
	}
	t.parts[t.nBreaker], t.periods[t.nBreaker] = br, period
	t.nBreaker++
	return true
}

// Done takes in the outcome of the attempt. An answer that the caller broke off
// is no outcome; use Abandon.
func (t *Trial) Done(good bool, now time.Time) {
	for i, br := range t.parts[:t.nBreaker] {
		br.done(t.periods[i], t.begun, good, now)
	}
}

// Abandon takes back an attempt without outcome.
func (t *Trial) Abandon() {
	for i, br := range t.parts[:t.nBreaker] {
		br.abandon(t.periods[i], t.begun)
	}
}

// State returns the state of a breaker.
func (b *Breakers) State(key BreakerKey) BreakerState {
	return b.peek(key).load()
}

// Retain drops the breakers for which keep is false, after a change of
// configuration.
func (b *Breakers) Retain(keep func(BreakerKey) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	next := maps.Clone(*b.byKey.Load())
	maps.DeleteFunc(next, func(key BreakerKey, _ *breaker) bool { return !keep(key) })
	b.byKey.Store(&next)
}

func (b *Breakers) get(key BreakerKey) *breaker {
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

var closed = newBreaker(BreakerKey{}, &BreakerOptions{})

// peek returns a breaker, or one that is closed if there is none.
func (b *Breakers) peek(key BreakerKey) *breaker {
	if br, ok := (*b.byKey.Load())[key]; ok {
		return br
	}
	return closed
}
