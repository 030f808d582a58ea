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
	"github.com/poplarshore/poplarshore/refusal"
	"github.com/poplarshore/poplarshore/retry"
	"github.com/poplarshore/poplarshore/routing"
)

// exchange is one caller's request and all that is done for it.
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
	// position is the session's place among all, 0 to 1.
	position float64
	draw     uint64

	began    time.Time
	deadline time.Time
	// state counts the attempts that may have run.
	state retry.State
	// sends counts all attempts, also those that were refused.
	sends int
	// model is the index of the model to ask.
	model int
	// failure is an upstream's own failure, to pass on if nothing better comes.
	failure *held
	// repeats tells that the request was repeated after such a failure.
	repeats bool

	// paid tells that the next attempt was paid for by a silent one.
	paid bool

	// begun tells that something reached the caller.
	begun  bool
	status int
	// lastEvent is the id of the last event that the caller has.
	lastEvent string
	trail     []step
}

// step is one attempt, for the log.
type step struct {
	Upstream string `json:"upstream"`
	Version  string `json:"version"`
	Model    string `json:"model,omitempty"`
	Outcome  string `json:"outcome"`
	// Expected is how long the upstream was expected to be busy, in ms.
	Expected int64 `json:"expected"`
	// At is when the attempt began, after the request; First the time to its
	// first event. Both are in ms.
	At    int64 `json:"at"`
	First int64 `json:"first,omitempty"`
	// Pause is the longest time between events, in ms.
	Pause int64 `json:"pause,omitempty"`
	// Confidence is the model's opinion of its answer, 0 to 100.
	Confidence *int  `json:"confidence,omitempty"`
	MS         int64 `json:"ms"`
}

// admit finds the route and the account, and reads the body.
func (x *exchange) admit(r *http.Request) error {
	s := x.server
	x.deadline = x.began.Add(s.opts.DefaultDeadline)
	if why := x.awaitStart(r.Context()); why != nil {
		return why
	}
	if x.table = s.Tables.Table(); x.table == nil {
		return refusal.New(refusal.ConfigurationStale)
	}
	if x.route = x.table.Match(x.request.Host, x.request.Path); x.route == nil {
		return refusal.New(refusal.PathUnknown)
	}
	x.priority = x.route.Priority
	if err := x.identify(); err != nil {
		return err
	}
	x.setDeadline()
	if err := x.readBody(r); err != nil {
		return err
	}
	x.place()
	return nil
}

const (
	// startWait is how long a request waits for a process that has just
	// started, within the part startShare of the caller's deadline.
	startWait  = 250 * time.Millisecond
	startShare = 20
	startPoll  = 5 * time.Millisecond
)

// awaitStart returns why no new work is taken. A process that has just started
// knows its configuration within moments, so that a refusal would come too soon.
func (x *exchange) awaitStart(ctx context.Context) *refusal.Refusal {
	s := x.server
	limit := startWait
	if x.request.Deadline > 0 {
		limit = min(limit, x.request.Deadline/startShare)
	}
	for {
		why := s.Refusing()
		if why == nil || why.Reason != refusal.ConfigurationStale || s.Clock.Since(x.began) >= limit {
			return why
		}
		select {
		case <-ctx.Done():
			return refusal.Because(refusal.CallerGone, ctx.Err())
		case <-s.Clock.After(startPoll):
		}
	}
}

// identify finds the client account of the key.
func (x *exchange) identify() error {
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

func (x *exchange) setDeadline() {
	limit := x.server.opts.DefaultDeadline
	if x.route.Timeout > 0 {
		limit = x.route.Timeout
	}
	if x.request.Deadline > 0 {
		limit = min(limit, x.request.Deadline)
	}
	x.deadline = x.began.Add(limit)
}

// readBody reads the whole body, as an attempt may have to be repeated.
func (x *exchange) readBody(r *http.Request) error {
	if r.Body == nil || r.ContentLength == 0 {
		return nil
	}
	limit := x.table.Limits().MaxBodyBytes
	if limit <= 0 {
		limit = int64(x.server.opts.MaxHeldBytes)
	}
	if r.ContentLength > limit {
		return refusal.New(refusal.BodyTooLarge)
	}
	until := min(x.server.opts.BodyTimeout, time.Until(x.deadline))
	if err := x.control.SetReadDeadline(time.Now().Add(until)); err != nil {
		x.server.Log.Debug("no read deadline", "request", x.request.ID, "error", err)
	}
	body, err := io.ReadAll(http.MaxBytesReader(x.w, r.Body, limit))
	if clearErr := x.control.SetReadDeadline(time.Time{}); clearErr != nil {
		x.server.Log.Debug("read deadline stays", "request", x.request.ID, "error", clearErr)
	}
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		x.body = body
		return nil
	case errors.As(err, &tooLarge):
		return refusal.Because(refusal.BodyTooLarge, err)
	}
	return refusal.Because(refusal.BodyTimeout, err)
}

const hashBits = 53

// place settles what stays the same over all attempts.
func (x *exchange) place() {
	x.position = float64(x.draw>>(64-hashBits)) / (1 << hashBits)
	spread := x.position
	if x.request.Session != "" {
		hash := xxhash.Sum64String(x.request.Session)
		x.position = float64(hash>>(64-hashBits)) / (1 << hashBits)
	}
	x.service = x.route.Pick(spread)
	x.lastEvent = x.request.LastEvent
	x.state = retry.State{
		Account: x.account, Group: x.service, Deadline: x.deadline,
		Repeatable: x.route.Repeatable(), Resumable: x.route.Streaming && x.route.Resumable,
		MaxAttempts: max(x.route.MaxAttempts, 1),
	}
}

// firstModel settles which model is asked first.
func (x *exchange) firstModel() {
	if !x.chooses() {
		return
	}
	s := x.server
	x.model = s.opts.Cascade.First(cascade.Start{
		Models: len(x.route.Models), RunsLeft: x.state.MaxAttempts,
		Affordable: s.Retry.AffordsStep(&x.state, s.Clock.Now()),
		Direct:     x.strongBegins(0),
		Stepped:    x.strongBegins(s.reading.estimate(x.route.Models[0], x.request.PromptTokens) + headBase),
	})
}

// strongBegins returns when an answer of the strongest model is expected to
// begin if it is asked after a time, as a part of the target.
func (x *exchange) strongBegins(after time.Duration) float64 {
	s := x.server
	if x.route.TargetLatency <= 0 {
		return 0
	}
	strongest := x.route.Models[len(x.route.Models)-1]
	begins := s.Clock.Since(x.began) + after + s.reading.estimate(strongest, x.request.PromptTokens) + headBase
	return float64(begins) / float64(x.route.TargetLatency)
}

// chooses tells that the router names the model.
func (x *exchange) chooses() bool {
	return x.request.Model == "" && len(x.route.Models) > 0
}

// want describes the upstream that the next attempt needs.
func (x *exchange) want() engines.Want {
	w := engines.Want{
		Service: x.service, Allowed: x.server.Versions.Allowed(x.service, x.position),
		Tried: x.state.Tried, Draw: x.draw, Bytes: int64(len(x.body)) + answerBytes,
	}
	if x.chooses() {
		w.Chooses, w.Small = true, x.model < len(x.route.Models)-1
	}
	shared := x.request.Parts
	if len(shared) > 1 {
		shared = shared[:len(shared)-1]
	}
	for _, p := range shared {
		w.SharedTokens += p.Tokens
	}
	if len(shared) > 0 {
		w.Locality = xxhash.Sum64String(shared[len(shared)-1].ID)
	}
	return w
}

// answerBytes is the expected volume of an answer.
const answerBytes = 3000

// left returns the time left before the deadline.
func (x *exchange) left() time.Duration {
	return x.deadline.Sub(x.server.Clock.Now())
}

// over tells that no further attempt can be made, as the caller left or the time
// is up, and how the exchange ends.
func (x *exchange) over(ctx context.Context) (bool, error) {
	switch {
	case x.left() <= leastWait:
		return true, x.giveUp(refusal.New(refusal.DeadlineExceeded))
	case ctx.Err() != nil:
		return true, refusal.Because(refusal.CallerGone, ctx.Err())
	}
	return false, nil
}
