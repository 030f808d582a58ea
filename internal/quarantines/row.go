package quarantines

import (
	"context"
	"encoding/json"
	"maps"
	"time"

	"github.com/joomcode/errorx"

	"github.com/poplarshore/poplarshore/coord/store"
	"github.com/poplarshore/poplarshore/internal/watch"
	"github.com/poplarshore/poplarshore/quarantine"
)

// rowKey is the key of the row with all quarantines. One row bounds their number, and a
// change of it by one VM is seen by the next.
const rowKey = "quarantine"

// rowValue is the value of the row.
type rowValue struct {
	Entries []quarantine.Entry `json:"entries"`
}

// rowState is what is known of the row, and what is to be written to it.
type rowState struct {
	// entries is the value of the row at the revision in the era; revision 0 means that
	// there is no row.
	entries  quarantine.List
	revision watch.Revision
	era      watch.Era
	// foundAt holds when this VM learned of keys that the row lacks.
	foundAt map[quarantine.Key]time.Time
	// requested holds when a key that is kept out was last requested here, on the shared
	// clock, and permits until when one request with the key may be sent as a probe.
	requested map[quarantine.Key]time.Duration
	permits   map[quarantine.Key]time.Time
	// retryAt is when the row may be written again after a write.
	retryAt time.Time
}

func newRowState() rowState {
	return rowState{
		entries: make(quarantine.List), foundAt: make(map[quarantine.Key]time.Time),
		requested: make(map[quarantine.Key]time.Duration), permits: make(map[quarantine.Key]time.Time),
	}
}

const (
	// writeTurn is the time between the turns of two VMs, by rank, to write what all of
	// them found.
	writeTurn = 200 * time.Millisecond
	// rewriteDelay is the time after a write in which its result is awaited.
	rewriteDelay = time.Second
	// permitTime is how long a probe that was granted may be sent.
	permitTime = 30 * time.Second
	// requestedLately is the time within which a key must have been requested for a probe.
	requestedLately = 5 * time.Second
)

// Replace applies a complete listing of the table. What it lacks is written again.
func (g *Guard) Replace(b watch.Batch) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.row.entries, g.row.revision, g.row.era = make(quarantine.List), 0, b.Era
	g.apply(b)
	for key := range g.list {
		if _, stored := g.row.entries[key]; !stored {
			g.row.foundAt[key] = g.clock.Now()
		}
	}
}

// Change applies changed rows of the table.
func (g *Guard) Change(b watch.Batch) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.apply(b)
}

// The caller of the following methods holds mu.

// apply applies the row of quarantines. One that is deleted or can't be decoded, whoever wrote it, holds
// none: what this VM knows is written again on top of it.
func (g *Guard) apply(b watch.Batch) {
	for _, r := range b.Rows {
		if r.Key != rowKey || r.Revision <= g.row.revision {
			continue
		}
		entries := g.decodeRow(r)
		g.row.entries, g.row.revision, g.row.retryAt = make(quarantine.List), r.Revision, time.Time{}
		if r.Deleted {
			g.row.revision = 0
		}
		g.row.entries.Merge(entries...)
		for _, e := range entries {
			g.install(e)
		}
		g.noteUnstored()
	}
}

// decodeRow returns the valid entries of the row.
func (g *Guard) decodeRow(r watch.Row) []quarantine.Entry {
	if r.Deleted {
		return nil
	}
	var value struct {
		Entries []json.RawMessage `json:"entries"`
	}
	if err := json.Unmarshal(r.Value, &value); err != nil {
		g.opts.Log.Error("cannot decode row of quarantines; it is written again", "revision", r.Revision, "error", err)
		return nil
	}
	var entries []quarantine.Entry
	for _, text := range value.Entries {
		var e quarantine.Entry
		err := json.Unmarshal(text, &e)
		if err == nil {
			err = e.Check()
		}
		if err != nil {
			g.opts.Log.Warn("quarantine ignored, can't decode it", "revision", r.Revision, "error", err)
			continue
		}
		entries = append(entries, e)
	}
	return entries
}

// noteUnstored records that this VM now knows of entries that the row lacks.
func (g *Guard) noteUnstored() {
	for key, e := range g.list {
		if _, noted := g.row.foundAt[key]; !noted && !g.isStored(e) {
			g.row.foundAt[key] = g.clock.Now()
		}
	}
}

// lift ends the quarantine of a key.
func (g *Guard) lift(key quarantine.Key, now time.Duration, by string) {
	e, active := g.list.Active(key)
	if !active {
		return
	}
	e.LiftedAt, e.LiftedBy = max(now, e.Since+1), by
	g.install(e)
	g.row.foundAt[key] = time.Time{}
	g.opts.Broadcast(Message{Entries: []quarantine.Entry{e}})
}

// usePermit reports whether a request with the key may be sent as a probe, and uses the
// permit up.
func (g *Guard) usePermit(key quarantine.Key) bool {
	permitted := g.hasPermit(key)
	delete(g.row.permits, key)
	if !permitted {
		return false
	}
	g.metrics.probes.WithLabelValues("sent").Inc()
	g.opts.Log.Info("quarantine: sending a probe", "key", key)
	return true
}

// hasPermit reports whether a request with the key may be sent as a probe.
func (g *Guard) hasPermit(key quarantine.Key) bool {
	until, granted := g.row.permits[key]
	return granted && !g.clock.Now().After(until)
}

// isStored reports whether the row has the entry, or a state of it that is as good.
func (g *Guard) isStored(e quarantine.Entry) bool {
	stored, exists := g.row.entries[e.Key]
	switch {
	case !exists:
		return false
	case !stored.Lifted() && !e.Lifted():
		return stored.Probes >= e.Probes
	}
	return !e.Supersedes(stored)
}

// unstored returns the entries that this VM is to write now.
func (g *Guard) unstored() []quarantine.Entry {
	rank, _ := g.opts.Rank()
	turn := time.Duration(rank) * writeTurn
	var entries []quarantine.Entry
	for key, e := range g.list {
		if g.isStored(e) {
			delete(g.row.foundAt, key)
			continue
		}
		if g.clock.Since(g.row.foundAt[key]) >= turn {
			entries = append(entries, e)
		}
	}
	return entries
}

// dueProbes returns the entries of keys that were requested here lately and may be probed,
// with the probe counted.
func (g *Guard) dueProbes(now time.Duration) []quarantine.Entry {
	var entries []quarantine.Entry
	for key, requestedAt := range g.row.requested {
		e, active := g.list.Active(key)
		if !active || now-requestedAt > requestedLately {
			delete(g.row.requested, key)
			continue
		}
		if next, ok := e.NextProbe(); ok && next <= now && g.isStored(e) {
			e.Probes++
			e.ProbedAt = now
			entries = append(entries, e)
		}
	}
	return entries
}

// Sync writes what the row lacks, and asks for probes: the VM that changes the row sends
// one. It is to be called periodically.
func (g *Guard) Sync(ctx context.Context) {
	now, known := g.opts.SharedClock.Now()
	if !known {
		return
	}
	change, probes, due := g.nextChange(now)
	if !due {
		return
	}
	err := g.opts.Writer.Commit(ctx, change)
	if err != nil {
		if !errorx.IsOfType(err, store.ErrConflict) {
			g.opts.Log.Warn("quarantines not written, retrying", "error", err)
		}
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, e := range probes {
		g.row.permits[e.Key] = g.clock.Now().Add(permitTime)
		g.metrics.probes.WithLabelValues("granted").Inc()
		g.install(e)
	}
}

// nextChange returns the next transaction on the row, and the entries that it grants this
// VM probes of. It returns false if there is nothing to write.
func (g *Guard) nextChange(now time.Duration) (watch.Change, []quarantine.Entry, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.clock.Now().Before(g.row.retryAt) {
		return watch.Change{}, nil, false
	}
	probes := g.dueProbes(now)
	entries := append(g.unstored(), probes...)
	if len(entries) == 0 {
		return watch.Change{}, nil, false
	}
	g.row.retryAt = g.clock.Now().Add(rewriteDelay)
	next := maps.Clone(g.row.entries)
	next.Merge(entries...)
	value, err := json.Marshal(rowValue{Entries: next.Entries()})
	if err != nil {
		g.opts.Log.Error("cannot encode quarantines; they are not written", "error", err)
		return watch.Change{}, nil, false
	}
	return watch.Change{
		Era:      g.row.era,
		Expected: []watch.Expect{{Table: g.opts.Table, Key: rowKey, Revision: g.row.revision}},
		Puts:     []watch.Put{{Table: g.opts.Table, Key: rowKey, Value: value}},
	}, probes, true
}

// Lift ends the quarantine of a key on all VMs. It returns false if there is none.
func (g *Guard) Lift(key quarantine.Key, by string) bool {
	now, known := g.opts.SharedClock.Now()
	if !known {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, active := g.list.Active(key); !active {
		return false
	}
	g.lift(key, now, by)
	return true
}

// Entries returns the quarantines known to this VM, also those that were lifted lately.
func (g *Guard) Entries() []quarantine.Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.list.Entries()
}
