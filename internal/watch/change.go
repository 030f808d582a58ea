package watch

import "context"

// Expect names a row and the revision that it must have; 0 means that the row
// does not exist.
type Expect struct {
	Table, Key string
	Revision   Revision
}

// Put writes a row.
type Put struct {
	Table, Key string
	Value      []byte
}

// Change is a transaction: all puts or none.
type Change struct {
	Expected []Expect
	Puts     []Put
}

// Writer changes rows under conditions.
type Writer interface {
	// Commit applies the change. Errors: coord/store's ErrConflict,
	// ErrUnavailable, ErrUnknown, ErrInvalid.
	Commit(ctx context.Context, change Change) error
}
