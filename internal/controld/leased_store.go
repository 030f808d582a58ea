package controld

import (
	"context"
	"time"

	"github.com/poplarshore/poplarshore/coord/lease"
	"github.com/poplarshore/poplarshore/coord/store"
)

// leasedTable is a table that rejects writes with store.ErrUnavailable unless the lease
// is valid, and limits each operation to timeout.
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
	if err := checkLease(t.lease); err != nil {
		return "", err
	}
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	return t.Table.Insert(ctx, key, value)
}

// Update implements store.Table.
func (t *leasedTable) Update(ctx context.Context, key string, value []byte, prev store.Version) (store.Version, error) {
	if err := checkLease(t.lease); err != nil {
		return "", err
	}
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	return t.Table.Update(ctx, key, value, prev)
}

// Delete implements store.Table.
func (t *leasedTable) Delete(ctx context.Context, key string, prev store.Version) error {
	if err := checkLease(t.lease); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	return t.Table.Delete(ctx, key, prev)
}

// leasedObjects is an object store that rejects writes with store.ErrUnavailable unless
// the lease is valid, and limits each operation to timeout.
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
	if err := checkLease(o.lease); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	return o.Objects.Create(ctx, key, body)
}

// Delete implements store.Objects.
func (o *leasedObjects) Delete(ctx context.Context, key string) error {
	if err := checkLease(o.lease); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	return o.Objects.Delete(ctx, key)
}

// checkLease returns store.ErrUnavailable unless the lease is valid. Callers then know
// that nothing was written.
func checkLease(l *lease.Lease) error {
	if err := l.Check(); err != nil {
		return store.ErrUnavailable.Wrap(err, "write rejected without a valid lease of job %q", l.Job())
	}
	return nil
}
