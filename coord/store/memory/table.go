// Package memory implements store.Table and store.Objects in memory, for tests and
// simulated platforms. A test can inject a fault into each operation.
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

// entry is the stored value of one row.
type entry struct {
	value    []byte
	revision uint64
}

// Table is an in-memory store.Table. Create it with NewTable.
type Table struct {
	// Faults selects the fault of each operation. Nil means no faults. It must not be
	// changed during an operation.
	Faults Injector

	*rows
}

// rows is the state shared by all clients of one table.
type rows struct {
	mu           sync.Mutex
	rows         map[string]entry
	lastRevision uint64
	counter      Counter
	delayed      []func() error
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{rows: &rows{rows: make(map[string]entry)}}
}

// Client returns a table that shares the rows and counters of t but has its own
// faults.
func (t *Table) Client(faults Injector) *Table {
	return &Table{Faults: faults, rows: t.rows}
}

// Deliver applies the writes delayed by the fault Late so far, of all clients, in the
// order in which they were sent. Their results are discarded.
func (t *Table) Deliver() {
	t.mu.Lock()
	delayed := t.delayed
	t.delayed = nil
	t.mu.Unlock()
	for _, apply := range delayed {
		_ = apply()
	}
}

// Counts returns the number of operations of all clients that have reached the rows.
func (t *Table) Counts() Counter {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counter
}

// Get implements store.Table.
func (t *Table) Get(ctx context.Context, key string) (store.Row, error) {
	if err := t.injector().read(ctx, OpGet, key); err != nil {
		return store.Row{}, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counter.Reads++
	e, ok := t.rows.rows[key]
	if !ok {
		return store.Row{}, store.ErrNotFound.New("row %q does not exist", key)
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
			return store.ErrExists.New("row %q already exists", key)
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
		if err := t.checkVersion(key, prev); err != nil {
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
		if err := t.checkVersion(key, prev); err != nil {
			return err
		}
		delete(t.rows.rows, key)
		return nil
	})
}

// Scan implements store.Table.
func (t *Table) Scan(ctx context.Context, prefix, after string, limit int) ([]store.Row, error) {
	if err := t.injector().read(ctx, OpScan, prefix); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counter.Reads++
	var rows []store.Row
	for _, key := range pageKeys(t.rows.rows, prefix, after, limit) {
		rows = append(rows, row(key, t.rows.rows[key]))
	}
	return rows, nil
}

func (t *Table) injector() Injector {
	return orNoFaults(t.Faults)
}

func (t *Table) write(ctx context.Context, op Op, key string, apply func() error) error {
	return t.injector().write(ctx, op, key, apply, t.delay)
}

// delay stores a write until Deliver.
func (t *Table) delay(apply func() error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.delayed = append(t.delayed, apply)
}

// put stores the value under the next revision. The caller must hold mu.
func (t *Table) put(key string, value []byte) store.Version {
	t.lastRevision++
	t.rows.rows[key] = entry{value: bytes.Clone(value), revision: t.lastRevision}
	return version(t.lastRevision)
}

// checkVersion returns ErrConflict unless the row exists at version prev. The caller
// must hold mu.
func (t *Table) checkVersion(key string, prev store.Version) error {
	e, ok := t.rows.rows[key]
	if !ok || version(e.revision) != prev {
		return store.ErrConflict.New("row %q is not at version %q", key, prev)
	}
	return nil
}

func row(key string, e entry) store.Row {
	return store.Row{Key: key, Value: bytes.Clone(e.value), Version: version(e.revision)}
}

func version(revision uint64) store.Version {
	return store.Version(strconv.FormatUint(revision, 10))
}

// pageKeys returns the sorted keys of m that start with prefix and are greater than
// after, at most limit of them if limit is positive.
func pageKeys[V any](m map[string]V, prefix, after string, limit int) []string {
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
