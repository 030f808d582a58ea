// Package deadline creates context timeouts that follow an injected clock.
package deadline

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// WithTimeout returns a copy of ctx that is cancelled when timeout has elapsed on
// clock. The caller must call the returned function to release the timer.
//
// With a *clockwork.FakeClock the context has no Deadline; on expiry its Err is
// context.Canceled and its Cause context.DeadlineExceeded. Any other clock is assumed
// to be the system clock, and WithTimeout is the same as context.WithTimeout.
//
// The contexts of package clockwork aren't suitable because their Err method blocks
// until the context has ended.
func WithTimeout(ctx context.Context, clock clockwork.Clock,
	timeout time.Duration) (context.Context, context.CancelFunc) {
	if _, isFake := clock.(*clockwork.FakeClock); !isFake {
		return context.WithTimeout(ctx, timeout)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	timer := clock.AfterFunc(timeout, func() { cancel(context.DeadlineExceeded) })
	return ctx, func() {
		timer.Stop()
		cancel(nil)
	}
}
