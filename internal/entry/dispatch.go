package entry

import (
	"context"
	"errors"
	"time"

	"github.com/joomcode/errorx"

	"github.com/poplarshore/poplarshore/document"
	"github.com/poplarshore/poplarshore/internal/engineclient"
	"github.com/poplarshore/poplarshore/internal/sequence"
	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/refusal"
	"github.com/poplarshore/poplarshore/retry"
	"github.com/poplarshore/poplarshore/upstream"
)

// job describes a request for one answer of one model, over all of its attempts.
type job struct {
	request *completionRequest
	model   model.Name
	// pinned is the session's version; may be empty.
	pinned model.VersionID
	// assignmentKey is the same for all requests of a session. It decides which
	// version a request gets during a roll-out.
	assignmentKey string
	// preferred is the session's engine; may be empty.
	preferred upstream.ID
	tried     []upstream.ID
	// cascaded reports whether another model answers if this one doesn't.
	cascaded bool
}

func (j *job) path() string {
	if j.request.Chat {
		return "/v1/chat/completions"
	}
	return "/v1/completions"
}

func (j *job) requirements(client *document.Client) Requirements {
	return Requirements{
		Client: client, Prompt: j.request.Prompt, AnswerTokens: j.request.MaxTokens,
		Preferred: j.preferred, Tried: j.tried,
	}
}

// dispatch makes attempts until one returns a complete answer or no further attempt
// is allowed. It returns the last attempt, or nil if no upstream could be selected.
func (s *Server) dispatch(ctx context.Context, x *Exchange, j *job, sink answerSink) (*attempt, error) {
	state := s.retryState(x, string(j.model), true)
	var lastErr error
	for {
		a, err := s.placeAttempt(x, j)
		if err != nil {
			return nil, s.placeError(x, err, lastErr)
		}
		a, err = s.newRace(x, j, sink).run(ctx, state, a)
		if err == nil {
			return a, nil
		}
		if refused := s.terminalError(ctx, x, err, sink); refused != nil {
			return a, refused
		}
		if err := s.waitForRetry(ctx, x, state, err); err != nil {
			return a, err
		}
		j.tried = append(j.tried, a.engine.ID)
		lastErr = err
	}
}

// retryState records the request with the retry policy and returns its state.
func (s *Server) retryState(x *Exchange, group string, repeatable bool) *retry.State {
	state := &retry.State{
		Account: x.Client.Account, Group: group, Attempts: 1, Deadline: x.Deadline, Repeatable: repeatable,
	}
	s.Retry.Begin(state, s.Clock.Now())
	return state
}

// waitForRetry waits for the backoff before the next attempt, or returns the
// refusal that ends the exchange if the retry policy allows no further attempt.
func (s *Server) waitForRetry(ctx context.Context, x *Exchange, state *retry.State, cause error) error {
	failure := retry.Failure{Kind: failureKind(cause), HasAlternative: true}
	decision := s.Retry.Decide(state, failure, s.Draw(), s.Clock.Now())
	if decision.Action != retry.Retry {
		return refusal.Wrap(exhaustedReason(x), cause).WithRan(x.ran()).With("No further attempt: %s.", decision.Reason)
	}
	state.Attempts++
	s.metrics.retries.WithLabelValues(failure.Kind.String()).Inc()
	ctx, cancel := s.waitContext(ctx, x)
	defer cancel()
	if !s.sleep(ctx, decision.Delay) {
		return s.contextError(ctx, x)
	}
	return nil
}

// failureKind classifies a failed attempt for the retry policy.
func failureKind(err error) retry.FailureKind {
	switch {
	case errorx.IsOfType(err, engineclient.ErrConnect), errorx.IsOfType(err, errConnect):
		return retry.NotConnected
	case errorx.IsOfType(err, engineclient.ErrNotStarted), errorx.IsOfType(err, errNotStarted):
		return retry.NotStarted
	case errorx.IsOfType(err, engineclient.ErrSilent), errorx.IsOfType(err, errSilent):
		return retry.IdleTimeout
	case errorx.IsOfType(err, engineclient.ErrStatus), errorx.IsOfType(err, engineclient.ErrGone):
		return retry.Unavailable
	case errorx.IsOfType(err, engineclient.ErrRejected):
		return retry.Rejected
	default:
		return retry.ConnectionLost
	}
}

func exhaustedReason(x *Exchange) refusal.Reason {
	if x.ran() == refusal.RanUnknown {
		return refusal.UpstreamFailed
	}
	return refusal.RetriesExhausted
}

// placeError returns the refusal for an error of placeAttempt. If no upstream is
// available after a failed attempt, the refusal reports that failure instead.
func (s *Server) placeError(x *Exchange, err, lastErr error) error {
	refused := refusal.FromError(err)
	if lastErr != nil && refused.Reason == refusal.NoUpstream {
		return refusal.Wrap(exhaustedReason(x), lastErr).WithRan(x.ran())
	}
	return refused.WithRan(x.ran())
}

// placeAttempt selects the version and the engine of the next attempt with the
// configuration in force. If all engines have been tried, it starts over with all
// of them.
func (s *Server) placeAttempt(x *Exchange, j *job) (*attempt, error) {
	if err := s.checkDrain(x); err != nil {
		return nil, err
	}
	index, client, err := s.currentConfig(x)
	if err != nil {
		return nil, err
	}
	refs, err := s.allowedVersions(index, client, j)
	if err != nil {
		return nil, err
	}
	requirements := j.requirements(client)
	for _, ref := range refs {
		requirements.Ref = ref
		if u := s.Placement.Choose(index, requirements); u != nil {
			return s.newAttempt(index, ref, u)
		}
	}
	if len(j.tried) == 0 {
		return nil, refusal.New(refusal.NoUpstream)
	}
	j.tried = nil
	return s.placeAttempt(x, j)
}

// currentConfig returns the configuration in force and the caller's account in it,
// which both may have changed since the request arrived. A key that was revoked since is
// refused.
func (s *Server) currentConfig(x *Exchange) (*document.Index, *document.Client, error) {
	if refused := s.Config.Refusal(); refused != nil {
		return nil, nil, refused
	}
	index := s.Config.Index()
	client, ok := index.Client(x.key)
	if !ok || client.Account != x.Client.Account {
		return nil, nil, refusal.New(refusal.Unauthorized)
	}
	return index, client, nil
}

func (s *Server) newAttempt(index *document.Index, ref model.Ref, u *upstream.Upstream) (*attempt, error) {
	address, ok := s.Addresses.Address(u.ID)
	if !ok {
		return nil, refusal.New(refusal.NoUpstream).With("Upstream %q has no address in the settings.", u.ID)
	}
	id := s.NewID()
	return &attempt{id: id, ref: ref, index: index, engine: u, address: address, sequence: sequence.New(id, 0)}, nil
}

// allowedVersions returns the versions that the job may run on, in order of
// preference.
func (s *Server) allowedVersions(index *document.Index, client *document.Client, j *job) ([]model.Ref, error) {
	if !client.Contract.AllowsModel(j.model) {
		return nil, refusal.New(refusal.ModelNotAllowed).With("The model is %q.", j.model)
	}
	if j.pinned != "" {
		return s.pinnedVersion(index, client, model.Ref{Model: j.model, Version: j.pinned})
	}
	allowed := 0
	var refs []model.Ref
	for _, ref := range s.Versions.Assign(index, j.model, j.assignmentKey) {
		if !client.Contract.AllowsVersion(ref) {
			continue
		}
		allowed++
		if !index.Withdrawn(ref) && !s.Versions.Stopped(ref) {
			refs = append(refs, ref)
		}
	}
	switch {
	case len(refs) > 0:
		return refs, nil
	case allowed > 0:
		return nil, refusal.New(refusal.VersionsWithdrawn)
	default:
		return nil, refusal.New(refusal.VersionNotAllowed)
	}
}

func (s *Server) pinnedVersion(index *document.Index, client *document.Client, ref model.Ref) ([]model.Ref, error) {
	switch {
	case index.Version(ref) == nil, index.Withdrawn(ref), s.Versions.Stopped(ref):
		return nil, refusal.New(refusal.SessionWithdrawn).With("The version was %s.", ref)
	case !client.Contract.AllowsVersion(ref):
		return nil, refusal.New(refusal.VersionNotAllowed)
	}
	return []model.Ref{ref}, nil
}

// runAttempt runs one attempt and records its outcome, load and cost.
func (s *Server) runAttempt(ctx context.Context, x *Exchange, j *job, a *attempt, sink answerSink) error {
	a.startedAt = s.Clock.Now()
	requirements := j.requirements(x.Client)
	requirements.Ref = a.ref
	end := s.Placement.Begin(a.engine, requirements)
	err := s.streamAttempt(ctx, x, j, a, sink)
	mayHaveStarted := err == nil || a.pieceCount > 0 || engineclient.MayHaveStarted(err)
	x.recordMayHaveRun(mayHaveStarted)
	x.recordLoad(a.timeToFirstPiece, errorx.IsOfType(err, engineclient.ErrNotStarted))
	end(Outcome{
		Err: upstreamError(ctx, err), Complete: err == nil, MayHaveStarted: mayHaveStarted,
		TimeToFirstPiece: a.timeToFirstPiece, Duration: s.Clock.Since(a.startedAt), Draining: a.draining,
	})
	s.recordCost(x, j, a, mayHaveStarted)
	if err != nil {
		s.countIdleTimeout(err)
		if !s.resumableElsewhere(sink) {
			s.queueCancellation(a, mayHaveStarted)
		}
	}
	s.metrics.attempts.WithLabelValues(outcomeLabel(err)).Inc()
	return err
}

// upstreamError returns err if the upstream caused it, or nil if the caller
// disconnected or the entry itself ended the attempt, also because others had used
// up its memory.
func upstreamError(ctx context.Context, err error) error {
	var refused *refusal.Refusal
	outOfMemory := errorx.IsOfType(err, engineclient.ErrNoRoom) && !errorx.IsOfType(err, engineclient.ErrUpstreamShare)
	if outOfMemory || errors.As(err, &refused) || errors.Is(ctx.Err(), context.Canceled) {
		return nil
	}
	return err
}

func outcomeLabel(err error) string {
	if err == nil {
		return "whole"
	}
	return errorLabel(err)
}

// recordCost records the attempt's cost, unless it has certainly not started.
func (s *Server) recordCost(x *Exchange, j *job, a *attempt, mayHaveStarted bool) {
	if !mayHaveStarted {
		return
	}
	cost := AttemptCost{
		ID: a.id, Upstream: a.engine.ID, Ref: a.ref,
		PromptTokens:     a.promptTokens(j.request.PromptTokens()),
		CompletionTokens: a.completionTokens(),
	}
	if v := a.index.Version(a.ref); v != nil {
		cost.Cost = v.Cost(cost.PromptTokens, cost.CompletionTokens)
	}
	x.recordCost(cost)
}

// queueCancellation queues a cancellation of the attempt if its engine may have
// started it.
func (s *Server) queueCancellation(a *attempt, mayHaveStarted bool) {
	if mayHaveStarted {
		s.cancellations.Offer(cancellation{address: a.address, attempt: a.id})
	}
}

// terminalError returns the refusal that ends the exchange, or nil if another
// attempt may follow.
func (s *Server) terminalError(ctx context.Context, x *Exchange, err error, sink answerSink) error {
	var refused *refusal.Refusal
	switch {
	case ctx.Err() != nil:
		return s.contextError(ctx, x)
	case errors.As(err, &refused):
		return refused.WithRan(x.ran())
	case sink.started():
		return refusal.Wrap(refusal.AnswerCut, err)
	case errorx.IsOfType(err, engineclient.ErrRejected):
		return refusal.Wrap(refusal.UpstreamRejected, err).WithRan(x.ran())
	}
	return nil
}

// contextError returns the refusal for an ended context: that of its cause, or
// CallerGone, which is also counted.
func (s *Server) contextError(ctx context.Context, x *Exchange) error {
	var refused *refusal.Refusal
	if errors.As(context.Cause(ctx), &refused) {
		if refused.Reason == refusal.Draining {
			return drainRefusal(x)
		}
		return refusal.New(refused.Reason).WithRan(x.ran())
	}
	s.metrics.callersGone.Inc()
	return refusal.Wrap(refusal.CallerGone, ctx.Err()).WithRan(x.ran())
}

// sleep waits for d. It returns false if ctx ended first.
func (s *Server) sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-ctx.Done():
		return false
	case <-s.Clock.After(d):
		return true
	}
}
