package ledger

import (
	"bytes"
	"context"

	"github.com/joomcode/errorx"

	"github.com/poplarshore/poplarshore/coord/store"
)

// commit makes one try at creating the object. An object that exists with the
// same bytes was written by an earlier try whose reply was lost, or by a holder.
//
// Errors: ErrTaken for other bytes under the key, ErrUnavailable for a try
// whose outcome is open or which had none.
func commit(ctx context.Context, objects store.Objects, s Sealed) (settled bool, err error) {
	err = objects.Create(ctx, s.Key, s.Body)
	if err == nil {
		return false, nil
	}
	if !errorx.IsOfType(err, store.ErrExists) {
		return false, ErrUnavailable.Wrap(err, "segment %q", s.Key)
	}
	body, err := objects.Get(ctx, s.Key)
	if errorx.IsOfType(err, store.ErrNotFound) {
		// Folded and reclaimed between the two calls, which only happens to a
		// segment that was committed.
		return true, nil
	}
	if err != nil {
		return false, ErrUnavailable.Wrap(err, "segment %q", s.Key)
	}
	if !bytes.Equal(body, s.Body) {
		return false, ErrTaken.New("segment %q was written by another process", s.Key)
	}
	return true, nil
}
