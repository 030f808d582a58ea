package relay

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/internal/engines"
	"github.com/poplarshore/poplarshore/internal/upconn"
	"github.com/poplarshore/poplarshore/limit"
	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/refusal"
	"github.com/poplarshore/poplarshore/retry"
	"github.com/poplarshore/poplarshore/route"
)

// Errors of attempts. The names of the types are outcomes in metrics and logs.
var (
	// errFailed reports that the upstream responded with a 5xx status.
	errFailed = upconn.ErrBroken.NewSubtype("failed")
	// errNotRun reports that the upstream did not run the request.
	errNotRun = upconn.ErrNotSent.NewSubtype("not_run")
	// errOverLimit reports that other requests used the VM's part of the upstream's limit
	// after the upstream was chosen. Nothing was sent.
	errOverLimit = upconn.ErrNotSent.NewSubtype("over_limit")
	// errLowConfidence reports a response that was dropped in order to ask a
	// stronger model.
	errLowConfidence = upconn.ErrNotSent.NewSubtype("weak")
)

// plannedStop is the label, in metrics, of a further attempt that is not made because the rest of a
// planned stop's grace can't hold it.
const plannedStop = "planned_stop"

// maxNotRun is how many attempts of one request upstreams may reject without
// running it before the request is refused.
const maxNotRun = 5

// run makes attempts until a response has been sent to the caller. Every error
// it returns is a refusal.
func (x *exchange) run(ctx context.Context) error {
	x.countFirst()
	x.chooseFirstModel()
	served := false
	defer func() { x.releasePermit(served) }()
	for {
		if ended, err := x.ended(ctx); ended {
			return err
		}
		if refused := x.refuseQuarantined(); refused != nil {
			return x.fail(refused)
		}
		if settled, err := x.prepareAttempt(ctx); settled {
			return err
		}
		choice := x.choose()
		if choice.Engine == nil && x.notConnected > 0 && x.mayAskPeers() {
			x.notConnected = maxNotConnected
			continue
		}
		if choice.Engine == nil && x.awaitPlace(ctx, choice) {
			continue
		}
		if choice.Engine == nil {
			return x.fail(noUpstream(choice, x.regions()))
		}
		if refused := x.refuseHopeless(choice.Engine); refused != nil {
			return x.fail(refused)
		}
		x.answerEnd = choice.AnswerEnd
		err := x.tryUpstream(ctx, choice.Engine)
		if err == nil {
			served = true
			return nil
		}
		if wasNotTried(err) {
			continue
		}
		if ended, err := x.ended(ctx); ended {
			return err
		}
		if isCallerGone(err) {
			return err
		}
		if errorx.IsOfType(err, errLowConfidence) {
			continue
		}
		if ok, err := x.shouldRetry(ctx, err); !ok {
			return err
		}
	}
}

// countFirst counts the first attempt of the request in the retry budgets, unless the VM that asked this one to relay it does.
func (x *exchange) countFirst() {
	if x.hop != nil && x.hop.firstCounted {
		return
	}
	x.server.Retry.Begin(&x.retryState, x.server.Clock.Now())
	x.firstCounted = true
}

// wasNotTried reports whether an attempt ended before anything was sent, by what became known after
// the upstream was chosen. Another upstream is chosen at once.
func wasNotTried(err error) bool {
	return errorx.IsOfType(err, errOverLimit) || errorx.IsOfType(err, upconn.ErrWithdrawn)
}

// prepareAttempt asks other VMs to relay the request if this VM should not send it, and otherwise
// waits for a permit. It refuses a request that the rest of a planned stop's grace can't hold. If it
// returns true, the error is the result of the exchange.
func (x *exchange) prepareAttempt(ctx context.Context) (bool, error) {
	if refused := x.refuseUnfinishable(); refused != nil {
		return true, x.fail(refused)
	}
	if x.shouldAskPeers() {
		if settled, err := x.askPeersOrRefuse(ctx); settled {
			return true, err
		}
	}
	refused := x.acquirePermit(ctx)
	if refused == nil {
		refused = x.refuseUnfinishable()
	}
	if refused == nil {
		return false, nil
	}
	if ended, err := x.ended(ctx); ended {
		return true, err
	}
	return true, x.fail(refused)
}

// askPeersOrRefuse asks other VMs to relay the request, and refuses it if none does and this VM
// reaches no upstream. If it returns true, the error is the result of the exchange.
func (x *exchange) askPeersOrRefuse(ctx context.Context) (bool, error) {
	x.releasePermit(false)
	if settled, err := x.askPeers(ctx); settled {
		return true, err
	}
	if x.server.Reach.Status(x.service).NoneReached() {
		return true, x.fail(refusal.New(refusal.OutOfReach))
	}
	return false, nil
}

// noUpstream returns the refusal for a choice without an upstream. The caller may come
// back when an upstream takes another request, maybe from another VM, or when the first
// pause of one has ended.
func noUpstream(choice engines.Choice, regions domain.RegionSet) *refusal.Refusal {
	switch {
	case choice.Refused[route.NoPlace] > 0:
		return refusal.New(refusal.UpstreamsFull).WithRetryAfter(fullRetryAfter)
	case choice.LimitLeft > 0:
		return refusal.New(refusal.UpstreamsLimited).WithRetryAfter(choice.LimitLeft)
	case choice.PauseLeft > 0:
		return refusal.New(refusal.UpstreamsPaused).WithRetryAfter(choice.PauseLeft)
	case choice.ColdLeft > 0:
		return refusal.New(refusal.UpstreamsCold).WithRetryAfter(choice.ColdLeft)
	}
	if refused := refuseByRegion(choice, regions); refused != nil {
		return refused
	}
	return refusal.New(refusal.NoUpstream)
}

// refuseHopeless returns a refusal if the upstream, the best one for the request, is not
// expected to begin its answer before the deadline. It decides on the first attempt only:
// a request that has been sent already is tried again as long as there is time.
func (x *exchange) refuseHopeless(e *engines.Engine) *refusal.Refusal {
	if x.dispatches > 0 {
		return nil
	}
	outlook := limit.Outlook{Wait: e.ExpectedWait(), Work: x.expectedWork(), TimeLeft: x.timeLeft()}
	if !outlook.Hopeless() {
		return nil
	}
	return refusal.New(refusal.Overloaded).WithRetryAfter(outlook.Wait).
		With("Upstream %s is expected to be busy for %v and to begin the answer %v later; %v are left.",
			e.ID(), outlook.Wait, outlook.Work, outlook.TimeLeft)
}

// model returns the model to ask; empty if the router does not select it.
func (x *exchange) model() model.Name {
	if !x.routerPicksModel() {
		return ""
	}
	return x.route.Models[x.modelIndex]
}

// expectedWork returns how long an upstream is expected to process the prompt with the
// model to ask.
func (x *exchange) expectedWork() time.Duration {
	return x.server.prefill.estimate(x.model(), x.request.PromptTokens)
}

// shouldRetry reports whether to make another attempt after one failed with err,
// and waits for the backoff. If it reports false, the error is the result of the
// exchange; nil means that a response has been sent.
func (x *exchange) shouldRetry(ctx context.Context, err error) (bool, error) {
	s := x.server
	x.answerDropped = false
	if x.retryPrepaid {
		x.retryPrepaid = false
		return true, nil
	}
	failure := retry.Failure{Kind: x.failureKind(err), HasAlternative: true}
	cutOff := s.Reach.Status(x.service).CutOff
	if failure.Kind == retry.Crashed && !cutOff {
		x.retryState.Crashes++
	}
	if refused := x.refuseRejected(err); refused != nil {
		return false, x.fail(refused)
	}
	notRunLimit := maxNotRun
	if cutOff || x.hop != nil || failure.Kind == retry.NotStarted && s.Placement.IsFragile(x.service) {
		notRunLimit = maxNotRunIfScarce
	}
	if x.dispatches-x.retryState.Attempts > notRunLimit && !x.shouldAskPeers() {
		return false, x.fail(refusal.Wrap(refusal.RetriesExhausted, err))
	}
	if errorx.IsOfType(err, errFailed) && !x.mayRetryFailure() {
		return false, x.fail(refusal.Wrap(refusal.UpstreamFailed, err))
	}
	if late := x.refuseUnfinishable(); late != nil {
		s.Metrics.retries.WithLabelValues(failure.Kind.String(), plannedStop).Inc()
		return false, x.fail(refusal.Wrap(refusalReason(failure.Kind), err).With("%s", late.Detail))
	}
	decision := s.Retry.Decide(&x.retryState, failure, x.randFloat(), s.Clock.Now())
	s.Metrics.retries.WithLabelValues(failure.Kind.String(), decision.Reason.String()).Inc()
	if decision.Reason == retry.AttemptsExhausted {
		decision = x.decideReturn(failure)
	}
	if decision.Action != retry.Retry {
		return false, x.fail(refusal.Wrap(refusalReason(failure.Kind), err))
	}
	x.retriedFailure = x.retriedFailure || errorx.IsOfType(err, errFailed)
	wait, endWait := x.waitContext(ctx)
	defer endWait()
	select {
	case <-wait.Done():
	case <-s.Clock.After(decision.Delay):
	}
	return true, nil
}

// mayRetryFailure reports whether a request is retried after an upstream
// responded with a failure. Retries are limited for routes on which they seldom
// help.
func (x *exchange) mayRetryFailure() bool {
	if x.retriedFailure {
		x.server.RepeatEstimator.Record(x.route.Name, false)
	}
	return x.server.RepeatEstimator.Allow(x.route.Name, x.server.Clock.Now())
}

// fail ends the exchange without a successful response. It forwards the last
// failure response of an upstream if there is one, and returns the refusal
// otherwise.
func (x *exchange) fail(refused *refusal.Refusal) error {
	if x.upstreamFailure != nil && !x.headerSent {
		return x.upstreamFailure.writeTo(x)
	}
	if x.headerSent {
		return refusal.Wrap(refusal.AnswerCut, refused)
	}
	return refused
}

// refusalReason returns the reason to refuse a request whose last attempt failed
// in the given way.
func refusalReason(k retry.FailureKind) refusal.Reason {
	if k.MayHaveRun() {
		return refusal.UpstreamFailed
	}
	return refusal.RetriesExhausted
}

// failureKind maps the error of the last attempt to the kind that retries are decided by.
func (x *exchange) failureKind(err error) retry.FailureKind {
	switch {
	case errorx.IsOfType(err, upconn.ErrConnectionLost) && !x.answerBegan:
		return retry.Crashed
	case errorx.IsOfType(err, errNotRun):
		return retry.NotStarted
	case errorx.IsOfType(err, upconn.ErrNotSent):
		return retry.NotConnected
	case errorx.IsOfType(err, errFailed):
		return retry.Unavailable
	case errorx.IsOfType(err, upconn.ErrSilent):
		return retry.IdleTimeout
	}
	return retry.ConnectionLost
}

// Constants of the linear congruential generator of Knuth's MMIX.
const (
	lcgMultiplier = 6364136223846793005
	lcgIncrement  = 1442695040888963407
)

// randFloat returns a pseudo-random number in [0, 1) and advances the generator.
func (x *exchange) randFloat() float64 {
	x.randState = x.randState*lcgMultiplier + lcgIncrement
	return float64(x.randState>>(64-fractionBits)) / (1 << fractionBits)
}

// minAnnouncedWork is the expected prefill time from which other VMs are
// informed of an attempt.
const minAnnouncedWork = 150 * time.Millisecond

// tryUpstream makes one attempt: it sends the request to the upstream and
// forwards the response. It makes none, and returns errOverLimit, if the upstream's limit
// allows none.
func (x *exchange) tryUpstream(ctx context.Context, e *engines.Engine) error {
	startedAt := x.server.Clock.Now()
	a := &attempt{exchange: x, engine: e, startedAt: startedAt, expectedWait: e.ExpectedWait(), confidence: -1}
	a.model, a.expectedWork, a.expectedEnd = x.model(), x.expectedWork(), x.answerEnd
	a.missing, a.listAge = e.Missing(), x.server.UpstreamsAge()
	if a.tracked = e.Begin(a.expectedWork); a.tracked == nil {
		return errOverLimit.New("upstream %s takes no more requests from this VM now", e.ID())
	}
	x.dispatches++
	a.tracked.SetTokens(x.memoryTokens())
	a.guarded = x.server.Quarantine.Begin(e.Incarnation(), x.keys)
	if !x.route.Streaming {
		a.guarded.AssumeRunning()
	}
	a.running = x.server.Versions.Begin(a.versionAttempt())
	if a.expectedWork >= minAnnouncedWork {
		x.server.AnnounceWork(e.Upstream(), a.expectedWork)
	}
	err := a.send(ctx)
	took := x.server.Clock.Since(startedAt)
	x.recordContact(ctx, a, err, took)
	if !errorx.IsOfType(err, upconn.ErrNotSent) || errorx.IsOfType(err, errLowConfidence) {
		x.retryState.Attempts++
	}
	x.finishAttempt(ctx, a, err, took)
	return err
}
