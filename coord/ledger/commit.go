package ledger

import (
	"bytes"
	"context"

	"github.com/joomcode/errorx"

	"github.com/poplarshore/poplarshore/coord/store"
)

// commitSegment makes one attempt to create the segment's object. It reports true if the object
// existed already with the same bytes: an earlier attempt whose reply was lost, or a Holder, wrote
// it.
//
// Errors: ErrIncarnationTaken if the key holds other bytes; ErrUnavailable if the attempt failed or
// its outcome is unknown, in which case the caller may repeat it.
func commitSegment(ctx context.Context, objects store.Objects, s SealedSegment) (alreadyStored bool, err error) {
	err = objects.Create(ctx, s.Key, s.Body)
	if err == nil {
		return false, nil
	}
	if !errorx.IsOfType(err, store.ErrExists) {
		return false, ErrUnavailable.Wrap(err, "commit segment %q", s.Key)
	}
	body, err := objects.Get(ctx, s.Key)
	if errorx.IsOfType(err, store.ErrNotFound) {
		// A settler folded and deleted the segment between the two calls, so it was committed.
		return true, nil
	}
	if err != nil {
		return false, ErrUnavailable.Wrap(err, "commit segment %q", s.Key)
	}
	if !bytes.Equal(body, s.Body) {
		return false, ErrIncarnationTaken.New("segment %q exists with different contents", s.Key)
	}
	return true, nil
}
