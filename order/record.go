package order

import (
	"slices"
	"time"

	"github.com/joomcode/errorx"
)

// Record is what the holder remembers of one engine within its term. The zero
// Record is that of an engine not seen yet.
type Record struct {
	// Unknown is the last order whose outcome is not known.
	Unknown *Order
	// UnknownSince is when that order was sent.
	UnknownSince time.Time
	// Failures counts failed orders in a row.
	Failures int
	// NotBefore is the earliest time of the next order.
	NotBefore time.Time
	// IdleSince tells for each loaded item since when it was seen without
	// requests in flight, the zero time for an item in use.
	IdleSince map[Item]time.Time
}

// Observe returns the record after the engine's state was read.
func (r Record) Observe(o Observation) Record {
	idle := make(map[Item]time.Time, len(o.State.Loaded))
	for _, loaded := range o.State.Loaded {
		_, twice := idle[loaded.Item]
		since := r.IdleSince[loaded.Item]
		switch {
		case loaded.Active > 0:
			idle[loaded.Item] = time.Time{}
		case twice: // as for the first, in use or not
		case since.IsZero():
			idle[loaded.Item] = o.Began
		default:
			idle[loaded.Item] = since
		}
	}
	r.IdleSince = idle
	return r
}

// After returns the record after an order that was sent at the time sent ended
// with err at the time now.
func (r Record) After(o Order, sent, now time.Time, err error, p Policy) Record {
	if err == nil {
		return Record{IdleSince: r.IdleSince}
	}
	r.Failures++
	r.NotBefore = now.Add(p.backoff(r.Failures))
	if !isDefinite(err) {
		r.Unknown = &o
		r.UnknownSince = sent
	}
	return r
}

// isDefinite reports whether the error tells that the order was not carried out.
func isDefinite(err error) bool {
	return errorx.IsOfType(err, ErrFenced) ||
		errorx.IsOfType(err, ErrRefused) ||
		errorx.IsOfType(err, ErrThrottled)
}

// open reports whether an order of unknown outcome may still arrive after the
// observation was made.
func (r Record) open(o Observation, p Policy) bool {
	if r.Unknown == nil || !o.Began.Before(r.UnknownSince.Add(p.LongestOrder)) {
		return false
	}
	return !r.arrived(o)
}

// arrived reports whether the observation shows the order of unknown outcome.
func (r Record) arrived(o Observation) bool {
	return o.Began.After(r.UnknownSince) &&
		o.State.Generation == r.Unknown.Generation &&
		o.State.Role == r.Unknown.Role &&
		slices.Equal(normalized(o.State.Target), r.Unknown.Items)
}

// inUse returns the loaded items that have to stay: those not idle for long
// enough, and the versions that such adapters need.
func (r Record) inUse(now time.Time, p Policy) []Item {
	var items []Item
	for item, since := range r.IdleSince {
		if since.IsZero() || now.Sub(since) < p.UnloadDelay {
			items = append(items, item, Item{Version: item.Version})
		}
	}
	return normalized(items)
}

// idle reports whether the whole engine has been idle for long enough.
func (r Record) idle(now time.Time, p Policy) bool {
	return len(r.inUse(now, p)) == 0
}
