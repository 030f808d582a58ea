package once

import (
	"context"

	"github.com/joomcode/errorx"

	"github.com/poplarshore/poplarshore/coord/store"
)

// SweepResult is the result of one call to Claims.Sweep.
type SweepResult struct {
	// Next is the row key to pass as after to the next call, or empty after the last
	// page.
	Next string
	// Scanned is the number of rows read.
	Scanned int
	// Expired is the number of expired rows deleted.
	Expired int
	// NotDeleted is the number of rows that could not be decoded, and of expired
	// rows whose deletion failed. A later sweep examines them again.
	NotDeleted int
}

// Sweep reads one page of at most limit rows whose keys are greater than after, and
// deletes those older than the retention plus the skew margin. Limit must be positive.
//
// Start with an empty after and pass SweepResult.Next to the following call. One VM at
// a time should sweep, for instance under a lease, with pauses between pages that
// limit the load on the store. Sweep isn't limited by Options.StoreTimeout but only by
// ctx. Errors: ErrUnavailable (Next is after, so that the same page is repeated).
func (c *Claims) Sweep(ctx context.Context, after string, limit int) (SweepResult, error) {
	rows, err := c.table.Scan(ctx, c.opts.Prefix, after, limit)
	if err != nil {
		return SweepResult{Next: after}, ErrUnavailable.Wrap(err, "sweep after %q", after)
	}
	result := SweepResult{Scanned: len(rows)}
	for _, stored := range rows {
		c.sweepRow(ctx, stored, &result)
	}
	if len(rows) == limit && limit > 0 {
		result.Next = rows[limit-1].Key
	}
	return result, nil
}

// sweepRow deletes the row if it has expired and counts the outcome in result. A row
// that was changed since it was read is counted neither as expired nor as not deleted.
func (c *Claims) sweepRow(ctx context.Context, stored store.Row, result *SweepResult) {
	current, err := decode(stored)
	if err != nil {
		c.opts.Observer.OnceEvent(EventMalformed)
		result.NotDeleted++
		return
	}
	if c.opts.Clock.Now().Sub(current.Created) <= c.opts.Retention+c.opts.SkewMargin {
		return
	}
	err = c.table.Delete(ctx, stored.Key, stored.Version)
	switch {
	case err == nil:
		result.Expired++
		c.opts.Observer.OnceEvent(EventExpired)
	case !errorx.IsOfType(err, store.ErrConflict):
		result.NotDeleted++
	}
}
