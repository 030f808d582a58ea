package engines

import (
	"time"

	"github.com/poplarshore/poplarshore/upstream"
)

// removal is what is kept of an upstream that was removed.
type removal struct {
	// incarnation is the start time of the upstream, as in Entry.
	incarnation int64
	// leaving reports whether the upstream was known to be leaving.
	leaving bool
	at      time.Time
}

// withheldEntry is the entry of an upstream that is not used until a point in time.
type withheldEntry struct {
	entry Entry
	until time.Time
}

const (
	// removalMemory is how long removed upstreams are remembered. The store is restored
	// from a copy that is at most some seconds old.
	removalMemory = time.Minute
	// withholdTime is how long the entry of a removed upstream is withheld after the
	// store was restored. The store drops the entry of an upstream that sends no more
	// heartbeats in less than this time.
	withholdTime = 6 * time.Second
)

// Restore sets the entries to the first listing after the store was restored from an
// older copy. The entries that are missing may not have been written again yet, so they
// are kept as after an outage. An upstream that this VM saw removed may be listed again
// by the older copy; it is used only once its entry changes, or is still listed after
// withholdTime.
func (d *Directory) Restore(entries []Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.storeDown = false
	d.storeUpAt = d.clock.Now()
	present := make(map[upstream.ID]bool, len(entries))
	for _, e := range entries {
		present[e.ID] = true
		if d.byID[e.ID] == nil && d.wasRemoved(e) {
			d.withheld[e.ID] = withheldEntry{entry: e, until: d.clock.Now().Add(withholdTime)}
			d.log.Info("restored entry of a removed upstream withheld", "upstream", e.ID, "service", e.Service)
			continue
		}
		d.put(e)
	}
	d.removeAbsent(present)
	d.rebuildIndex()
}

// wasRemoved reports whether this incarnation of the upstream was removed lately. The
// caller holds mu, as for refuseRemoved and releaseWithheld.
func (d *Directory) wasRemoved(e Entry) bool {
	r, ok := d.removed[e.ID]
	return ok && r.incarnation == e.Incarnation
}

// refuseRemoved reports whether the entry belongs to an incarnation that was removed
// after it was known to be leaving. Such an upstream does not return.
func (d *Directory) refuseRemoved(e Entry) bool {
	return e.Incarnation != 0 && d.wasRemoved(e) && d.removed[e.ID].leaving
}

// releaseWithheld adds the withheld entries whose time has passed, and forgets old
// removals.
func (d *Directory) releaseWithheld() {
	now := d.clock.Now()
	for id, r := range d.removed {
		if now.Sub(r.at) > removalMemory {
			delete(d.removed, id)
		}
	}
	released := false
	for _, w := range d.withheld {
		if now.Before(w.until) {
			continue
		}
		d.put(w.entry)
		released = true
	}
	if released {
		d.rebuildIndex()
	}
}
