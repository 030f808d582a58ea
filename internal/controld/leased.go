package controld

import (
	"context"
	"time"

	"github.com/poplarshore/poplarshore/coord/lease"
	"github.com/poplarshore/poplarshore/coord/store"
)

// leasedTable is a table that takes writes only while the lease is held, and
// limits the time of each operation.
type leasedTable struct {
	store.Table
	lease   *lease.Lease
	timeout time.Duration
}

// Get implements store.Table.
func (t *leasedTable) Get(ctx context.Context, key string) (store.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	return t.Table.Get(ctx, key)
}

// Scan implements store.Table.
func (t *leasedTable) Scan(ctx context.Context, prefix, after string, limit int) ([]store.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	return t.Table.Scan(ctx, prefix, after, limit)
}

// Insert implements store.Table.
func (t *leasedTable) Insert(ctx context.Context, key string, value []byte) (store.Version, error) {
	if err := held(t.lease); err != nil {
		return "", err
	}
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	return t.Table.Insert(ctx, key, value)
}

// Update implements store.Table.
func (t *leasedTable) Update(ctx context.Context, key string, value []byte, prev store.Version) (store.Version, error) {
	if err := held(t.lease); err != nil {
		return "", err
	}
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	return t.Table.Update(ctx, key, value, prev)
}

// Delete implements store.Table.
func (t *leasedTable) Delete(ctx context.Context, key string, prev store.Version) error {
	if err := held(t.lease); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	return t.Table.Delete(ctx, key, prev)
}

// leasedObjects is an object store that takes writes only while the lease is
// held, and limits the time of each operation.
type leasedObjects struct {
	store.Objects
	lease   *lease.Lease
	timeout time.Duration
}

// Get implements store.Objects.
func (o *leasedObjects) Get(ctx context.Context, key string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	return o.Objects.Get(ctx, key)
}

// List implements store.Objects.
func (o *leasedObjects) List(ctx context.Context, prefix, after string, limit int) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	return o.Objects.List(ctx, prefix, after, limit)
}

// Create implements store.Objects.
func (o *leasedObjects) Create(ctx context.Context, key string, body []byte) error {
	if err := held(o.lease); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	return o.Objects.Create(ctx, key, body)
}

// Delete implements store.Objects.
func (o *leasedObjects) Delete(ctx context.Context, key string) error {
	if err := held(o.lease); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	return o.Objects.Delete(ctx, key)
}

// held returns an error of the store's while the lease is not held.
func held(l *lease.Lease) error {
	if err := l.Check(); err != nil {
		return store.ErrUnavailable.Wrap(err, "job %q", l.Job())
	}
	return nil
}
