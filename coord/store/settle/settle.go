// Package settle performs table writes whose replies may be lost.
//
// A write that ends as store.ErrUnknown may have taken effect, may never do so,
// or may still be under way. The package reads the row back and compares it
// with the value sent. While neither the value nor a rival's row is seen, it
// sends the identical write again: an insert is guarded by the absence of the
// key and an update or delete by the expected version, so that whichever copy
// arrives first makes the others fail without effect.
//
// A refusal is read back as well, since it may be the reply to a second copy
// of a write that took effect, for instance one resent by a transport.
//
// Values must be unique to the write, for instance by carrying a write id.
package settle

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"

	"github.com/joomcode/errorx"

	"github.com/poplarshore/poplarshore/coord/store"
)

// defaultAttempts bounds how often one write is sent.
const defaultAttempts = 3

// Outcome is how a write ended whose outcome was unknown at first.
type Outcome string

// The outcomes.
const (
	// Applied: the write was found applied.
	Applied Outcome = "settled_applied"
	// Refused: the write was found without effect.
	Refused Outcome = "settled_refused"
	// Unsettled: the outcome stayed unknown.
	Unsettled Outcome = "unsettled"
)

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

// NewID returns 128 random bits in hexadecimal, which tell a write from all
// others, also after a restart.
func NewID() string {
	return fmt.Sprintf("%016x%016x", rand.Uint64(), rand.Uint64())
}

// Writer sends writes to a table and settles unknown outcomes.
type Writer struct {
	// Table is the table written to.
	Table store.Table
	// Attempts is the most times one write is sent. Zero means 3.
	Attempts int
	// OnSettle, if set, is told how each write ended whose outcome was unknown
	// at first, or that was refused and yet found applied.
	OnSettle func(outcome Outcome)
}

// Insert creates the row unless the key is taken and returns the row.
// Errors: store.ErrExists (the key holds another value, and the row returned is
// that one), store.ErrUnavailable (nothing was written), store.ErrUnknown (could
// not be settled, the write may still take effect).
func (w Writer) Insert(ctx context.Context, key string, value []byte) (store.Row, error) {
	return w.settle(ctx, attempt{
		key:     key,
		value:   value,
		refused: store.ErrExists,
		send: func() (store.Version, error) {
			return w.Table.Insert(ctx, key, value)
		},
		judge: func(row store.Row, found bool) verdict {
			return judgeInsert(row, found, value)
		},
	})
}

// Update replaces the row if its version is prev and returns the row.
// Errors: store.ErrConflict (the row moved on from prev without this write, or
// was replaced after it; the row returned is the present one, without a version
// if there is none), store.ErrUnavailable (nothing was written),
// store.ErrUnknown (could not be settled, the write may still take effect).
func (w Writer) Update(ctx context.Context, key string, value []byte, prev store.Version) (store.Row, error) {
	return w.settle(ctx, attempt{
		key:     key,
		value:   value,
		refused: store.ErrConflict,
		send: func() (store.Version, error) {
			return w.Table.Update(ctx, key, value, prev)
		},
		judge: func(row store.Row, found bool) verdict {
			return judgeUpdate(row, found, value, prev)
		},
	})
}

// Delete removes the row if its version is prev. A row found absent counts as
// deleted. Errors: as for Update.
func (w Writer) Delete(ctx context.Context, key string, prev store.Version) error {
	_, err := w.settle(ctx, attempt{
		key:     key,
		refused: store.ErrConflict,
		send: func() (store.Version, error) {
			return "", w.Table.Delete(ctx, key, prev)
		},
		judge: func(row store.Row, found bool) verdict {
			return judgeDelete(row, found, prev)
		},
	})
	return err
}

// verdict is what a read tells of an earlier write.
type verdict int

const (
	undecided verdict = iota // the write may still take effect
	applied                  // the write took effect
	beaten                   // the write can no longer take effect
)

// attempt is one write and how to judge a read that follows it.
type attempt struct {
	key     string
	value   []byte
	refused *errorx.Type // the refusal for a rival's row
	send    func() (store.Version, error)
	judge   func(row store.Row, found bool) verdict
}

func (w Writer) settle(ctx context.Context, a attempt) (store.Row, error) {
	version, err := a.send()
	if err == nil {
		return store.Row{Key: a.key, Value: a.value, Version: version}, nil
	}
	if isWithoutEffect(err) {
		return store.Row{}, err
	}
	refused := errorx.IsOfType(err, a.refused)
	row, err := w.resolve(ctx, a, err)
	if w.OnSettle != nil && (!refused || err == nil) {
		w.OnSettle(outcomeOf(err))
	}
	return row, err
}

// resolve reads back and sends again until the outcome is known.
func (w Writer) resolve(ctx context.Context, a attempt, cause error) (store.Row, error) {
	for sent := 1; ; sent++ {
		row, done, err := w.readBack(ctx, a)
		if done {
			return row, err
		}
		if sent >= w.attempts() || ctx.Err() != nil {
			return store.Row{}, store.ErrUnknown.Wrap(cause, "row %q: not settled after %d writes", a.key, sent)
		}
		version, err := a.send()
		if err == nil {
			return store.Row{Key: a.key, Value: a.value, Version: version}, nil
		}
	}
}

// readBack reads the row and reports whether that settles the write.
func (w Writer) readBack(ctx context.Context, a attempt) (store.Row, bool, error) {
	row, err := w.Table.Get(ctx, a.key)
	found := err == nil
	if !found && !errorx.IsOfType(err, store.ErrNotFound) {
		return store.Row{}, false, err
	}
	switch a.judge(row, found) {
	case applied:
		return row, true, nil
	case beaten:
		return row, true, a.refused.New("row %q holds another write", a.key)
	default:
		return store.Row{}, false, nil
	}
}

func (w Writer) attempts() int {
	if w.Attempts <= 0 {
		return defaultAttempts
	}
	return w.Attempts
}

// isWithoutEffect reports whether the first reply tells that the store did not
// take the write.
func isWithoutEffect(err error) bool {
	return errorx.IsOfType(err, store.ErrUnavailable) || errorx.IsOfType(err, store.ErrInvalid)
}

func judgeInsert(row store.Row, found bool, value []byte) verdict {
	switch {
	case !found:
		return undecided
	case bytes.Equal(row.Value, value):
		return applied
	default:
		return beaten
	}
}

func judgeUpdate(row store.Row, found bool, value []byte, prev store.Version) verdict {
	switch {
	case !found:
		return beaten
	case bytes.Equal(row.Value, value):
		return applied
	case row.Version == prev:
		return undecided
	default:
		return beaten
	}
}

func judgeDelete(row store.Row, found bool, prev store.Version) verdict {
	switch {
	case !found:
		return applied
	case row.Version == prev:
		return undecided
	default:
		return beaten
	}
}
