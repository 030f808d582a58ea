package entryd

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/poplarshore/poplarshore/internal/listen"
)

// readiness reports whether the load balancer should send callers to this VM, and
// why: "ready", "draining", "billing_unavailable" or the reason for which the
// configuration can't be used, with its freshness.
func (d *Daemon) readiness() (string, bool) {
	select {
	case <-d.stopping:
		return "draining", false
	default:
	}
	if refusal := d.follower.Refusal(); refusal != nil {
		return string(refusal.Reason) + ": " + string(d.node.Freshness(d.clock.Now())), false
	}
	if !d.billing.biller.CanBill() {
		return "billing_unavailable", false
	}
	return "ready", true
}

const (
	// abortRecordTimeout bounds the time in which aborted requests may write their
	// claims and billing records, and abortTimeout the time until callers have been
	// told how their aborted requests ended.
	abortRecordTimeout = 2500 * time.Millisecond
	abortTimeout       = 3 * time.Second
	// closeTimeout bounds the time for closing the listeners once no request of a
	// caller is in flight. Requests of operators and VMs that are left then are aborted,
	// and abortedAnswerTimeout bounds the time for their answers.
	closeTimeout         = 2 * time.Second
	abortedAnswerTimeout = 500 * time.Millisecond
	// finishTimeout bounds the time for answers on a listener that has been closed
	// although callers kept connecting.
	finishTimeout = time.Second
	// billingTimeout bounds the time for committing the billing records or sending
	// them to other VMs.
	billingTimeout = 5 * time.Second
)

// BeginStop makes the daemon report that it is not ready, so that the load balancer
// sends callers to other VMs. New requests are still served until Stop drains the
// daemon; responses ask callers to close their connections. Stop calls BeginStop as well; repeated calls have no
// effect. It must not be called before Start.
func (d *Daemon) BeginStop() {
	d.stopOnce.Do(func() {
		close(d.stopping)
		d.callerServer.AskToClose()
	})
}

// Stop stops the daemon gracefully, in this order:
//
//  1. It reports that it is not ready, and waits until balancerNoticed is closed or
//     the balancer's grace period has passed. A nil channel means the full period.
//  2. It refuses new requests, and those that wait and might not end within the drain
//     time in the settings. It waits until those in flight have completed, but at most
//     for the drain time.
//  3. It aborts the requests that are left. Their callers are told whether they may
//     have run. Then it closes all listeners, when requests of operators and of other
//     VMs have been answered.
//  4. It commits the billing records, or sends them to other VMs. No segments of other
//     VMs can arrive any more, which would be lost.
//  5. It closes all connections.
//
// When ctx ends, both waits end early. Stop returns the number of requests that were
// still in flight after the second wait, and were aborted.
func (d *Daemon) Stop(ctx context.Context, balancerNoticed <-chan struct{}) int {
	d.BeginStop()
	d.log.Info("stopping", "in_flight", d.entry.InFlight())
	d.wait(ctx, d.settings.Stop.BalancerGraceMS.Duration(), balancerNoticed)
	drain := d.settings.Stop.DrainMS.Duration()
	d.entry.Drain(d.clock.Now().Add(drain))
	d.wait(ctx, drain, d.entry.Idle())
	aborted := d.entry.InFlight()
	if aborted > 0 {
		d.log.Error("drain ended before all requests completed; aborting the rest", "cut", aborted)
		d.entry.Abort(abortRecordTimeout)
		d.wait(context.WithoutCancel(ctx), abortTimeout, d.entry.Idle())
	}
	d.shutDownListeners(context.WithoutCancel(ctx))
	d.stopBilling(context.WithoutCancel(ctx))
	d.runner.Stop()
	d.closeListeners()
	d.pools.Close()
	d.outbound.Close()
	d.log.Info("stopped", "cut", aborted)
	return aborted
}

// shutDownListeners closes all listeners. It waits until their requests have been
// answered, and aborts those that take too long.
func (d *Daemon) shutDownListeners(ctx context.Context) {
	timer := time.AfterFunc(closeTimeout, d.abortRequests)
	defer timer.Stop()
	shutdownCtx, cancel := context.WithTimeout(ctx, closeTimeout+abortedAnswerTimeout)
	defer cancel()
	finishCtx, cancelFinish := context.WithTimeout(ctx, closeTimeout+abortedAnswerTimeout+finishTimeout)
	defer cancelFinish()
	var closing sync.WaitGroup
	for _, s := range []*listen.Server{d.callerServer, d.operatorServer, d.peerServer} {
		closing.Go(func() {
			d.endListener(s, shutdownCtx, finishCtx)
		})
	}
	closing.Wait()
}

// endListener shuts a listener down until the first context ends, and then answers only what is open until the second
// one does.
func (d *Daemon) endListener(s *listen.Server, shutdownCtx, finishCtx context.Context) {
	if s.Shutdown(shutdownCtx) != nil {
		if err := s.Finish(finishCtx); err != nil {
			d.log.Warn("closed connections with incomplete requests or unread answers", "address", s.Address(), "error", err)
		}
	}
	if closed := s.ClosedIdle(); closed.Connections > 0 {
		d.log.Info("closed connections that waited for a request", "address", s.Address(), "idle_closed", closed.Connections, "crossed", closed.Crossed)
	}
}

// withAbort returns a handler whose requests are cancelled when a stop can't wait for
// them any more. They answer then with what they know of their outcome.
func (d *Daemon) withAbort(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		defer context.AfterFunc(d.aborting, cancel)()
		h.ServeHTTP(w, r.WithContext(ctx))
	})
}

// wait returns when done is closed, limit has passed or ctx ends.
func (d *Daemon) wait(ctx context.Context, limit time.Duration, done <-chan struct{}) {
	select {
	case <-ctx.Done():
	case <-done:
	case <-d.clock.After(limit):
	}
}

// readyPollInterval is the time between two checks of AwaitReady.
const readyPollInterval = 10 * time.Millisecond

// IsReady reports whether the load balancer should send callers to this VM: the
// configuration is fresh, billing records can be accepted and no stop is in progress.
func (d *Daemon) IsReady() bool {
	_, ok := d.readiness()
	return ok
}

// AwaitReady waits until IsReady returns true. If ctx ends first, it returns the
// cause of ctx.
func (d *Daemon) AwaitReady(ctx context.Context) error {
	for {
		if _, ok := d.readiness(); ok {
			return nil
		}
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-d.clock.After(readyPollInterval):
		}
	}
}

// Kill stops the daemon at once, without draining requests or committing billing
// records, to simulate the loss of its VM.
func (d *Daemon) Kill() {
	d.closeListeners()
	d.runner.Stop()
	d.pools.Close()
	d.outbound.Close()
}
