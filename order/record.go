package order

import (
	"slices"
	"time"

	"github.com/joomcode/errorx"
)

// Record is the history of one engine that a lease holder keeps during its term. The
// zero Record belongs to an engine that has not been observed yet.
type Record struct {
	// UnknownOrder is the last order of unknown outcome, or nil.
	UnknownOrder *Order
	// UnknownSentAt is the time at which UnknownOrder was sent.
	UnknownSentAt time.Time
	// Failures is the number of consecutive failed orders.
	Failures int
	// NotBefore is the earliest time for the next order.
	NotBefore time.Time
	// IdleSince maps each loaded item to the time since when it has been observed
	// without requests in flight, the zero time if it is in use.
	IdleSince map[Item]time.Time
}

// Observe returns the record updated with an observed state.
func (r Record) Observe(observation Observation) Record {
	idle := make(map[Item]time.Time, len(observation.State.Loaded))
	for _, loaded := range observation.State.Loaded {
		_, repeated := idle[loaded.Item]
		since := r.IdleSince[loaded.Item]
		switch {
		case loaded.Active > 0:
			idle[loaded.Item] = time.Time{}
		case repeated: // already recorded; an item is in use if any of its entries is
		case since.IsZero():
			idle[loaded.Item] = observation.ReadStarted
		default:
			idle[loaded.Item] = since
		}
	}
	r.IdleSince = idle
	return r
}

// AfterOrder returns the record updated with the result err of an order that was sent at
// sentAt and ended at now. A nil error clears failures and the unknown order.
func (r Record) AfterOrder(o Order, sentAt, now time.Time, err error, p Policy) Record {
	if err == nil {
		return Record{IdleSince: r.IdleSince}
	}
	r.Failures++
	r.NotBefore = now.Add(p.backoff(r.Failures))
	if !isDefinite(err) {
		r.UnknownOrder = &o
		r.UnknownSentAt = sentAt
	}
	return r
}

// isDefinite reports whether the error means that the order was certainly not applied.
func isDefinite(err error) bool {
	return errorx.IsOfType(err, ErrFenced) ||
		errorx.IsOfType(err, ErrRefused) ||
		errorx.IsOfType(err, ErrThrottled)
}

// mayArrive reports whether the order of unknown outcome may still reach the engine
// after the observation.
func (r Record) mayArrive(observation Observation, p Policy) bool {
	if r.UnknownOrder == nil || !observation.ReadStarted.Before(r.UnknownSentAt.Add(p.LongestOrder)) {
		return false
	}
	return !r.hasArrived(observation)
}

// hasArrived reports whether the observed state is the result of the order of unknown
// outcome.
func (r Record) hasArrived(observation Observation) bool {
	return observation.ReadStarted.After(r.UnknownSentAt) &&
		observation.State.Generation == r.UnknownOrder.Generation &&
		observation.State.Role == r.UnknownOrder.Role &&
		slices.Equal(normalized(observation.State.Target), r.UnknownOrder.Items)
}

// itemsInUse returns the loaded items that must not be unloaded: those not yet idle for
// UnloadDelay, and the versions that adapters among them need.
func (r Record) itemsInUse(now time.Time, p Policy) []Item {
	var items []Item
	for item, since := range r.IdleSince {
		if since.IsZero() || now.Sub(since) < p.UnloadDelay {
			items = append(items, item, Item{Version: item.Version})
		}
	}
	return normalized(items)
}

// isIdle reports whether all items of the engine have been idle for UnloadDelay.
func (r Record) isIdle(now time.Time, p Policy) bool {
	return len(r.itemsInUse(now, p)) == 0
}
