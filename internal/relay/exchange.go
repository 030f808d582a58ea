package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/poplarshore/poplarshore/account"
	"github.com/poplarshore/poplarshore/internal/egress"
	"github.com/poplarshore/poplarshore/internal/engines"
	"github.com/poplarshore/poplarshore/internal/membudget"
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
	// bodyMemory is what is reserved for the body; nil for none. buffered is the last response that was read
	// completely, nil if there was none.
	bodyMemory *membudget.Reservation
	buffered   *bufferedResponse

	table *routing.Table
	// configAge is how old the copy of the configuration was when table was selected.
	configAge configAge
	route     *routing.Route
	account   account.ID
	priority  int
	service   string
	// homeRegions are those of the route and the account; see regions.
	homeRegions homeRegions
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

	// readCut reports whether reads from the caller were ended, by a stop or the timeout of the body,
	// while its request body was read. The http.Server may then have ended the request's context as if
	// the caller had disconnected.
	readCut bool

	// abortEnd is what the caller got if the end of a planned stop's grace ended the exchange;
	// otherwise empty.
	abortEnd abortEnd

	// retryPrepaid reports whether the retry budget has already been charged for
	// the next attempt, when a silent one was given up.
	retryPrepaid bool

	// successor is that for which a silent attempt was given up, until the next attempt.
	successor successor
	// interrupted holds the upstreams of attempts that were given up for a silence, moved, or lost
	// their connection after the answer had begun. They are tried again if there is no other one.
	interrupted []*engines.Engine
	// givenUp holds the upstreams of attempts that were given up for a silence before anything came. One more
	// attempt may go to each when no other one is left.
	givenUp []*engines.Engine

	// headerSent reports whether the header of a response has been sent to the
	// caller.
	headerSent bool
	// status is the HTTP status sent with it.
	status int
	// lastEvent is the id of the last event that the caller has: from before it
	// resumed a stream, or sent by this exchange.
	lastEvent string
	// mayHaveEnded reports whether the attempt that sent the last event was given up though its
	// upstream had not failed: that event may have been the last one of the stream.
	mayHaveEnded bool
	// events is the number of events sent by this exchange.
	events int
	// answerEnd is the time to the expected end of the answer at the upstream that was chosen
	// last; zero if unknown.
	answerEnd time.Duration
	// moved reports whether a stream that was too slow was ended to go on elsewhere.
	moved      bool
	attemptLog []attemptRecord
	// keys identify the request where some crash upstreams.
	keys []quarantine.Key
	// answerDropped reports whether an answer was dropped in order to ask a stronger model.
	answerDropped bool
	// answerBegan reports whether a part of the last attempt's answer came.
	answerBegan bool
	// connectionLost reports whether an attempt ended with its connection.
	connectionLost bool

	// output sends the answer to the caller; nil until a part of it has been sent. cancel ends
	// the attempts.
	output *egress.Writer
	cancel context.CancelFunc

	// hop is what another VM says of the request that it asks this one to relay; nil for a
	// request of a caller. relayedAdmitted reports whether it counts as in flight.
	hop             *peerRequest
	relayedAdmitted bool
	// notConnected counts the attempts that found no connection, and connectTimedOut reports
	// whether one of them waited for it in vain.
	notConnected    int
	connectTimedOut bool
	// placeWait is how long the request has waited for a place at a fragile upstream, or a grant
	// for a cold one.
	placeWait time.Duration
	// admission is the permit of the request among those in flight for its service.
	admission admissionState
	// firstCounted reports whether this VM counts the first attempt of the request in its retry budgets.
	firstCounted bool
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
	// Silences is how often nothing came for the idle timeout; the attempt goes on after all of them
	// but the one that it is given up for.
	Silences int `json:"silences,omitempty"`
	// Gap is the usual time between two events, in ms; 0 if it is unknown.
	Gap int64 `json:"gap,omitempty"`
	// End is the time from the start of the attempt to the end of the answer that was expected
	// when it began, in ms; 0 if unknown.
	End int64 `json:"end,omitempty"`
	// Missing reports whether the upstream's entry was missing in the store when the attempt
	// began, and ListAge how old the list of upstreams was, in ms, if that is unusual.
	Missing bool  `json:"missing,omitempty"`
	ListAge int64 `json:"list_age,omitempty"`
	// Running and Waiting are the requests at the upstream by the load report of the response's header; 0 if it has none.
	Running int `json:"running,omitempty"`
	Waiting int `json:"waiting,omitempty"`
	// Slow reports whether the attempt was counted as slow for its version while it ran.
	Slow bool `json:"slow,omitempty"`
	// Confidence is the model's confidence in its response, 0 to 100; nil if it
	// reported none.
	Confidence *int `json:"confidence,omitempty"`
	// MS is the duration of the attempt, in ms.
	MS int64 `json:"ms"`
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

// requirements returns the criteria for the upstream of the next attempt.
func (x *exchange) requirements() engines.Requirements {
	req := engines.Requirements{
		Service: x.service, Regions: x.regions(), Allowed: x.server.Versions.Allowed(x.service, x.sessionPosition),
		Tried: x.retryState.Tried, Draw: x.randState, Bytes: int64(len(x.body)) + expectedResponseBytes,
	}
	req.Answer = x.answerShape()
	req.TrialShare = x.server.Versions.TrialShare(x.service, x.sessionPosition)
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

// ended reports whether no further attempt can be made, because running requests are being
// aborted, the deadline has passed or the caller disconnected. If so, the error is the result of the
// exchange; nil means that a response has been sent.
func (x *exchange) ended(ctx context.Context) (bool, error) {
	switch {
	case x.server.aborting():
		return true, x.fail(refusal.New(refusal.Draining))
	case x.timeLeft() <= minWait:
		return true, x.fail(refusal.New(refusal.DeadlineExceeded))
	case ctx.Err() != nil:
		return true, refusal.Wrap(refusal.CallerGone, ctx.Err())
	}
	return false, nil
}
