package watch

import "context"

// Expect is a condition of a transaction: the row must have the revision. Revision
// 0 requires that the row doesn't exist.
type Expect struct {
	Table, Key string
	Revision   Revision
}

// Put sets the value of a row, and creates the row if needed.
type Put struct {
	Table, Key string
	Value      []byte
}

// Change is a transaction: if all expected revisions match, all puts are applied,
// otherwise none.
type Change struct {
	// Era is the era of the expected revisions. A change with expected revisions is not
	// sent to a store that is known to have begun a later era.
	Era      Era
	Expected []Expect
	Puts     []Put
}

// Writer commits transactions.
type Writer interface {
	// Commit applies the change. Errors: ErrConflict, also for expected revisions of an
	// earlier era; ErrUnavailable, ErrUnknown and ErrInvalid of package coord/store.
	Commit(ctx context.Context, change Change) error
}
