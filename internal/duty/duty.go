// Package duty runs the named, long-lived goroutines of a process, its duties, and
// stops them together.
package duty

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Runner starts duties and stops them together.
type Runner struct {
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	log    *slog.Logger
}

// NewRunner returns a runner whose duties are cancelled when ctx ends, or by Stop.
func NewRunner(ctx context.Context, log *slog.Logger) *Runner {
	ctx, cancel := context.WithCancel(ctx)
	return &Runner{ctx: ctx, cancel: cancel, log: log}
}

// Start runs f in a new goroutine; f must return when its ctx ends. If f returns
// earlier, a warning is logged and f isn't restarted.
func (r *Runner) Start(name string, f func(ctx context.Context)) {
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		f(r.ctx)
		if r.ctx.Err() == nil {
			r.log.Warn("duty returned before the runner was stopped, not restarted", "duty", name)
		}
	}()
}

// Every calls f at once and then every period, in one goroutine, until the runner
// stops.
func (r *Runner) Every(name string, clock clockwork.Clock, period time.Duration, f func(ctx context.Context)) {
	r.Start(name, func(ctx context.Context) {
		ticker := clock.NewTicker(period)
		defer ticker.Stop()
		for {
			f(ctx)
			select {
			case <-ctx.Done():
				return
			case <-ticker.Chan():
			}
		}
	})
}

// Stop cancels all duties and waits until they have returned.
func (r *Runner) Stop() {
	r.cancel()
	r.wg.Wait()
}
