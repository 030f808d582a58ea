package entry

import (
	"context"

	"github.com/poplarshore/poplarshore/internal/duty"
)

const (
	// cancelRing bounds the cancellations that wait.
	cancelRing = 1024
	// cancelWorkers is the number of cancellations sent at once.
	cancelWorkers = 4
)

// cancel is work of an engine that nobody waits for.
type cancel struct {
	address string
	attempt string
}

// StartDuties starts the entry's background duties.
func (s *Server) StartDuties(r *duty.Runner) {
	for range cancelWorkers {
		r.Start("cancel", s.sendCancels)
	}
	for range learnWorkers {
		r.Start("learn", s.learn)
	}
}

func (s *Server) sendCancels(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-s.cancels.Items():
			// A lost cancellation costs the engine's time only.
			_ = s.Engines.Cancel(ctx, c.address, c.attempt)
		}
	}
}
