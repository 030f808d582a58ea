// Package settle determines the outcome of conditional table writes whose replies may
// be lost.
//
// A write that returns store.ErrUnknown may have taken effect, may never take effect,
// or may still be in transit. Writer reads the row back and compares it with the value
// sent. If the row shows neither that value nor a concurrent write, Writer sends the
// identical write again. This is safe because an insert requires that the key does not
// exist, and an update or delete requires the expected version: whichever copy arrives
// first makes the other copies fail without effect.
//
// A write that the store refused with store.ErrExists or store.ErrConflict is read back
// as well, since the error may be the reply to a second copy of a write that took
// effect, for instance one resent by a transport.
//
// Values must be unique to each write, for instance by including an ID from NewID.
// Otherwise Writer can't distinguish its own write from a concurrent one.
package settle

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"

	"github.com/joomcode/errorx"

	"github.com/poplarshore/poplarshore/coord/store"
)

// defaultMaxAttempts is the default of Writer.MaxAttempts.
const defaultMaxAttempts = 3

// Outcome is the final outcome of a write whose first reply left it undetermined. Its
// value is suitable as a metric label.
type Outcome string

// Outcomes passed to Writer.OnSettle.
const (
	// Applied: the write took effect.
	Applied Outcome = "settled_applied"
	// Refused: the write had no effect, or another write replaced it before the read.
	Refused Outcome = "settled_refused"
	// Unsettled: the outcome could not be determined.
	Unsettled Outcome = "unsettled"
)

// outcomeOf returns the outcome that corresponds to the final error of a write.
func outcomeOf(err error) Outcome {
	switch {
	case err == nil:
		return Applied
	case errorx.IsOfType(err, store.ErrUnknown):
		return Unsettled
	default:
		return Refused
	}
}

// NewID returns 128 random bits as 32 hexadecimal digits, an ID that distinguishes a
// write from all others, also across restarts. It is not suitable as a secret.
func NewID() string {
	return fmt.Sprintf("%016x%016x", rand.Uint64(), rand.Uint64())
}

// Writer sends writes to a table and determines unknown outcomes by reading back. It
// has no state of its own, and is safe for concurrent use if Table and OnSettle are.
// Limit the time of a call, including its reads and repetitions, with ctx.
type Writer struct {
	// Table is the table to write to. It is required.
	Table store.Table
	// MaxAttempts is the maximum number of times that one write is sent. Zero and
	// negative values mean 3.
	MaxAttempts int
	// OnSettle, if not nil, is called with the final outcome of each write whose first
	// reply left the outcome unknown, and of each write that was refused at first but
	// was found to have taken effect.
	OnSettle func(outcome Outcome)
}

// Insert creates the row if the key does not exist and returns it.
// Errors: store.ErrExists (another value is stored, which is returned),
// store.ErrUnavailable and store.ErrInvalid (nothing was written), store.ErrUnknown
// (the outcome could not be determined, and the write may still take effect).
func (w Writer) Insert(ctx context.Context, key string, value []byte) (store.Row, error) {
	return w.write(ctx, pendingWrite{
		key:         key,
		value:       value,
		refusalType: store.ErrExists,
		send: func() (store.Version, error) {
			return w.Table.Insert(ctx, key, value)
		},
		classify: func(row store.Row, found bool) writeState {
			return classifyInsert(row, found, value)
		},
	})
}

// Update replaces the row if its version is prev and returns the new row.
// Errors: store.ErrConflict (another write replaced prev, or replaced the row after
// this write had taken effect; the current row is returned, without a version if there
// is none), store.ErrUnavailable and store.ErrInvalid (nothing was written),
// store.ErrUnknown (the outcome could not be determined, and the write may still take
// effect).
func (w Writer) Update(ctx context.Context, key string, value []byte, prev store.Version) (store.Row, error) {
	return w.write(ctx, pendingWrite{
		key:         key,
		value:       value,
		refusalType: store.ErrConflict,
		send: func() (store.Version, error) {
			return w.Table.Update(ctx, key, value, prev)
		},
		classify: func(row store.Row, found bool) writeState {
			return classifyUpdate(row, found, value, prev)
		},
	})
}

// Delete removes the row if its version is prev. If a read-back finds no row, the row
// counts as deleted, even if another writer deleted it. The errors are those of Update.
func (w Writer) Delete(ctx context.Context, key string, prev store.Version) error {
	_, err := w.write(ctx, pendingWrite{
		key:         key,
		refusalType: store.ErrConflict,
		send: func() (store.Version, error) {
			return "", w.Table.Delete(ctx, key, prev)
		},
		classify: func(row store.Row, found bool) writeState {
			return classifyDelete(row, found, prev)
		},
	})
	return err
}

// writeState is the state of an earlier write, as inferred from a read.
type writeState int

const (
	undecided  writeState = iota // the write may still take effect
	applied                      // the write took effect
	superseded                   // the write can no longer take effect, or was overwritten
)

// pendingWrite is one write, with the function that infers its state from a read.
type pendingWrite struct {
	key         string
	value       []byte
	refusalType *errorx.Type // the error for a row written by another writer
	send        func() (store.Version, error)
	classify    func(row store.Row, found bool) writeState
}

// write sends the write and settles it if the reply leaves the outcome open.
func (w Writer) write(ctx context.Context, pending pendingWrite) (store.Row, error) {
	version, err := pending.send()
	if err == nil {
		return store.Row{Key: pending.key, Value: pending.value, Version: version}, nil
	}
	if isNotApplied(err) {
		return store.Row{}, err
	}
	refused := errorx.IsOfType(err, pending.refusalType)
	row, err := w.settle(ctx, pending, err)
	if w.OnSettle != nil && (!refused || err == nil) {
		w.OnSettle(outcomeOf(err))
	}
	return row, err
}

// settle reads the row back and repeats the write until the outcome is known, the
// maximum number of attempts is reached or ctx is cancelled.
func (w Writer) settle(ctx context.Context, pending pendingWrite, cause error) (store.Row, error) {
	for sent := 1; ; sent++ {
		row, settled, err := w.readBack(ctx, pending)
		if settled {
			return row, err
		}
		if sent >= w.maxAttempts() || ctx.Err() != nil {
			return store.Row{}, store.ErrUnknown.Wrap(cause,
				"outcome of write to row %q not determined after %d attempts", pending.key, sent)
		}
		version, err := pending.send()
		if err == nil {
			return store.Row{Key: pending.key, Value: pending.value, Version: version}, nil
		}
	}
}

// readBack reads the row and reports whether that determines the outcome of the write.
func (w Writer) readBack(ctx context.Context, pending pendingWrite) (store.Row, bool, error) {
	row, err := w.Table.Get(ctx, pending.key)
	found := err == nil
	if !found && !errorx.IsOfType(err, store.ErrNotFound) {
		return store.Row{}, false, err
	}
	switch pending.classify(row, found) {
	case applied:
		return row, true, nil
	case superseded:
		return row, true, pending.refusalType.New("row %q contains another write", pending.key)
	default:
		return store.Row{}, false, nil
	}
}

func (w Writer) maxAttempts() int {
	if w.MaxAttempts <= 0 {
		return defaultMaxAttempts
	}
	return w.MaxAttempts
}

// isNotApplied reports whether the first reply proves that the write had no effect.
func isNotApplied(err error) bool {
	return errorx.IsOfType(err, store.ErrUnavailable) || errorx.IsOfType(err, store.ErrInvalid)
}

func classifyInsert(row store.Row, found bool, value []byte) writeState {
	switch {
	case !found:
		return undecided
	case bytes.Equal(row.Value, value):
		return applied
	default:
		return superseded
	}
}

func classifyUpdate(row store.Row, found bool, value []byte, prev store.Version) writeState {
	switch {
	case !found:
		return superseded
	case bytes.Equal(row.Value, value):
		return applied
	case row.Version == prev:
		return undecided
	default:
		return superseded
	}
}

func classifyDelete(row store.Row, found bool, prev store.Version) writeState {
	switch {
	case !found:
		return applied
	case row.Version == prev:
		return undecided
	default:
		return superseded
	}
}
