// Package store defines the two storage ports that the coordination packages
// need: a transactional key-value table and an object store, together with the
// three possible outcomes of a write.
//
// A write either took effect, did not take effect, or its outcome is unknown
// because the reply was lost. Implementations report the third outcome with
// ErrUnknown; callers settle it by reading back, never by assuming.
package store

import (
	"context"

	"github.com/joomcode/errorx"
)

var namespace = errorx.NewNamespace("store")

var (
	// ErrNotFound reports that the key does not exist.
	ErrNotFound = namespace.NewType("not_found", errorx.NotFound())
	// ErrExists reports that an insert or create found the key taken.
	// Nothing was written.
	ErrExists = namespace.NewType("exists", errorx.Duplicate())
	// ErrConflict reports that the row's version was not the expected one.
	// Nothing was written.
	ErrConflict = namespace.NewType("conflict")
	// ErrUnavailable reports that the store did not take the operation.
	// Nothing was written.
	ErrUnavailable = namespace.NewType("unavailable", errorx.Temporary())
	// ErrUnknown reports that a write may or may not have taken effect.
	ErrUnknown = namespace.NewType("unknown", errorx.Timeout())
	// ErrInvalid reports a malformed key, an oversize value or a malformed reply.
	ErrInvalid = namespace.NewType("invalid")
)

// Version is the opaque version of a row, an entity tag on the wire.
// The empty version stands for no row.
type Version string

// Row is one row of the table.
type Row struct {
	Key     string
	Value   []byte
	Version Version
}

// Table is a transactional key-value table. Every operation is atomic for its
// key and linearizable.
type Table interface {
	// Get returns the row. Errors: ErrNotFound, ErrUnavailable.
	Get(ctx context.Context, key string) (Row, error)
	// Insert creates the row if the key is absent and returns its version.
	// Errors: ErrExists, ErrUnavailable, ErrUnknown.
	Insert(ctx context.Context, key string, value []byte) (Version, error)
	// Update replaces the row if its version is prev and returns the new version.
	// Errors: ErrConflict (also for an absent row), ErrUnavailable, ErrUnknown.
	Update(ctx context.Context, key string, value []byte, prev Version) (Version, error)
	// Delete removes the row if its version is prev.
	// Errors: ErrConflict (also for an absent row), ErrUnavailable, ErrUnknown.
	Delete(ctx context.Context, key string, prev Version) error
	// Scan returns at most limit rows with the prefix and keys greater than
	// after, in key order. Errors: ErrUnavailable.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
}

// Objects is an object store whose objects never change once created.
type Objects interface {
	// Create stores the object if the key is absent.
	// Errors: ErrExists, ErrUnavailable, ErrUnknown.
	Create(ctx context.Context, key string, body []byte) error
	// Get returns the object's body. Errors: ErrNotFound, ErrUnavailable.
	Get(ctx context.Context, key string) ([]byte, error)
	// List returns at most limit keys with the prefix, greater than after, in
	// key order. A listing may lag behind recent creations.
	// Errors: ErrUnavailable.
	List(ctx context.Context, prefix, after string, limit int) ([]string, error)
	// Delete removes the object; an absent one is no error.
	// Errors: ErrUnavailable, ErrUnknown.
	Delete(ctx context.Context, key string) error
}
