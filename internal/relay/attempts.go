package relay

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"github.com/poplarshore/poplarshore/internal/engines"
	"github.com/poplarshore/poplarshore/internal/shifts"
	"github.com/poplarshore/poplarshore/internal/upconn"
	"github.com/poplarshore/poplarshore/refusal"
	"github.com/poplarshore/poplarshore/retry"
)

var (
	// errFailed reports a failure that the upstream answered itself.
	errFailed = upconn.ErrBroken.NewSubtype("failed")
	// errNotRun reports that the upstream did not run the request.
	errNotRun = upconn.ErrNotSent.NewSubtype("not_run")
	// errWeak reports an answer that was dropped for a stronger model's.
	errWeak = upconn.ErrNotSent.NewSubtype("weak")
)

// maxRefused bounds the attempts of one request that upstreams refuse to run.
const maxRefused = 5

// run makes attempts until the caller has its answer. Errors are refusals.
func (x *exchange) run(ctx context.Context) error {
	s := x.server
	s.Retry.Begin(&x.state, s.Clock.Now())
	x.firstModel()
	for {
		choice := s.Placement.Choose(x.want())
		if choice.Engine == nil {
			return x.giveUp(refusal.New(refusal.NoUpstream))
		}
		err := x.attempt(ctx, choice.Engine)
		if err == nil {
			return nil
		}
		if over, err := x.over(ctx); over {
			return err
		}
		if callerGone(err) {
			return err
		}
		if errorx.IsOfType(err, errWeak) {
			continue
		}
		if more, err := x.again(ctx, err); !more {
			return err
		}
	}
}

// again decides whether another attempt follows a failed one, and else how the
// exchange ends.
func (x *exchange) again(ctx context.Context, err error) (bool, error) {
	s := x.server
	if x.paid {
		x.paid = false
		return true, nil
	}
	failure := retry.Failure{Kind: kindOf(err), Elsewhere: true}
	if x.sends-x.state.Attempts > maxRefused {
		return false, x.giveUp(refusal.Because(refusal.RetriesExhausted, err))
	}
	if errorx.IsOfType(err, errFailed) && !x.worthRepeating() {
		return false, x.giveUp(refusal.Because(refusal.UpstreamFailed, err))
	}
	v := s.Retry.Decide(&x.state, failure, x.uniform(), s.Clock.Now())
	s.Metrics.retries.WithLabelValues(failure.Kind.String(), v.Reason.String()).Inc()
	if v.Action != retry.Retry {
		return false, x.giveUp(refusal.Because(finalReason(failure.Kind), err))
	}
	x.repeats = x.repeats || errorx.IsOfType(err, errFailed)
	select {
	case <-ctx.Done():
		_, err := x.over(ctx)
		return false, err
	case <-s.Clock.After(v.After):
		return true, nil
	}
}

// worthRepeating tells whether a request is repeated that an upstream failed.
func (x *exchange) worthRepeating() bool {
	if x.repeats {
		x.server.Worth.Record(x.route.Name, false)
	}
	return x.server.Worth.Try(x.route.Name, x.server.Clock.Now())
}

// giveUp passes the upstream's own failure on where there is one, and else
// returns the refusal.
func (x *exchange) giveUp(why *refusal.Refusal) error {
	if x.failure != nil && !x.begun {
		return x.failure.send(x)
	}
	if x.begun {
		return refusal.Because(refusal.AnswerCut, why)
	}
	return why
}

func finalReason(k retry.Kind) refusal.Reason {
	if k.MayHaveRun() {
		return refusal.UpstreamFailed
	}
	return refusal.RetriesExhausted
}

func kindOf(err error) retry.Kind {
	switch {
	case errorx.IsOfType(err, errNotRun):
		return retry.NotStarted
	case errorx.IsOfType(err, upconn.ErrNotSent):
		return retry.NotConnected
	case errorx.IsOfType(err, errFailed):
		return retry.Unavailable
	case errorx.IsOfType(err, upconn.ErrSilent):
		return retry.Silent
	}
	return retry.Broken
}

// The generator of Knuth's MMIX.
const (
	drawMultiplier = 6364136223846793005
	drawIncrement  = 1442695040888963407
)

// uniform returns a number in [0, 1) that differs between attempts.
func (x *exchange) uniform() float64 {
	x.draw = x.draw*drawMultiplier + drawIncrement
	return float64(x.draw>>(64-hashBits)) / (1 << hashBits)
}

// heavyWork is the work from which other VMs are told of it.
const heavyWork = 150 * time.Millisecond

// attempt sends the request to one upstream and passes its answer on.
func (x *exchange) attempt(ctx context.Context, e *engines.Engine) error {
	began := x.server.Clock.Now()
	x.sends++
	a := &attempt{exchange: x, engine: e, began: began, expected: e.Delay(), confidence: -1}
	if x.chooses() {
		a.model = x.route.Models[x.model]
	}
	a.work = x.server.reading.estimate(a.model, x.request.PromptTokens)
	a.flight = e.Begin(a.work)
	if a.work >= heavyWork {
		x.server.Heavy(e.ID(), a.work)
	}
	err := a.exchangeOnce(ctx)
	took := x.server.Clock.Since(began)
	if !errorx.IsOfType(err, upconn.ErrNotSent) || errorx.IsOfType(err, errWeak) {
		x.state.Attempts++
	}
	x.conclude(ctx, a, err, took)
	return err
}

// conclude accounts for the end of an attempt.
func (x *exchange) conclude(ctx context.Context, a *attempt, err error, took time.Duration) {
	gone := err != nil && ctx.Err() != nil
	failed := err != nil && !gone && !errorx.IsOfType(err, errWeak) && !callerGone(err)
	void := gone || callerGone(err) || errorx.IsOfType(err, errNotRun)
	result := engines.Result{Failed: failed && !errorx.IsOfType(err, errNotRun), Void: void}
	if err == nil {
		result.Took = took
	}
	a.flight.End(result)
	if failed {
		x.state.Tried = append(x.state.Tried, a.engine.ID())
		if errorx.IsOfType(err, upconn.ErrSilent) {
			x.server.Pool.Drop(a.engine.Address())
		}
	}
	if a.counted && errorx.IsOfType(err, upconn.ErrBroken) && !errorx.IsOfType(err, errFailed) {
		x.server.Versions.Retract(a.named())
	}
	if a.judges(err, void) {
		x.server.Versions.Ended(shifts.Outcome{
			Attempt: a.named(), Failed: errorx.IsOfType(err, errFailed), Whole: err == nil, First: a.first,
			Gap: a.gap(), Counted: a.counted,
		})
	}
	if err == nil && x.repeats {
		x.server.Worth.Record(x.route.Name, true)
	}
	x.note(a, err, took)
}

// judges tells whether the end of an attempt says something about its version.
// A connection that breaks tells of the upstream, and so does a silence, unless
// the upstream answers others meanwhile.
func (a *attempt) judges(err error, void bool) bool {
	switch {
	case err == nil, errorx.IsOfType(err, errFailed), errorx.IsOfType(err, errWeak):
		return true
	case void || !errorx.IsOfType(err, upconn.ErrSilent) || a.first > 0:
		return false
	}
	elapsed := a.exchange.server.Clock.Since(a.began)
	if a.engine.Silence() >= elapsed {
		return false
	}
	a.first = elapsed
	return true
}

func (x *exchange) note(a *attempt, err error, took time.Duration) {
	outcome := "answered"
	var why *refusal.Refusal
	switch {
	case err == nil:
	case errors.As(err, &why):
		outcome = string(x.server.blame(why.Reason))
	default:
		if e := errorx.Cast(err); e != nil {
			name := e.Type().FullName()
			outcome = name[strings.LastIndexByte(name, '.')+1:]
		}
	}
	x.server.Metrics.attempts.WithLabelValues(x.service, outcome).Inc()
	s := step{
		Upstream: string(a.engine.ID()), Version: string(a.engine.Version()), Model: string(a.model),
		Outcome: outcome, Expected: a.expected.Milliseconds(), At: a.began.Sub(x.began).Milliseconds(), First: a.first.Milliseconds(), MS: took.Milliseconds(),
		Pause: a.pause.Milliseconds(),
	}
	if a.confidence >= 0 {
		s.Confidence = &a.confidence
	}
	x.trail = append(x.trail, s)
}
