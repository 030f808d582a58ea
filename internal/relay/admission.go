package relay

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"github.com/poplarshore/poplarshore/internal/admission"
	"github.com/poplarshore/poplarshore/refusal"
)

// Admission bounds the requests in flight for a service while its upstreams are overloaded.
type Admission interface {
	// Acquire waits until the request may be sent. The error is a *refusal.Refusal.
	Acquire(ctx context.Context, service string, w admission.Work) (admission.Permit, error)
	// RetryAfter returns when a request that was refused may come back.
	RetryAfter(service string, w admission.Work) time.Duration
}

const (
	// While a service has a limit, a request is tried at one further upstream after a rejection,
	// and then waits for a permit again, once.
	rejectionsPerPermit = 2
	maxPermits          = 2
)

// admissionState is the permit of an exchange to use the upstreams of its service, and how its
// attempts with it went.
type admissionState struct {
	permit admission.Permit
	// acquired counts how often the exchange got a permit, and rejections the upstreams that
	// turned it away since it got the last one.
	acquired, rejections int
}

// acquirePermit waits for a permit unless the exchange has one, and returns the refusal if it gets
// none.
func (x *exchange) acquirePermit(ctx context.Context) *refusal.Refusal {
	if x.server.Admission == nil || x.admission.permit.Held() {
		return nil
	}
	ctx, endWait := x.waitContext(ctx)
	defer endWait()
	permit, err := x.server.Admission.Acquire(ctx, x.service, x.admissionWork())
	if err != nil {
		if refused := causeOf(ctx); refused != nil {
			return refused
		}
		return refusal.FromError(err)
	}
	x.admission.permit, x.admission.rejections = permit, 0
	x.admission.acquired++
	return nil
}

// releasePermit gives the permit back, if the exchange has one. served reports whether an upstream
// served the request.
func (x *exchange) releasePermit(served bool) {
	if x.admission.permit.Held() {
		x.admission.permit.Release(served)
		x.admission.permit = admission.Permit{}
	}
}

// admissionWork describes the request for its admission.
func (x *exchange) admissionWork() admission.Work {
	work := x.expectedWork() + firstEventBase
	w := admission.Work{
		Account: x.account, Rank: x.priority, LatestStart: x.deadline.Add(-work),
		Tokens: max(x.request.PromptTokens, 1), Bytes: len(x.body) + expectedRequestBytes,
	}
	w.Start = w.LatestStart
	if x.route.TargetLatency > 0 {
		w.Start = x.startedAt.Add(min(x.route.TargetLatency-work, x.deadline.Sub(x.startedAt)-work))
	}
	return w
}

// expectedRequestBytes is the assumed memory of a waiting request beside its body, in bytes.
const expectedRequestBytes = 16 << 10

// refuseRejected handles an attempt that an upstream turned away while the service has a limit. It
// gives the permit back after a second upstream did so, and returns a refusal once the request
// has had its last permit.
func (x *exchange) refuseRejected(err error) *refusal.Refusal {
	if !x.admission.permit.Held() || !errorx.IsOfType(err, errNotRun) || x.headerSent || !x.admission.permit.Limited() {
		return nil
	}
	if x.admission.rejections < rejectionsPerPermit {
		return nil
	}
	x.releasePermit(false)
	if x.admission.acquired < maxPermits {
		return nil
	}
	return refusal.Wrap(refusal.Overloaded, err).WithRetryAfter(x.server.Admission.RetryAfter(x.service, x.admissionWork()))
}

// reportHead tells the gate of the service what the header of a response says of the
// upstream's load.
func (a *attempt) reportHead(status int, head Head) {
	permit := a.exchange.admission.permit
	if !permit.Held() || head.Leaving {
		return
	}
	a.loadReported = head.HasLoad
	switch {
	case isRejection(status, head):
		a.exchange.admission.rejections++
		permit.ReportRejected(head.Load, head.HasLoad)
	case head.HasLoad && !head.NotRun:
		permit.ReportLoad(head.Load)
	}
}

// reportFirst tells the gate of the service how long the answer took to begin.
func (a *attempt) reportFirst() {
	x := a.exchange
	if x.admission.permit.Held() {
		x.admission.permit.ReportFirst(a.firstAfter, a.expectedWait, a.expectedWork+firstEventBase, x.route.TargetLatency, a.loadReported)
	}
}
