package relay

import (
	"context"
	"errors"
	"time"

	"github.com/joomcode/errorx"

	"github.com/poplarshore/poplarshore/internal/upconn"
	"github.com/poplarshore/poplarshore/reachability"
)

// recordContact records what the end of an attempt says about the way to its upstream.
func (x *exchange) recordContact(ctx context.Context, a *attempt, err error, took time.Duration) {
	// After the contact has been recorded, as it may show that this VM is cut off.
	defer x.recordEnd(ctx, a, err, took)
	switch {
	case errorx.IsOfType(err, upconn.ErrRefused):
		x.notConnected++
		a.recordContact(reachability.NotConnected)
	case errorx.IsOfType(err, upconn.ErrConnectTimeout):
		x.notConnected++
		x.connectTimedOut = true
		a.recordContact(reachability.NotConnected)
	case errorx.IsOfType(err, upconn.ErrSilent) && ctx.Err() == nil,
		errors.Is(ctx.Err(), context.DeadlineExceeded) && a.headAfter == 0:
		if a.engine.SinceLastReceived() >= took {
			a.recordContact(reachability.Silent)
		}
	case failsContact(err) && ctx.Err() == nil:
		a.recordContact(reachability.Lost)
	}
}

// recordEnd records that the upstream may have ended if the end of an attempt suggests it. A VM that may have
// lost its way to the upstreams says nothing of them.
func (x *exchange) recordEnd(ctx context.Context, a *attempt, err error, took time.Duration) {
	if ctx.Err() != nil || !failsContact(err) || x.server.Reach.Status(x.service).MayBeCutOff() {
		return
	}
	switch {
	case errorx.IsOfType(err, upconn.ErrRefused), errorx.IsOfType(err, upconn.ErrConnectionLost):
		a.engine.MarkUnreached(true)
	case !errorx.IsOfType(err, upconn.ErrSilent) || a.engine.SinceLastReceived() >= took:
		a.engine.MarkUnreached(false)
	}
}

// recordStart records what the header of a response says about the upstream's start.
func (a *attempt) recordStart(head Head) {
	a.engine.MarkReached(a.startedAt)
	if head.HasColdFor {
		a.engine.MarkColdFor(head.ColdFor, a.startedAt)
	}
}

// headContact returns what the header of a response says about the way to its upstream.
func headContact(resp *upconn.Response) reachability.Contact {
	if resp.NewConnection {
		return reachability.Connected
	}
	return reachability.Received
}

func (a *attempt) recordContact(c reachability.Contact) {
	a.exchange.server.Reach.Record(a.exchange.service, a.engine.ID(), c)
}

// failsContact reports whether an attempt failed on the way to the upstream, and not by what
// that answered.
func failsContact(err error) bool {
	switch {
	case errorx.IsOfType(err, errNotRun), wasNotTried(err), errorx.IsOfType(err, errLowConfidence):
		return false
	}
	return errorx.IsOfType(err, upconn.ErrNotSent) || errorx.IsOfType(err, upconn.ErrConnectionLost) || errorx.IsOfType(err, upconn.ErrSilent)
}
