package blame

import (
	"context"

	"github.com/poplarshore/poplarshore/coord/store"
	"github.com/poplarshore/poplarshore/internal/watch"
)

// table is the store's table with one row.
type table struct {
	row     watch.Row
	changed bool
}

// Commit implements watch.Writer.
func (t *table) Commit(_ context.Context, c watch.Change) error {
	if c.Expected[0].Revision != t.row.Revision {
		return store.ErrConflict.New("revision %d", t.row.Revision)
	}
	t.row = watch.Row{Key: c.Puts[0].Key, Value: c.Puts[0].Value, Revision: t.row.Revision + 1}
	t.changed = true
	return nil
}

func (t *table) listing() watch.Batch {
	b := watch.Batch{At: t.row.Revision}
	if t.row.Revision > 0 {
		b.Rows = []watch.Row{t.row}
	}
	return b
}

// takeChange reports whether the row has changed since the last call.
func (t *table) takeChange() bool {
	changed := t.changed
	t.changed = false
	return changed
}
