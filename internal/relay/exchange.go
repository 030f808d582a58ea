package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/poplarshore/poplarshore/account"
	"github.com/poplarshore/poplarshore/cascade"
	"github.com/poplarshore/poplarshore/internal/engines"
	"github.com/poplarshore/poplarshore/quarantine"
	"github.com/poplarshore/poplarshore/refusal"
	"github.com/poplarshore/poplarshore/retry"
	"github.com/poplarshore/poplarshore/routing"
)

// exchange is the handling of one caller's request over all of its attempts.
type exchange struct {
	server  *Server
	w       http.ResponseWriter
	control *http.ResponseController
	request *Request
	body    []byte

	table    *routing.Table
	route    *routing.Route
	account  account.ID
	priority int
	service  string
	// sessionPosition selects the versions that the session may use. It is a
	// hash of the session, or random without one, from 0 to 1.
	sessionPosition float64
	// randState is the state of the random number generator. It also seeds the
	// selection of upstreams.
	randState uint64

	startedAt time.Time
	deadline  time.Time
	// retryState is the state of the retry policy. Its Attempts counts the
	// attempts that may have run.
	retryState retry.State
	// dispatches counts all attempts, including those that upstreams did not run.
	dispatches int
	// modelIndex is the model to ask, as an index into the route's models.
	modelIndex int
	// upstreamFailure is the last failure response of an upstream. It is
	// forwarded if no later attempt succeeds.
	upstreamFailure *bufferedResponse
	// retriedFailure reports whether the request was retried after such a
	// failure.
	retriedFailure bool

	// refusalDetail is what the request log tells of a refusal beside its reason; may be
	// empty.
	refusalDetail string

	// retryPrepaid reports whether the retry budget has already been charged for
	// the next attempt, when a silent one was given up.
	retryPrepaid bool

	// headerSent reports whether the header of a response has been sent to the
	// caller.
	headerSent bool
	// status is the HTTP status sent with it.
	status int
	// lastEvent is the id of the last event that the caller has: from before it
	// resumed a stream, or sent by this exchange.
	lastEvent  string
	attemptLog []attemptRecord
	// keys identify the request where some crash upstreams.
	keys []quarantine.Key
	// answerBegan reports whether a part of the last attempt's answer came.
	answerBegan bool
	// connectionLost reports whether an attempt ended with its connection.
	connectionLost bool

	// hop is what another VM says of the request that it asks this one to relay; nil for a
	// request of a caller. relayedAdmitted reports whether it counts as in flight.
	hop             *peerRequest
	relayedAdmitted bool
	// notConnected counts the attempts that found no connection, and connectTimedOut reports
	// whether one of them waited for it in vain.
	notConnected    int
	connectTimedOut bool
	// placeWait is how long the request has waited for a place at an upstream.
	placeWait time.Duration
	// peersAsked reports whether other VMs were asked to relay the request.
	peersAsked bool
}

// attemptRecord describes one attempt in the request log. A text log shows the
// fields under their Go names.
type attemptRecord struct {
	Upstream string `json:"upstream,omitempty"`
	// VM is the VM that was asked to relay the request, in place of an upstream.
	VM      string `json:"vm,omitempty"`
	Version string `json:"version,omitempty"`
	Model   string `json:"model,omitempty"`
	Outcome string `json:"outcome"`
	// Expected is how long the upstream was expected to be busy with earlier
	// requests, in ms.
	Expected int64 `json:"expected"`
	// At is the time from the start of the exchange to that of the attempt, and
	// First the time from there to its first event, both in ms.
	At    int64 `json:"at"`
	First int64 `json:"first,omitempty"`
	// Head is the time from the start of the attempt to the response's header, in ms;
	// 0 if none came.
	Head int64 `json:"head,omitempty"`
	// Pause is the longest time between two events, in ms.
	Pause int64 `json:"pause,omitempty"`
	// Gap is the usual time between two events, in ms; 0 if it is unknown.
	Gap int64 `json:"gap,omitempty"`
	// Slow reports whether the attempt was counted as slow for its version while it ran.
	Slow bool `json:"slow,omitempty"`
	// Confidence is the model's confidence in its response, 0 to 100; nil if it
	// reported none.
	Confidence *int `json:"confidence,omitempty"`
	// MS is the duration of the attempt, in ms.
	MS int64 `json:"ms"`
}

// admit prepares an exchange for its first attempt: it finds the route and the
// client account, sets the deadline, and reads the body. Every error it returns
// is a refusal.
func (x *exchange) admit(r *http.Request) error {
	s := x.server
	x.deadline = x.startedAt.Add(s.opts.DefaultDeadline)
	if x.hop != nil {
		if refused := x.admitRelayed(); refused != nil {
			return refused
		}
	}
	if refused := x.awaitStartup(r.Context()); refused != nil {
		return refused
	}
	if x.table = s.Tables.Table(); x.table == nil {
		return refusal.New(refusal.ConfigurationStale)
	}
	if x.route = x.table.Match(x.request.Host, x.request.Path); x.route == nil {
		return refusal.New(refusal.PathUnknown)
	}
	x.priority = x.route.Priority
	if err := x.authenticate(); err != nil {
		return err
	}
	x.setDeadline()
	if err := x.readBody(r); err != nil {
		return err
	}
	x.initRouting()
	if x.hop != nil {
		if refused := x.checkRelayed(); refused != nil {
			return refused
		}
	}
	return nil
}

const (
	// startupWait is how long a request waits for the first configuration after
	// the process started, but at most the caller's deadline divided by
	// startupWaitDivisor.
	startupWait        = 600 * time.Millisecond
	startupWaitDivisor = 8
	// startupPoll is the interval at which the configuration is checked.
	startupPoll = 5 * time.Millisecond
)

// awaitStartup returns the reason why new requests are refused, or nil. A process
// reads its configuration shortly after it starts, so a request that arrives
// before that waits for a short time instead of being refused at once.
func (x *exchange) awaitStartup(ctx context.Context) *refusal.Refusal {
	s := x.server
	limit := startupWait
	if x.request.Deadline > 0 {
		limit = min(limit, x.request.Deadline/startupWaitDivisor)
	}
	for {
		refused := s.AdmissionRefusal()
		if refused == nil || refused.Reason != refusal.ConfigurationStale || s.Clock.Since(x.startedAt) >= limit {
			return refused
		}
		select {
		case <-ctx.Done():
			return refusal.Wrap(refusal.CallerGone, ctx.Err())
		case <-s.Clock.After(startupPoll):
		}
	}
}

// authenticate finds the client account of the caller's key. Public routes, and
// configurations without keys, need none.
func (x *exchange) authenticate() error {
	if !x.table.KeysRequired() || x.route.Public {
		return nil
	}
	a := x.table.Account(x.request.Key)
	if a == nil {
		return refusal.New(refusal.Unauthorized)
	}
	x.account = a.ID
	if a.HasPriority {
		x.priority = a.Priority
	}
	return nil
}

// setDeadline sets the deadline from the route's timeout and the caller's own
// deadline, whichever is sooner.
func (x *exchange) setDeadline() {
	limit := x.server.opts.DefaultDeadline
	if x.route.Timeout > 0 {
		limit = x.route.Timeout
	}
	if x.request.Deadline > 0 {
		limit = min(limit, x.request.Deadline)
	}
	x.deadline = x.startedAt.Add(limit)
}

// readBody reads the whole request body into memory, as further attempts may
// have to send it again.
func (x *exchange) readBody(r *http.Request) error {
	if r.Body == nil || r.ContentLength == 0 {
		return nil
	}
	limit := x.table.Limits().MaxBodyBytes
	if limit <= 0 {
		limit = int64(x.server.opts.MaxBufferedBytes)
	}
	if r.ContentLength > limit {
		return refusal.New(refusal.BodyTooLarge)
	}
	timeout := min(x.server.opts.BodyTimeout, time.Until(x.deadline))
	if err := x.control.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		x.server.Log.Debug("failed to set read deadline for request body", "request", x.request.ID, "error", err)
	}
	body, err := io.ReadAll(http.MaxBytesReader(x.w, r.Body, limit))
	if clearErr := x.control.SetReadDeadline(time.Time{}); clearErr != nil {
		x.server.Log.Debug("failed to clear read deadline of request body", "request", x.request.ID, "error", clearErr)
	}
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		x.body = body
		return nil
	case errors.As(err, &tooLarge):
		return refusal.Wrap(refusal.BodyTooLarge, err)
	}
	return refusal.Wrap(refusal.BodyTimeout, err)
}

// fractionBits is the number of random bits in the fraction of a float64.
const fractionBits = 53

// initRouting selects the service and the session position, which stay the same
// over all attempts, and sets up the retry state.
func (x *exchange) initRouting() {
	x.sessionPosition = float64(x.randState>>(64-fractionBits)) / (1 << fractionBits)
	serviceDraw := x.sessionPosition
	if x.request.Session != "" {
		hash := xxhash.Sum64String(x.request.Session)
		x.sessionPosition = float64(hash>>(64-fractionBits)) / (1 << fractionBits)
	}
	x.service = x.route.Pick(serviceDraw)
	x.lastEvent = x.request.LastEvent
	x.keys = x.quarantineKeys()
	x.retryState = retry.State{
		Account: x.account, Group: x.service, Deadline: x.deadline,
		Repeatable: x.route.Repeatable(), Resumable: x.route.Streaming && x.route.Resumable,
		MaxAttempts: max(x.route.MaxAttempts, 1),
	}
	if x.hop != nil {
		x.retryState.MaxAttempts = min(x.retryState.MaxAttempts, x.hop.attemptsLeft)
	}
}

// chooseFirstModel selects the model of the first attempt, if the router selects
// models for this request.
func (x *exchange) chooseFirstModel() {
	if !x.routerPicksModel() {
		return
	}
	s := x.server
	x.modelIndex = s.opts.Cascade.First(cascade.FirstInput{
		Models: len(x.route.Models), RunsLeft: x.retryState.MaxAttempts,
		SecondRunAllowed: s.Retry.CanStep(&x.retryState, s.Clock.Now()),
		DirectStart:      x.strongestFirstEvent(0),
		SteppedStart:     x.strongestFirstEvent(s.prefill.estimate(x.route.Models[0], x.request.PromptTokens) + firstEventBase),
	})
}

// strongestFirstEvent returns when the first event of the strongest model is
// expected if the model is asked after the given delay. The time counts from the
// start of the exchange and is a fraction of the latency target; it is 0 without
// a target.
func (x *exchange) strongestFirstEvent(delay time.Duration) float64 {
	s := x.server
	if x.route.TargetLatency <= 0 {
		return 0
	}
	strongest := x.route.Models[len(x.route.Models)-1]
	firstEvent := s.Clock.Since(x.startedAt) + delay + s.prefill.estimate(strongest, x.request.PromptTokens) + firstEventBase
	return float64(firstEvent) / float64(x.route.TargetLatency)
}

// routerPicksModel reports whether the router selects the model: the request
// names none and the route lists some.
func (x *exchange) routerPicksModel() bool {
	return x.request.Model == "" && len(x.route.Models) > 0
}

// requirements returns the criteria for the upstream of the next attempt.
func (x *exchange) requirements() engines.Requirements {
	req := engines.Requirements{
		Service: x.service, Allowed: x.server.Versions.Allowed(x.service, x.sessionPosition),
		Tried: x.retryState.Tried, Draw: x.randState, Bytes: int64(len(x.body)) + expectedResponseBytes,
	}
	if x.routerPicksModel() {
		req.RouterPicksModel, req.SmallModel = true, x.modelIndex < len(x.route.Models)-1
	}
	sharedParts := x.request.Parts
	if len(sharedParts) > 1 {
		sharedParts = sharedParts[:len(sharedParts)-1]
	}
	for _, p := range sharedParts {
		req.SharedTokens += p.Tokens
	}
	if len(sharedParts) > 0 {
		req.PrefixHash = xxhash.Sum64String(sharedParts[len(sharedParts)-1].ID)
	}
	return req
}

// expectedResponseBytes is the assumed size of a response, for the price of
// links between regions.
const expectedResponseBytes = 3000

// timeLeft returns the time until the deadline.
func (x *exchange) timeLeft() time.Duration {
	return x.deadline.Sub(x.server.Clock.Now())
}

// ended reports whether no further attempt can be made, because the deadline has
// passed or the caller disconnected. If so, the error is the result of the
// exchange; nil means that a response has been sent.
func (x *exchange) ended(ctx context.Context) (bool, error) {
	switch {
	case x.timeLeft() <= minWait:
		return true, x.fail(refusal.New(refusal.DeadlineExceeded))
	case ctx.Err() != nil:
		return true, refusal.Wrap(refusal.CallerGone, ctx.Err())
	}
	return false, nil
}
