// Package store defines the two storage interfaces that the coordination packages
// depend on, a transactional key-value table and an object store, and the errors that
// implementations return.
//
// A write has one of three outcomes: it took effect, it had no effect, or the outcome
// is unknown because the reply was lost. Implementations report the third with
// ErrUnknown, and a caller must read the row or object back to determine what
// happened. Package settle does this for tables.
package store

import (
	"context"

	"github.com/joomcode/errorx"
)

var namespace = errorx.NewNamespace("store")

// Errors of Table and Objects. Implementations may wrap a cause; test for them with
// errorx.IsOfType.
var (
	// ErrNotFound reports that the key does not exist.
	ErrNotFound = namespace.NewType("not_found", errorx.NotFound())
	// ErrExists reports that Insert or Create failed because the key exists.
	// Nothing was written.
	ErrExists = namespace.NewType("exists", errorx.Duplicate())
	// ErrConflict reports that the row's version differs from the expected one, or
	// that the row does not exist. Nothing was written.
	ErrConflict = namespace.NewType("conflict")
	// ErrUnavailable reports that the store did not perform the operation. Nothing
	// was written, and the operation may be repeated.
	ErrUnavailable = namespace.NewType("unavailable", errorx.Temporary())

	// ErrConnectionLost reports a read that had no answer over a connection that had been used before, or on which the read
	// waited. The connection may have been lost while the store answers new ones.
	ErrConnectionLost = ErrUnavailable.NewSubtype("connection_lost")
	// ErrUnknown reports that a write may have taken effect, may have had no effect,
	// or may still take effect later.
	ErrUnknown = namespace.NewType("unknown", errorx.Timeout())
	// ErrInvalid reports a malformed key, an oversized value or a malformed reply.
	// Every operation of Table and Objects may return it. A write that returns it
	// had no effect.
	ErrInvalid = namespace.NewType("invalid")
)

// Version is the opaque version of a row, transmitted as an entity tag. Versions can
// be compared for equality only. The empty version means that there is no row.
type Version string

// Row is one row of a table, as read or written.
type Row struct {
	Key     string
	Value   []byte
	Version Version
}

// Table is a transactional key-value table. Operations are atomic per key and
// linearizable. Implementations must be safe for concurrent use.
type Table interface {
	// Get returns the row with the key. Errors: ErrNotFound, ErrUnavailable.
	Get(ctx context.Context, key string) (Row, error)
	// Insert creates the row if the key does not exist and returns its version.
	// Errors: ErrExists, ErrUnavailable, ErrUnknown.
	Insert(ctx context.Context, key string, value []byte) (Version, error)
	// Update replaces the row if its version is prev and returns the new version.
	// Errors: ErrConflict (also if there is no row), ErrUnavailable, ErrUnknown.
	Update(ctx context.Context, key string, value []byte, prev Version) (Version, error)
	// Delete removes the row if its version is prev.
	// Errors: ErrConflict (also if there is no row), ErrUnavailable, ErrUnknown.
	Delete(ctx context.Context, key string, prev Version) error
	// Scan returns at most limit rows whose keys start with prefix and are greater
	// than after, in key order. Pass the last key returned as after to get the next
	// rows. Errors: ErrUnavailable.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
}

// Objects is an object store whose objects are immutable once created.
// Implementations must be safe for concurrent use.
type Objects interface {
	// Create stores the object if the key does not exist.
	// Errors: ErrExists, ErrUnavailable, ErrUnknown.
	Create(ctx context.Context, key string, body []byte) error
	// Get returns the body of the object. Errors: ErrNotFound, ErrUnavailable.
	Get(ctx context.Context, key string) ([]byte, error)
	// List returns at most limit keys that start with prefix and are greater than
	// after, in key order. It is eventually consistent: recently created objects may
	// be missing. Errors: ErrUnavailable.
	List(ctx context.Context, prefix, after string, limit int) ([]string, error)
	// Delete removes the object. Deleting an object that does not exist is not an
	// error. Errors: ErrUnavailable, ErrUnknown.
	Delete(ctx context.Context, key string) error
}
