// Package deadline bounds operations by an injected clock.
package deadline

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// WithTimeout returns a context that ends after d on the clock. Call cancel to
// free its timer. On a clock other than the machine's the context bears no
// deadline and ends with the cause context.DeadlineExceeded.
//
// The contexts of clockwork do not fit: their Err blocks until the end.
func WithTimeout(ctx context.Context, clock clockwork.Clock, d time.Duration) (context.Context, context.CancelFunc) {
	if _, fake := clock.(*clockwork.FakeClock); !fake {
		return context.WithTimeout(ctx, d)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	timer := clock.AfterFunc(d, func() { cancel(context.DeadlineExceeded) })
	return ctx, func() {
		timer.Stop()
		cancel(nil)
	}
}
