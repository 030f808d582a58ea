package once

import (
	"context"

	"github.com/joomcode/errorx"

	"github.com/poplarshore/poplarshore/coord/store"
)

// Page is the result of one Sweep.
type Page struct {
	// Next is the place to continue from, empty after the last page.
	Next string
	// Read counts the rows looked at.
	Read int
	// Expired counts the rows deleted.
	Expired int
	// Kept counts expired rows that could not be deleted now.
	Kept int
}

// Sweep looks at up to limit rows after the place and deletes those past the
// retention and the skew margin. One VM should sweep, under a lease, page by
// page at a pace that the store can bear. Errors: ErrUnavailable.
func (c *Claims) Sweep(ctx context.Context, after string, limit int) (Page, error) {
	rows, err := c.table.Scan(ctx, c.opts.Prefix, after, limit)
	if err != nil {
		return Page{Next: after}, ErrUnavailable.Wrap(err, "sweep after %q", after)
	}
	page := Page{Read: len(rows)}
	for _, stored := range rows {
		c.sweepRow(ctx, stored, &page)
	}
	if len(rows) == limit && limit > 0 {
		page.Next = rows[limit-1].Key
	}
	return page, nil
}

func (c *Claims) sweepRow(ctx context.Context, stored store.Row, page *Page) {
	current, err := decode(stored)
	if err != nil {
		c.opts.Observer.OnceEvent(EventMalformed)
		page.Kept++
		return
	}
	if c.opts.Clock.Now().Sub(current.Created) <= c.opts.Retention+c.opts.SkewMargin {
		return
	}
	err = c.table.Delete(ctx, stored.Key, stored.Version)
	switch {
	case err == nil:
		page.Expired++
		c.opts.Observer.OnceEvent(EventExpired)
	case !errorx.IsOfType(err, store.ErrConflict):
		page.Kept++
	}
}
