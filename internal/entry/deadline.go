package entry

import (
	"context"
	"time"

	"github.com/poplarshore/poplarshore/refusal"
)

// deadlineTimer ends an exchange's context at its deadline. It is stopped when
// a streamed answer begins: from then on only the idle limits hold, as cutting
// a flowing answer would help nobody.
type deadlineTimer struct {
	timer *time.Timer
}

func (d *deadlineTimer) stop() {
	d.timer.Stop()
}

func (s *Server) deadlineContext(parent context.Context, x *Exchange) (context.Context, *deadlineTimer) {
	ctx, cancel := context.WithCancelCause(parent)
	timer := time.AfterFunc(s.remaining(x), func() {
		cancel(refusal.New(refusal.DeadlineExceeded))
	})
	return ctx, &deadlineTimer{timer: timer}
}
