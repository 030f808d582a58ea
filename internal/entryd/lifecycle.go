package entryd

import (
	"context"
	"time"
)

// ready tells whether the balancer should send callers here.
func (d *Daemon) ready() (string, bool) {
	select {
	case <-d.stopping:
		return "draining", false
	default:
	}
	if why := d.follower.Refusal(); why != nil {
		return string(why.Reason) + ": " + string(d.node.Freshness(d.clock.Now())), false
	}
	if !d.billing.biller.CanBill() {
		return "billing_unavailable", false
	}
	return "ready", true
}

// stopGrace bounds the end of the listeners at a stop.
const stopGrace = 5 * time.Second

// BeginStop turns the daemon not ready, so that the balancer sends callers
// elsewhere. Stop calls it too.
func (d *Daemon) BeginStop() {
	d.beginStop.Do(func() { close(d.stopping) })
}

// Stop ends the daemon without cutting off a request: not ready first, then no
// new work once the balancer had time to notice, then the end of all requests
// in flight, then what must be kept. The wait for the balancer ends early when
// noticed is closed; nil waits for the whole grace. Stop returns the number of
// requests cut off because ctx or the drain limit ended first.
func (d *Daemon) Stop(ctx context.Context, noticed <-chan struct{}) int {
	d.BeginStop()
	d.log.Info("stopping", "in_flight", d.entry.InFlight())
	d.wait(ctx, d.settings.Stop.BalancerGraceMS.Duration(), noticed)
	d.entry.Drain()
	d.wait(ctx, d.settings.Stop.DrainMS.Duration(), d.entry.Idle())
	cut := d.entry.InFlight()
	if cut > 0 {
		d.log.Error("stopping with requests in flight", "cut", cut)
	}
	shutdown, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopGrace)
	defer cancel()
	if cut == 0 {
		_ = d.callers.Shutdown(shutdown)
	}
	d.stopBilling(shutdown)
	d.runner.Stop()
	d.close()
	d.pools.Close()
	d.outbound.Close()
	d.log.Info("stopped", "cut", cut)
	return cut
}

// wait waits for done, the limit or the end of ctx.
func (d *Daemon) wait(ctx context.Context, limit time.Duration, done <-chan struct{}) {
	select {
	case <-ctx.Done():
	case <-done:
	case <-d.clock.After(limit):
	}
}

// readyPoll is the time between two looks at whether the daemon is ready.
const readyPoll = 10 * time.Millisecond

// IsReady tells whether the daemon is ready to serve.
func (d *Daemon) IsReady() bool {
	_, ok := d.ready()
	return ok
}

// AwaitReady waits until the daemon is ready to serve.
func (d *Daemon) AwaitReady(ctx context.Context) error {
	for {
		if _, ok := d.ready(); ok {
			return nil
		}
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-d.clock.After(readyPoll):
		}
	}
}

// Kill ends the daemon at once, as the loss of its VM does.
func (d *Daemon) Kill() {
	d.close()
	d.runner.Stop()
	d.pools.Close()
	d.outbound.Close()
}
