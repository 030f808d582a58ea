package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/poplarshore/poplarshore/cascade"
	"github.com/poplarshore/poplarshore/internal/engines"
	"github.com/poplarshore/poplarshore/internal/quarantines"
	"github.com/poplarshore/poplarshore/internal/shifts"
	"github.com/poplarshore/poplarshore/internal/upconn"
	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/retry"
	"github.com/poplarshore/poplarshore/route"
)

// attempt is one try of a request on one upstream.
type attempt struct {
	exchange *exchange
	engine   *engines.Engine
	model    model.Name
	// tracked is the attempt as registered with the engine, which derives its
	// load and circuit breaker from it.
	tracked *engines.Attempt
	// expectedWait is how long the upstream was expected to be busy with earlier
	// requests when the attempt started.
	expectedWait time.Duration
	// expectedWork is how long the upstream was expected to process the prompt.
	expectedWork time.Duration
	startedAt    time.Time
	// guarded is the attempt as the quarantine sees it.
	guarded *quarantines.Attempt
	// running is the attempt as the roll-out of its version sees it.
	running *shifts.Running
	// firstAfter is the time from startedAt to the first event, or to the
	// complete response if it has no events; lastAfter is the time to the newest
	// event, zero without events.
	firstAfter, lastAfter time.Duration
	// headAfter is the time from startedAt to the response's header; zero if none came.
	headAfter time.Duration
	// maxGap is the longest time between two events.
	maxGap time.Duration
	// silences counts how often nothing came for the idle timeout; overdue reports whether nothing
	// has come since the last time.
	silences int
	overdue  bool
	// expectedEnd is the time from startedAt to the expected end of the answer; zero if unknown.
	expectedEnd time.Duration
	// events is the number of events, and pacedEvents that of those recorded for the pace of
	// the upstream.
	events, pacedEvents int
	move                moveState
	replacement         replacement
	// confidence is the model's confidence in its response, 0 to 100; negative if
	// it reported none.
	confidence int
	// paused reports whether the upstream turned the request away and asked for a pause.
	// Such an attempt is evidence neither about the upstream nor about its version.
	paused bool
	// missing reports whether the upstream's entry was missing when the attempt began, and
	// listAge is how old the list of upstreams was.
	missing bool
	listAge time.Duration
	// loadReported reports whether the response's header has a load report.
	loadReported bool
	// load is that report; zero without one.
	load route.Load
}

// versionAttempt describes the attempt for the roll-out of its version.
func (a *attempt) versionAttempt() shifts.Attempt {
	x := a.exchange
	kind := string(a.model)
	if kind == "" {
		kind = x.route.Name
	}
	return shifts.Attempt{
		Service: x.service, Version: a.engine.Version(), Route: x.route.Name, Kind: kind,
		PromptTokens: x.request.PromptTokens, Load: a.engine.Requests(),
	}
}

// networkLatency returns the part of the time to the first event that the distance to
// the upstream takes.
func (a *attempt) networkLatency(newConnection bool) time.Duration {
	roundTrip := 2 * a.engine.LinkLatency()
	if newConnection {
		return 2 * roundTrip
	}
	return roundTrip
}

// send sends the request, records what the response's header reports, and
// handles the response.
func (a *attempt) send(ctx context.Context) error {
	x := a.exchange
	s := x.server
	resp, err := s.Pool.Do(ctx, upconn.Call{
		Address:       a.engine.Address(),
		HeaderTimeout: a.headerWait(),
		OnSilence:     a.onSilence,
		Request:       a.upstreamRequest(),
		Withdrawn:     a.withdrawn,
		ID:            x.request.ID,
		ResponseID:    s.Protocol.ResponseID,
		IdleTimeout: func(h http.Header) time.Duration {
			return s.Protocol.ReadHead(http.StatusOK, h).IdleTimeout
		},
	})
	if err != nil {
		return err
	}
	defer resp.Close()
	a.headAfter = s.Clock.Since(a.startedAt)
	a.recordContact(headContact(resp))
	a.running.SetNetworkLatency(a.networkLatency(resp.NewConnection))
	head := s.Protocol.ReadHead(resp.Status, resp.Header)
	if head.Leaving {
		a.engine.MarkLeaving()
	}
	if head.Pause > 0 {
		a.paused = true
		a.engine.Pause(head.Pause)
	}
	switch {
	case resp.Status == http.StatusMisdirectedRequest:
		a.engine.MarkMisdirected()
	case head.Sealed:
		a.engine.MarkAnswered()
	}
	if resp.Status != http.StatusMisdirectedRequest {
		a.recordStart(head)
		a.engine.SetRequestLimit(head.RequestLimit, a.startedAt)
		a.engine.SetFragile(head.Fragile, a.startedAt)
	}
	if head.Sealed && !head.NotRun {
		a.guarded.BeginAnswer()
	}
	a.confidence = head.Confidence
	if head.HasLoad {
		a.load = head.Load
		a.engine.UpdateLoad(head.Load)
		a.running.SetLoad(head.Load.Running + head.Load.Waiting)
	}
	if isRejection(resp.Status, head) {
		a.engine.MarkRejected()
	}
	a.reportHead(resp.Status, head)
	return a.handleResponse(resp, head)
}

// withdrawn reports whether the upstream must not get the request any more, by what became known
// since it was chosen.
func (a *attempt) withdrawn() bool {
	return a.exchange.refuseUnfinishable() != nil || !a.engine.TakesRequests() || !a.exchange.regions().Contains(a.engine.Region())
}

// isRejection reports whether a response turns the request away for the time being.
func isRejection(status int, head Head) bool {
	return head.NotRun && status == http.StatusServiceUnavailable
}

// upstreamRequest returns the request to send to the upstream.
func (a *attempt) upstreamRequest() upconn.Request {
	x := a.exchange
	return upconn.Request{
		Method: x.request.Method, Target: x.request.Target, Host: x.request.Host, Body: x.body,
		Header: x.server.Protocol.UpstreamHeader(UpstreamAttempt{
			Request: x.request, Upstream: a.engine.ID(), Account: x.account, Model: a.model,
			Priority: x.priority, LastEvent: x.lastEvent, TimeLeft: x.timeLeft(),
		}),
	}
}

// handleResponse decides by a response's status and header whether to forward
// it, and forwards it.
func (a *attempt) handleResponse(resp *upconn.Response, head Head) error {
	x := a.exchange
	switch {
	case head.NotRun:
		resp.Drain(maxDrainBytes, min(drainTimeout, x.timeLeft()))
		return errNotRun.New("upstream did not run the request: status %d from %s", resp.Status, a.engine.ID())
	case !x.mayForward(resp.Status):
		return a.dropFailure(resp)
	case resp.Status < http.StatusMultipleChoices && !head.Sealed:
		return upconn.ErrBroken.New("expected a seal on the successful response from %s, got none", a.engine.ID())
	case resp.Status >= http.StatusInternalServerError:
		return a.buffer(resp, true)
	case a.shouldEscalate(head):
		a.recordReceived()
		return errLowConfidence.New("response dropped for a stronger model: confidence %d of %s", head.Confidence, a.model)
	case x.headerSent && !x.continuesStream(resp):
		return upconn.ErrBroken.New("expected an event stream with status %d to resume from %s, got %q with status %d",
			x.status, a.engine.ID(), resp.Header.Get("Content-Type"), resp.Status)
	case isEventStream(resp.Header):
		return a.forwardStream(resp)
	}
	return a.buffer(resp, false)
}

// shouldEscalate reports whether to drop this response and ask a stronger model.
// If so, it selects the model of the next attempt and charges the cascade step
// to the retry budget. The response is kept if no upstream takes another attempt.
func (a *attempt) shouldEscalate(head Head) bool {
	x := a.exchange
	if !x.routerPicksModel() || x.headerSent {
		return false
	}
	next, escalate := x.nextModelInTime(cascade.Answer{
		Model: x.modelIndex, Models: len(x.route.Models), Confidence: head.Confidence,
		RunsLeft: x.retryState.MaxAttempts - x.retryState.Attempts - 1, TimeLeft: x.timeLeft(),
		Wait: x.relativeWait(), ExpectedStart: x.strongestFirstEvent(0),
	})
	if !escalate {
		return false
	}
	if x.refuseUnfinishable() != nil {
		x.server.Metrics.cascadeSteps.WithLabelValues("kept_" + plannedStop).Inc()
		return false
	}
	if x.server.Placement.Choose(x.requirements()).Engine == nil {
		x.server.Metrics.cascadeSteps.WithLabelValues("kept_" + retry.NoAlternative.String()).Inc()
		return false
	}
	now := x.server.Clock.Now()
	if reason := x.server.Retry.DecideStep(&x.retryState, now); reason != retry.Allowed {
		x.server.Metrics.cascadeSteps.WithLabelValues("kept_" + reason.String()).Inc()
		return false
	}
	x.server.Metrics.cascadeSteps.WithLabelValues("dropped").Inc()
	x.modelIndex, x.answerDropped = next, true
	return true
}

// relativeWait returns how long the best upstream is expected to be busy, as a
// fraction of the route's latency target, plus a surcharge for a highly utilized
// batch. It returns 0 without a target and 1 without an upstream.
func (x *exchange) relativeWait() float64 {
	s := x.server
	if x.route.TargetLatency <= 0 {
		return 0
	}
	choice := s.Placement.Choose(x.requirements())
	if choice.Engine == nil {
		return 1
	}
	surcharge := max(choice.Engine.Utilization()-freeUtilization, 0) * utilizationWeight
	return float64(choice.Engine.ExpectedWait())/float64(x.route.TargetLatency) + surcharge
}

const (
	// freeUtilization is the utilization of an upstream's batch, 0 to 1, above
	// which a request to a strong model displaces other requests.
	// utilizationWeight converts the utilization above it into a wait, as a
	// fraction of the latency target.
	freeUtilization   = 0.5
	utilizationWeight = 0.6
)

// sendHeader sends the status and header of a response to the caller.
func (x *exchange) sendHeader(status int, header http.Header) {
	dst := x.w.Header()
	for name, values := range x.server.Protocol.CallerHeader(header) {
		dst[name] = values
	}
	if isEventStream(header) {
		// The length is that of the part from the first upstream if the stream is resumed.
		dst.Del("Content-Length")
	}
	if x.hop != nil {
		x.server.Protocol.SetResponseID(dst, x.request.ID)
	}
	x.askToClose()
	x.headerSent, x.status = true, status
	x.w.WriteHeader(status)
}

// askToClose sets the header that asks the caller to close its connection if the VM is stopping,
// which may have begun after the request.
func (x *exchange) askToClose() {
	if x.server.Draining() {
		x.w.Header().Set("Connection", "close")
	}
}
