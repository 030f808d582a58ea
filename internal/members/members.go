package members

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"sync/atomic"

	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/internal/netaddr"
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
	// Relay is the HTTP address at which the VM relays requests of other VMs' callers;
	// invalid if it doesn't.
	Relay netip.AddrPort `json:"relay,omitzero"`
	// Callers is the HTTP address at which the VM serves callers, which is that of no upstream;
	// invalid if the VM listens at all addresses, and for older builds.
	Callers netip.AddrPort `json:"callers,omitzero"`
	// PassesEvidence reports that the VM passes evidence on to a part of the VMs
	// (quarantines.Spread). Older builds don't.
	PassesEvidence bool `json:"passes_evidence,omitzero"`
	// KeepsRegions reports that the VM keeps requests in the regions in which they may be
	// served. Older builds don't, so that they get no restricted request to relay.
	KeepsRegions bool `json:"keeps_regions,omitzero"`
	// KeepsConfigs reports that the VM handles requests that it relays by the configuration that was
	// in force when they began. Older builds handle them by the newest one.
	KeepsConfigs bool `json:"keeps_configs,omitzero"`
}

// List is the list of the other VMs. One goroutine updates it by Reset and Change;
// the other methods are safe for concurrent use.
type List struct {
	self  vm.ID
	table string
	log   *slog.Logger
	all   atomic.Pointer[map[vm.ID]Member]
	// ownRow is the value of this VM's row in the last known rows, nil without one.
	// ownRowRead receives a value after each listing and each change of that row.
	ownRow     atomic.Pointer[[]byte]
	ownRowRead chan struct{}
}

// NewList returns an empty list of the VMs other than self. The table is the one
// that Announce writes to.
func NewList(self vm.ID, table string, log *slog.Logger) *List {
	l := &List{self: self, table: table, log: log, ownRowRead: make(chan struct{}, 1)}
	l.all.Store(&map[vm.ID]Member{})
	return l
}

// Others returns the other VMs by ID. Callers must not change the map.
func (l *List) Others() map[vm.ID]Member { return *l.all.Load() }

// Rank returns the position of this VM among all VMs by ID, from 0, and their number.
func (l *List) Rank() (rank, vms int) {
	others := l.Others()
	for id := range others {
		if id < l.self {
			rank++
		}
	}
	return rank, len(others) + 1
}

// Listed reports whether the last known rows include this VM's row. Otherwise the list may be
// empty or lack others, too, and other VMs may not know this one.
func (l *List) Listed() bool {
	row := l.ownRow.Load()
	return row != nil && len(*row) > 0
}

// Reset replaces the list by the rows of a listing of the table.
func (l *List) Reset(b watch.Batch) {
	ownKey := Prefix + string(l.self)
	if !slices.ContainsFunc(b.Rows, func(r watch.Row) bool { return r.Key == ownKey && !r.Deleted }) {
		l.ownRow.Store(nil)
	}
	l.apply(make(map[vm.ID]Member), b.Rows)
	l.signalOwnRow()
}

// signalOwnRow notifies the Announcer that this VM's row may have changed.
func (l *List) signalOwnRow() {
	select {
	case l.ownRowRead <- struct{}{}:
	default:
	}
}

// hasOwnRow reports whether the last known rows include this VM's row with the value.
func (l *List) hasOwnRow(value []byte) bool {
	current := l.ownRow.Load()
	return current != nil && bytes.Equal(*current, value)
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
			l.ownRow.Store(&r.Value)
			l.signalOwnRow()
			continue
		}
		delete(all, id)
		if r.Deleted {
			continue
		}
		m, err := decode(id, r.Value)
		if err != nil {
			l.log.Warn("VM removed from the list, can't decode its row", "key", r.Key, "revision", r.Revision, "error", err)
			continue
		}
		all[id] = m
	}
	l.all.Store(&all)
}

// ErrInvalidRow reports a VM's row that can't be decoded or names no address at which the VM can be reached.
var ErrInvalidRow = namespace.NewType("invalid_row")

// maxIDBytes bounds the ID of a VM. Keys of the store have at most as many bytes.
const maxIDBytes = 200

// decode decodes a VM's row. An address of a VM that listens at all its addresses counts as missing.
// Another writer's row may lack all addresses, or name ones that aren't those of one machine. Errors:
// ErrInvalidRow.
func decode(id vm.ID, value []byte) (Member, error) {
	var m Member
	if err := json.Unmarshal(value, &m); err != nil {
		return Member{}, ErrInvalidRow.Wrap(err, "decode row of VM %q", id)
	}
	if id == "" || len(id) > maxIDBytes {
		return Member{}, ErrInvalidRow.New("row of a VM with the invalid ID %q", id)
	}
	known := 0
	for _, address := range []*netip.AddrPort{&m.Hints, &m.Feed, &m.Relay, &m.Callers} {
		if address.Addr().Unmap().IsUnspecified() {
			*address = netip.AddrPort{}
		}
		if !address.IsValid() {
			continue
		}
		if !netaddr.IsUnicast(*address) {
			return Member{}, ErrInvalidRow.New("row of VM %q: %s is not the address of one machine", id, address)
		}
		known++
	}
	if known == 0 {
		return Member{}, ErrInvalidRow.New("row of VM %q without an address", id)
	}
	m.ID = id
	return m, nil
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
