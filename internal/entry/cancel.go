package entry

import (
	"context"

	"github.com/poplarshore/poplarshore/internal/duty"
)

const (
	// cancelQueueSize is the maximum number of queued cancellations. More are
	// dropped.
	cancelQueueSize = 1024
	// cancelWorkers is the maximum number of cancellations sent concurrently.
	cancelWorkers = 4
)

// cancellation identifies an attempt that its engine should stop, because its
// answer is no longer needed.
type cancellation struct {
	address string
	attempt string
}

// StartWorkers starts the server's background workers on r.
func (s *Server) StartWorkers(r *duty.Runner) {
	for range cancelWorkers {
		r.Start("cancel", s.sendCancellations)
	}
	for range evaluationWorkers {
		r.Start("learn", s.runEvaluations)
	}
}

func (s *Server) sendCancellations(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-s.cancellations.Items():
			// A lost cancellation only wastes the engine's time.
			_ = s.Engines.Cancel(ctx, c.address, c.attempt)
		}
	}
}
