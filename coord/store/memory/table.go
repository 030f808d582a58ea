// Package memory implements the storage ports in memory for tests and
// stand-ins, with faults that a test injects before each operation.
package memory

import (
	"bytes"
	"context"
	"sort"
	"strconv"
	"strings"
	"sync"

	"github.com/poplarshore/poplarshore/coord/store"
)

var (
	_ store.Table   = (*Table)(nil)
	_ store.Objects = (*Objects)(nil)
)

type entry struct {
	value []byte
	rev   uint64
}

// Table is an in-memory store.Table.
type Table struct {
	// Faults decides the fate of each operation. Nil means no faults.
	Faults Injector

	*rows
}

// rows is the content that the clients of one table share.
type rows struct {
	mu      sync.Mutex
	rows    map[string]entry
	rev     uint64
	counter Counter
	late    []func() error
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{rows: &rows{rows: make(map[string]entry)}}
}

// Client returns a table with the same rows and faults of its own.
func (t *Table) Client(faults Injector) *Table {
	return &Table{Faults: faults, rows: t.rows}
}

// Deliver applies the writes that the fault Late has held back so far, in the
// order in which they were sent.
func (t *Table) Deliver() {
	t.mu.Lock()
	late := t.late
	t.late = nil
	t.mu.Unlock()
	for _, apply := range late {
		_ = apply()
	}
}

// Counts returns how many operations the table has been asked for.
func (t *Table) Counts() Counter {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counter
}

// Get implements store.Table.
func (t *Table) Get(ctx context.Context, key string) (store.Row, error) {
	if err := t.faults().read(ctx, OpGet, key); err != nil {
		return store.Row{}, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counter.Reads++
	e, ok := t.rows.rows[key]
	if !ok {
		return store.Row{}, store.ErrNotFound.New("row %q", key)
	}
	return row(key, e), nil
}

// Insert implements store.Table.
func (t *Table) Insert(ctx context.Context, key string, value []byte) (store.Version, error) {
	var v store.Version
	err := t.write(ctx, OpInsert, key, func() error {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.counter.Writes++
		if _, ok := t.rows.rows[key]; ok {
			return store.ErrExists.New("row %q", key)
		}
		v = t.put(key, value)
		return nil
	})
	return v, err
}

// Update implements store.Table.
func (t *Table) Update(ctx context.Context, key string, value []byte, prev store.Version) (store.Version, error) {
	var v store.Version
	err := t.write(ctx, OpUpdate, key, func() error {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.counter.Writes++
		if err := t.expect(key, prev); err != nil {
			return err
		}
		v = t.put(key, value)
		return nil
	})
	return v, err
}

// Delete implements store.Table.
func (t *Table) Delete(ctx context.Context, key string, prev store.Version) error {
	return t.write(ctx, OpDelete, key, func() error {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.counter.Writes++
		if err := t.expect(key, prev); err != nil {
			return err
		}
		delete(t.rows.rows, key)
		return nil
	})
}

// Scan implements store.Table.
func (t *Table) Scan(ctx context.Context, prefix, after string, limit int) ([]store.Row, error) {
	if err := t.faults().read(ctx, OpScan, prefix); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counter.Reads++
	var rows []store.Row
	for _, key := range page(t.rows.rows, prefix, after, limit) {
		rows = append(rows, row(key, t.rows.rows[key]))
	}
	return rows, nil
}

func (t *Table) faults() Injector {
	return orNone(t.Faults)
}

func (t *Table) write(ctx context.Context, op Op, key string, apply func() error) error {
	return t.faults().write(ctx, op, key, apply, t.holdBack)
}

func (t *Table) holdBack(apply func() error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.late = append(t.late, apply)
}

func (t *Table) put(key string, value []byte) store.Version {
	t.rev++
	t.rows.rows[key] = entry{value: bytes.Clone(value), rev: t.rev}
	return version(t.rev)
}

func (t *Table) expect(key string, prev store.Version) error {
	e, ok := t.rows.rows[key]
	if !ok || version(e.rev) != prev {
		return store.ErrConflict.New("row %q is not at version %q", key, prev)
	}
	return nil
}

func row(key string, e entry) store.Row {
	return store.Row{Key: key, Value: bytes.Clone(e.value), Version: version(e.rev)}
}

func version(rev uint64) store.Version {
	return store.Version(strconv.FormatUint(rev, 10))
}

// page returns at most limit sorted keys of m with the prefix, greater than after.
func page[V any](m map[string]V, prefix, after string, limit int) []string {
	var keys []string
	for key := range m {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	if limit > 0 && len(keys) > limit {
		keys = keys[:limit]
	}
	return keys
}
