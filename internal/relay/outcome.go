package relay

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"github.com/poplarshore/poplarshore/internal/engines"
	"github.com/poplarshore/poplarshore/internal/quarantines"
	"github.com/poplarshore/poplarshore/internal/shifts"
	"github.com/poplarshore/poplarshore/internal/upconn"
	"github.com/poplarshore/poplarshore/refusal"
)

// finishAttempt records the end of an attempt: for the upstream's load and
// circuit breaker, for the roll-out of its version, for retries, and in the log.
func (x *exchange) finishAttempt(ctx context.Context, a *attempt, err error, took time.Duration) {
	ended := err != nil && ctx.Err() != nil
	moved := errorx.IsOfType(err, errMoved)
	failed := err != nil && !ended && !moved && !errorx.IsOfType(err, errLowConfidence) && !isCallerGone(err)
	inconclusive := ended || isCallerGone(err) || blamesNobody(err) || a.paused || moved
	// A VM that may have lost its way to the upstreams blames none of them.
	cutOff := failed && failsContact(err) && x.server.Reach.Status(x.service).MayBeCutOff()
	result := engines.Result{Failed: failed && !errorx.IsOfType(err, errNotRun), Inconclusive: inconclusive || cutOff}
	if err == nil && x.succeeded() || errors.Is(ctx.Err(), context.DeadlineExceeded) {
		x.observeDuration(took, a.events)
	}
	if err == nil {
		result.Took = took
		x.observeLength()
	}
	a.tracked.End(result)
	if failed || moved {
		x.recordTried(a, err)
		if errorx.IsOfType(err, upconn.ErrSilent) {
			x.server.Pool.CloseIdle(a.engine.Address())
			if !cutOff {
				a.reportSilence(took)
			}
		}
	}
	a.running.End(a.versionResult(err, inconclusive || cutOff))
	a.guarded.End(quarantineOutcome(err, ended || cutOff))
	if err == nil && x.retriedFailure {
		x.server.RepeatEstimator.Record(x.route.Name, true)
	}
	x.answerBegan = a.firstAfter > 0
	x.logAttempt(ctx, a, err, took)
}

// blamesNobody reports whether an attempt failed in a way that is evidence neither about its upstream nor about the version
// of that one.
func blamesNobody(err error) bool {
	return errorx.IsOfType(err, errNotRun) || errorx.IsOfType(err, errNoMemory) || wasNotTried(err)
}

// quarantineOutcome returns what the end of an attempt says about its request: whether its
// upstream survived it. ended reports whether the exchange was over before.
func quarantineOutcome(err error, ended bool) quarantines.Outcome {
	switch {
	case err == nil, errorx.IsOfType(err, errFailed):
		return quarantines.Answered
	case errorx.IsOfType(err, errLowConfidence):
		return quarantines.Abandoned
	case errorx.IsOfType(err, upconn.ErrNotSent):
		return quarantines.NotRun
	case errorx.IsOfType(err, upconn.ErrConnectionLost) && !ended:
		return quarantines.Lost
	}
	return quarantines.Abandoned
}

// reportSilence makes this VM and others avoid an upstream that sent nothing to any
// request while this one waited.
func (a *attempt) reportSilence(waited time.Duration) {
	if a.engine.SinceLastReceived() < waited {
		return
	}
	a.engine.MarkSilent()
	a.exchange.server.AnnounceSilence(a.engine.Upstream())
}

// versionResult returns what the end of an attempt says about its version. A broken
// connection is evidence about the upstream only, and so is an upstream that sends
// nothing, unless it responded to other requests meanwhile.
func (a *attempt) versionResult(err error, inconclusive bool) shifts.Result {
	switch {
	case err == nil, errorx.IsOfType(err, errLowConfidence):
		return shifts.Succeeded
	case inconclusive:
		return shifts.Inconclusive
	case errorx.IsOfType(err, errFailed) && a.exchange.retriedFailure:
		// The request has failed before and may fail at any upstream: it is one observation.
		return shifts.Inconclusive
	case errorx.IsOfType(err, errFailed):
		return shifts.Failed
	case errorx.IsOfType(err, upconn.ErrBroken):
		return shifts.Broken
	case !errorx.IsOfType(err, upconn.ErrSilent) || a.firstAfter > 0:
		return shifts.Inconclusive
	case a.engine.SinceLastReceived() >= a.exchange.server.Clock.Since(a.startedAt):
		return shifts.Inconclusive
	}
	return shifts.Overdue
}

// outcomeOf returns the name of an attempt's result in metrics and logs.
func (x *exchange) outcomeOf(ctx context.Context, err error) string {
	if err != nil && ctx.Err() != nil && x.server.aborting() {
		return string(refusal.Draining)
	}
	var refused *refusal.Refusal
	var elsewhere *peerRefusedError
	switch {
	case errors.As(err, &refused):
		return string(x.server.abortReason(refused.Reason))
	case errors.As(err, &elsewhere):
		return "refused_" + string(elsewhere.reason)
	}
	if e := errorx.Cast(err); e != nil {
		name := e.Type().FullName()
		return name[strings.LastIndexByte(name, '.')+1:]
	}
	return "answered"
}

// unusualListAge is the age of the list of upstreams from which it is logged with an attempt. VMs
// read changes within less than that.
const unusualListAge = 4 * time.Second

// logAttempt counts the attempt by outcome and appends it to the log of the
// exchange.
func (x *exchange) logAttempt(ctx context.Context, a *attempt, err error, took time.Duration) {
	outcome := x.outcomeOf(ctx, err)
	x.connectionLost = x.connectionLost || errorx.IsOfType(err, upconn.ErrConnectionLost)
	x.server.Metrics.attempts.WithLabelValues(x.service, outcome).Inc()
	record := attemptRecord{
		Upstream: string(a.engine.ID()), Version: string(a.engine.Version()), Model: string(a.model),
		Outcome: outcome, Expected: a.expectedWait.Milliseconds(), At: a.startedAt.Sub(x.startedAt).Milliseconds(),
		First: a.firstAfter.Milliseconds(), Head: a.headAfter.Milliseconds(), MS: took.Milliseconds(), Pause: a.maxGap.Milliseconds(),
		Silences: a.silences,
		Gap:      a.running.TypicalGap().Milliseconds(), Slow: a.running.IsSlow(),
		End: a.expectedEnd.Milliseconds(), Missing: a.missing,
		Running: a.load.Running, Waiting: a.load.Waiting,
	}
	if a.listAge > unusualListAge {
		record.ListAge = a.listAge.Milliseconds()
	}
	if a.confidence >= 0 {
		record.Confidence = &a.confidence
	}
	x.attemptLog = append(x.attemptLog, record)
}
