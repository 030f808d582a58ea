// Package members lists the VMs and the addresses at which they serve each other.
// Each VM writes one row to the platform's store at its start. Rows of stopped VMs
// are not deleted, so callers have to expect that a VM doesn't answer.
package members

import (
	"context"
	"encoding/json"
	"log/slog"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"sync/atomic"
	"time"

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
}

// NewList returns an empty list of the VMs other than self. The table is the one
// that Announce writes to.
func NewList(self vm.ID, table string, log *slog.Logger) *List {
	l := &List{self: self, table: table, log: log}
	l.all.Store(&map[vm.ID]Member{})
	return l
}

// Others returns the other VMs by ID. Callers must not change the map.
func (l *List) Others() map[vm.ID]Member { return *l.all.Load() }

// Reset replaces the list by the rows of a listing of the table.
func (l *List) Reset(b watch.Batch) { l.apply(make(map[vm.ID]Member), b.Rows) }

// Change applies changed rows of the table.
func (l *List) Change(b watch.Batch) { l.apply(maps.Clone(l.Others()), b.Rows) }

// apply applies the rows to the map all and publishes it as the new list. A row that
// can't be decoded removes its VM.
func (l *List) apply(all map[vm.ID]Member, rows []watch.Row) {
	for _, r := range rows {
		name, ok := strings.CutPrefix(r.Key, Prefix)
		id := vm.ID(name)
		if !ok || id == l.self {
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

// announceRetryDelay is the pause after a failure to write the VM's row.
const announceRetryDelay = time.Second

// Announce writes the row of this VM, retries until that succeeds, and then waits
// until ctx ends.
func (l *List) Announce(ctx context.Context, m Member, writer watch.Writer) {
	value, err := json.Marshal(m)
	if err != nil {
		l.log.Error("can't encode this VM's row, other VMs won't find it", "error", err)
		return
	}
	for ctx.Err() == nil {
		err := writer.Commit(ctx,
			watch.Change{Puts: []watch.Put{{Table: l.table, Key: Prefix + string(l.self), Value: value}}})
		if err == nil {
			break
		}
		l.log.Warn("this VM's row not written, retrying", "error", err)
		select {
		case <-ctx.Done():
		case <-time.After(announceRetryDelay):
		}
	}
	<-ctx.Done()
}
