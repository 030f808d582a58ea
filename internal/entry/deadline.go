package entry

import (
	"context"
	"time"

	"github.com/poplarshore/poplarshore/refusal"
)

// deadlineTimer cancels the context of an exchange at its deadline. It is stopped
// when a streamed answer starts. From then on only idle timeouts apply, because
// truncating an answer that is being received would not help the caller.
type deadlineTimer struct {
	timer *time.Timer
}

func (d *deadlineTimer) stop() {
	d.timer.Stop()
}

func (s *Server) deadlineContext(parent context.Context, x *Exchange) (context.Context, *deadlineTimer) {
	ctx, cancel := context.WithCancelCause(parent)
	timer := time.AfterFunc(s.timeLeft(x), func() {
		cancel(refusal.New(refusal.DeadlineExceeded))
	})
	return ctx, &deadlineTimer{timer: timer}
}
