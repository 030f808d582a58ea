// Package members lists the VMs and the addresses at which they serve each other.
// Each VM writes one row to the platform's store at its start, and again if a listing
// lacks it because the store was restored from an older copy. Rows of stopped VMs
// are not deleted, so callers have to expect that a VM doesn't answer.
package members

import (
	"context"
	"encoding/json"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/internal/watch"
	"github.com/poplarshore/poplarshore/vm"
)

// Prefix is the prefix of the rows' keys; the VM's ID follows.
const Prefix = "vm/"

// Member is the row of one VM.
type Member struct {
	ID     vm.ID     `json:"-"`
	Domain domain.ID `json:"domain"`
	// Hints is the UDP address at which the VM receives hints on expensive
	// requests.
	Hints netip.AddrPort `json:"hints"`
	// Feed is the HTTP address at which the VM serves its copies of the store's
	// tables.
	Feed netip.AddrPort `json:"feed"`
}

// List is the list of the other VMs. One goroutine updates it by Reset and Change;
// the other methods are safe for concurrent use.
type List struct {
	self  vm.ID
	table string
	log   *slog.Logger
	all   atomic.Pointer[map[vm.ID]Member]
	// ownRowListed reports whether the last known rows include this VM's row;
	// ownRowMissing receives a value when a listing lacks it.
	ownRowListed  atomic.Bool
	ownRowMissing chan struct{}
}

// NewList returns an empty list of the VMs other than self. The table is the one
// that Announce writes to.
func NewList(self vm.ID, table string, log *slog.Logger) *List {
	l := &List{self: self, table: table, log: log, ownRowMissing: make(chan struct{}, 1)}
	l.all.Store(&map[vm.ID]Member{})
	return l
}

// Others returns the other VMs by ID. Callers must not change the map.
func (l *List) Others() map[vm.ID]Member { return *l.all.Load() }

// Reset replaces the list by the rows of a listing of the table.
func (l *List) Reset(b watch.Batch) {
	l.ownRowListed.Store(false)
	l.apply(make(map[vm.ID]Member), b.Rows)
	if l.ownRowListed.Load() {
		return
	}
	select {
	case l.ownRowMissing <- struct{}{}:
	default:
	}
}

// Change applies changed rows of the table.
func (l *List) Change(b watch.Batch) { l.apply(maps.Clone(l.Others()), b.Rows) }

// apply applies the rows to the map all and publishes it as the new list. A row that
// can't be decoded removes its VM.
func (l *List) apply(all map[vm.ID]Member, rows []watch.Row) {
	for _, r := range rows {
		name, ok := strings.CutPrefix(r.Key, Prefix)
		id := vm.ID(name)
		if !ok {
			continue
		}
		if id == l.self {
			l.ownRowListed.Store(!r.Deleted)
			continue
		}
		delete(all, id)
		if r.Deleted {
			continue
		}
		var m Member
		if err := json.Unmarshal(r.Value, &m); err != nil {
			l.log.Warn("VM removed from the list, can't decode its row", "key", r.Key, "revision", r.Revision, "error", err)
			continue
		}
		m.ID = id
		all[id] = m
	}
	l.all.Store(&all)
}

// Filter returns the other VMs that match, sorted by ID.
func (l *List) Filter(match func(Member) bool) []Member {
	others := l.Others()
	var matching []Member
	for _, id := range slices.Sorted(maps.Keys(others)) {
		if m := others[id]; match(m) {
			matching = append(matching, m)
		}
	}
	return matching
}

const (
	// announceRetryDelay is the pause after a failure to write the VM's row.
	announceRetryDelay = time.Second
	// minRewriteDelay is the least time between a listing without the VM's row and the
	// check whether the row has to be written again; the VM's first write may still be on
	// its way. rewriteSpreadPerVM spreads the writes of all VMs after a restore.
	minRewriteDelay    = 500 * time.Millisecond
	rewriteSpreadPerVM = 10 * time.Millisecond
)

// Announce writes the row of this VM, and again whenever a listing lacks it, until ctx
// ends.
func (l *List) Announce(ctx context.Context, m Member, writer watch.Writer, clock clockwork.Clock) {
	value, err := json.Marshal(m)
	if err != nil {
		l.log.Error("can't encode this VM's row, other VMs won't find it", "error", err)
		return
	}
	put := watch.Change{Puts: []watch.Put{{Table: l.table, Key: Prefix + string(l.self), Value: value}}}
	l.write(ctx, put, writer, clock)
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.ownRowMissing:
		}
		spread := time.Duration(len(l.Others())+1) * rewriteSpreadPerVM
		if !sleep(ctx, clock, minRewriteDelay+rand.N(spread)) {
			return
		}
		if !l.ownRowListed.Load() {
			l.log.Info("this VM's row is missing in the store, writing it again")
			l.write(ctx, put, writer, clock)
		}
	}
}

// write writes the VM's row and retries until that succeeds or ctx ends.
func (l *List) write(ctx context.Context, put watch.Change, writer watch.Writer, clock clockwork.Clock) {
	for {
		err := writer.Commit(ctx, put)
		if err == nil || ctx.Err() != nil {
			return
		}
		l.log.Warn("this VM's row not written, retrying", "error", err)
		if !sleep(ctx, clock, announceRetryDelay) {
			return
		}
	}
}

// sleep waits for d and returns false if ctx ends before that.
func sleep(ctx context.Context, clock clockwork.Clock, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-clock.After(d):
		return true
	}
}
