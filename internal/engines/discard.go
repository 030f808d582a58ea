package engines

import (
	"time"

	"github.com/poplarshore/poplarshore/upstream"
)

// discarded is an upstream whose entry was overwritten by an invalid one.
type discarded struct {
	engine *Engine
	at     time.Time
}

// Discard handles an entry that is invalid: the upstream that had it gets no new requests from now
// on, also during an outage of the store, as the entry was overwritten and not expired. What is
// known of the upstream is kept for removalMemory, so that one that writes its entry again is not
// taken for a new one, which would get few requests.
func (d *Directory) Discard(id upstream.ID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.withheld, id)
	e := d.byID[id]
	if e == nil {
		return
	}
	d.evict(id, "entry invalid")
	d.discarded[id] = discarded{engine: e, at: d.clock.Now()}
	d.rebuildIndex()
}

// readopt returns the discarded upstream that the entry belongs to, or nil. One without a start
// time can't be told from a later incarnation. The caller holds mu, as for forgetDiscarded.
func (d *Directory) readopt(e Entry) *Engine {
	kept, ok := d.discarded[e.ID]
	delete(d.discarded, e.ID)
	if !ok || e.Incarnation == 0 || kept.engine.entry().Incarnation != e.Incarnation || kept.engine.entry().Address != e.Address {
		return nil
	}
	kept.engine.removed.Store(false)
	d.byID[e.ID] = kept.engine
	d.attach(kept.engine)
	d.log.Info("upstream entry is valid again", "upstream", e.ID, "service", e.Service, "after", d.clock.Since(kept.at))
	return kept.engine
}

// forgetDiscarded forgets the upstreams whose entries have been invalid for removalMemory.
func (d *Directory) forgetDiscarded() {
	for id, kept := range d.discarded {
		if d.clock.Since(kept.at) > removalMemory {
			delete(d.discarded, id)
		}
	}
}
