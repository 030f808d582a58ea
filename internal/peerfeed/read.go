package peerfeed

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"github.com/poplarshore/poplarshore/internal/watch"
)

// readResult is the result of a read of a table.
type readResult struct {
	batch watch.Batch
	err   error
	// servedFrom is when the store confirmed the batch if this VM read it there and may serve it to others, or
	// unconfirmed.
	servedFrom time.Time
	// source is the VM that was read, or "store".
	source string
}

// isFinal reports whether the read succeeded, or found that the table has to be listed again.
func (r readResult) isFinal() bool {
	return r.err == nil || errorx.IsOfType(r.err, watch.ErrHistoryGone)
}

// read is a read of a table that runs beside others. A nil read has no result.
type read struct {
	done   chan readResult
	cancel context.CancelCauseFunc
}

// startRead starts a read.
func startRead(parent context.Context, do func(context.Context) (watch.Batch, error)) *read {
	ctx, cancel := context.WithCancelCause(parent)
	r := &read{done: make(chan readResult, 1), cancel: cancel}
	go func() {
		b, err := do(ctx)
		r.done <- readResult{batch: b, err: err}
	}()
	return r
}

// result returns the channel on which the result arrives, once.
func (r *read) result() <-chan readResult {
	if r == nil {
		return nil
	}
	return r.done
}

// end cancels a read whose result has not been received, and waits for its end.
func (r *read) end(cause error) {
	if r == nil {
		return
	}
	r.cancel(cause)
	<-r.done
}
