package gatewayd

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/poplarshore/poplarshore/internal/listen"
)

// Stop stops the daemon and returns when it has stopped. The daemon is not ready
// from now on, refuses new requests after the settings' Stop.TakeS, and ends the
// requests that still run, with an answer, shortly before Stop.GraceS has passed. The end of ctx
// skips the remaining waits.
func (d *Daemon) Stop(ctx context.Context) {
	startedAt := d.clock.Now()
	grace := d.settings.Stop.GraceS.Duration()
	d.phase.Store(int32(draining))
	d.relay.BeginStop(startedAt.Add(grace - abortMargin))
	d.logStop(slog.LevelInfo, "leaving", "grace_ms", grace.Milliseconds())
	d.wait(ctx, min(d.settings.Stop.TakeS.Duration(), grace-abortMargin))
	d.phase.Store(int32(rejecting))
	d.logStop(slog.LevelInfo, "refusing new requests", "after_ms", d.clock.Since(startedAt).Milliseconds())
	shutdownCtx, cancel := context.WithTimeout(ctx, grace-abortMargin-d.clock.Since(startedAt))
	defer cancel()
	if err := d.shutDown(shutdownCtx); err != nil {
		d.logGraceOver(err)
		d.abort()
	}
	d.phase.Store(int32(aborting))
	d.close()
	if !d.relay.AwaitIdle(logTimeout) {
		d.log.Warn("aborted requests still run; their log lines are lost")
	}
	closed := d.closedIdle()
	d.logStop(slog.LevelInfo, "stopped", "took_ms", d.clock.Since(startedAt).Milliseconds(),
		"idle_closed", closed.Connections, "crossed", closed.Crossed)
	d.logRunner.Stop()
}

// shutDown answers requests of callers and other VMs until all have been answered and no connection
// is left, or returns the error of ctx.
func (d *Daemon) shutDown(ctx context.Context) error {
	return d.endListeners(func(s *listen.Server) error { return s.Shutdown(ctx) })
}

// endListeners calls end for the listeners for callers and for other VMs at the same time.
func (d *Daemon) endListeners(end func(*listen.Server) error) error {
	relayResult := make(chan error, 1)
	go func() { relayResult <- end(d.relayServer) }()
	return errors.Join(end(d.callerServer), <-relayResult)
}

// abort ends the running requests while their connections are open, so that callers get an answer,
// and waits until these have been sent, at most for answerTimeout and flushTimeout.
func (d *Daemon) abort() {
	d.phase.Store(int32(aborting))
	d.relay.Abort()
	if !d.relay.AwaitIdle(answerTimeout) {
		d.logStop(slog.LevelWarn, "aborted requests have not ended; closing their connections")
	}
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	if err := d.endListeners(func(s *listen.Server) error { return s.Finish(ctx) }); err != nil {
		d.logStop(slog.LevelInfo, "closed the connections that were left", "error", err)
	}
}

// logStop logs a phase of a stop with the numbers of requests in flight, of open connections of
// callers and other VMs, and of those among them that wait for a request.
func (d *Daemon) logStop(level slog.Level, message string, attrs ...any) {
	open, waiting := d.callerServer.Connections()
	relayOpen, relayWaiting := d.relayServer.Connections()
	d.log.Log(context.Background(), level, message, append(attrs, "requests", d.relay.InFlight(), "connections", open+relayOpen,
		"waiting_connections", waiting+relayWaiting)...)
}

// logGraceOver logs that the requests that still run are aborted, or that only connections are left on which none runs.
func (d *Daemon) logGraceOver(err error) {
	if d.relay.InFlight() == 0 {
		d.logStop(slog.LevelInfo, "grace period is over; closing the connections that are left", "error", err)
		return
	}
	d.logStop(slog.LevelWarn, "grace period is over; aborting the running requests", "error", err)
}

// closedIdle returns the connections of callers and other VMs that a stop has closed while they waited for a request.
func (d *Daemon) closedIdle() listen.ClosedIdle {
	if phase(d.phase.Load()) == serving {
		return listen.ClosedIdle{}
	}
	callers, vms := d.callerServer.ClosedIdle(), d.relayServer.ClosedIdle()
	return listen.ClosedIdle{Connections: callers.Connections + vms.Connections, Crossed: callers.Crossed + vms.Crossed}
}

// wait waits until the timeout has passed or ctx ends.
func (d *Daemon) wait(ctx context.Context, timeout time.Duration) {
	select {
	case <-ctx.Done():
	case <-d.clock.After(timeout):
	}
}

// close closes all listeners and connections and stops the background tasks,
// except for the log.
func (d *Daemon) close() {
	d.closeListeners()
	d.runner.Stop()
	d.pool.Close()
	d.peerPool.Close()
}

// closeListeners closes the socket for hints and the listeners that are open.
func (d *Daemon) closeListeners() {
	d.hints.Close()
	for _, server := range []*listen.Server{d.callerServer, d.healthServer, d.metricsServer, d.peerServer, d.relayServer} {
		if server == nil {
			continue
		}
		if err := server.Close(); err != nil {
			d.log.Warn("listener not closed", "address", server.Address(), "error", err)
		}
	}
}

// Kill stops the daemon at once and aborts running requests, as if its VM failed.
func (d *Daemon) Kill() {
	d.close()
	d.logRunner.Stop()
}
