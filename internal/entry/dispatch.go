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

// job is the work of getting one answer from one model.
type job struct {
	request *completionRequest
	model   model.Name
	// pinned is the session's version, or empty.
	pinned model.VersionID
	// key is stable for one session; it decides the share of a roll-out.
	key string
	// near is the session's engine, or empty.
	near  upstream.ID
	tried []upstream.ID
}

func (j *job) path() string {
	if j.request.Chat {
		return "/v1/chat/completions"
	}
	return "/v1/completions"
}

func (j *job) want(client *document.Client) Want {
	return Want{
		Client: client, Prompt: j.request.Prompt, AnswerTokens: j.request.MaxTokens,
		Near: j.near, Tried: j.tried,
	}
}

// dispatch makes attempts until one brings a whole answer.
func (s *Server) dispatch(ctx context.Context, x *Exchange, j *job, out sink) (*attempt, error) {
	state := s.retryState(x, string(j.model), true)
	var last error
	for {
		a, err := s.place(x, j)
		if err != nil {
			return nil, s.placeError(x, err, last)
		}
		a, err = s.newRace(x, j, out).run(ctx, state, a)
		if err == nil {
			return a, nil
		}
		if refused := s.final(ctx, x, err, out); refused != nil {
			return a, refused
		}
		if err := s.retry(ctx, x, state, err); err != nil {
			return a, err
		}
		j.tried = append(j.tried, a.engine.ID)
		last = err
	}
}

// retryState describes the request to the retry policy.
func (s *Server) retryState(x *Exchange, group string, repeatable bool) *retry.State {
	state := &retry.State{
		Account: x.Client.Account, Group: group, Attempts: 1, Deadline: x.Deadline, Repeatable: repeatable,
	}
	s.Retry.Begin(state, s.Clock.Now())
	return state
}

// retry waits until another attempt may follow the failed one, or returns the
// refusal that ends the exchange.
func (s *Server) retry(ctx context.Context, x *Exchange, state *retry.State, cause error) error {
	failure := retry.Failure{Kind: failureKind(cause), HasAlternative: true}
	verdict := s.Retry.Decide(state, failure, s.Draw(), s.Clock.Now())
	if verdict.Action != retry.Retry {
		return refusal.Wrap(exhausted(x), cause).WithRan(x.ran()).With("No further attempt: %s.", verdict.Reason)
	}
	state.Attempts++
	s.metrics.retries.WithLabelValues(failure.Kind.String()).Inc()
	if !s.sleep(ctx, verdict.Delay) {
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

func exhausted(x *Exchange) refusal.Reason {
	if x.ran() == refusal.RanUnknown {
		return refusal.UpstreamFailed
	}
	return refusal.RetriesExhausted
}

// placeError keeps what an earlier attempt told about why there is no place.
func (s *Server) placeError(x *Exchange, err, last error) error {
	why := refusal.FromError(err)
	if last != nil && why.Reason == refusal.NoUpstream {
		return refusal.Wrap(exhausted(x), last).WithRan(x.ran())
	}
	return why.WithRan(x.ran())
}

// place decides the version and the engine of the next attempt, on the
// configuration that is in force now.
func (s *Server) place(x *Exchange, j *job) (*attempt, error) {
	index, client, err := s.current(x)
	if err != nil {
		return nil, err
	}
	refs, err := s.versions(index, client, j)
	if err != nil {
		return nil, err
	}
	want := j.want(client)
	for _, ref := range refs {
		want.Ref = ref
		if u := s.Placement.Choose(index, want); u != nil {
			return s.newAttempt(index, ref, u)
		}
	}
	if len(j.tried) == 0 {
		return nil, refusal.New(refusal.NoUpstream)
	}
	j.tried = nil
	return s.place(x, j)
}

// current returns the configuration in force and the caller's account in it.
func (s *Server) current(x *Exchange) (*document.Index, *document.Client, error) {
	if why := s.Config.Refusal(); why != nil {
		return nil, nil, why
	}
	index := s.Config.Index()
	client := index.Account(x.Client.Account)
	if client == nil {
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

// versions returns the versions that the job may run on, best first.
func (s *Server) versions(index *document.Index, client *document.Client, j *job) ([]model.Ref, error) {
	if !client.Contract.AllowsModel(j.model) {
		return nil, refusal.New(refusal.ModelNotAllowed).With("The model is %q.", j.model)
	}
	if j.pinned != "" {
		return s.pinnedVersion(index, client, model.Ref{Model: j.model, Version: j.pinned})
	}
	allowed := 0
	var refs []model.Ref
	for _, ref := range s.Versions.Assign(index, j.model, j.key) {
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

// runAttempt runs one attempt and keeps account of it.
func (s *Server) runAttempt(ctx context.Context, x *Exchange, j *job, a *attempt, out sink) error {
	a.began = s.Clock.Now()
	want := j.want(x.Client)
	want.Ref = a.ref
	end := s.Placement.Begin(a.engine, want)
	err := s.run(ctx, x, j, a, out)
	begun := err == nil || a.pieces > 0 || engineclient.MayHaveStarted(err)
	x.noteRun(begun)
	x.noteLoad(a.firstPiece, errorx.IsOfType(err, engineclient.ErrNotStarted))
	end(Outcome{
		Err: blame(ctx, err), Whole: err == nil, Begun: begun, FirstPiece: a.firstPiece,
		Duration: s.Clock.Since(a.began), Draining: a.draining,
	})
	s.account(x, j, a, begun)
	if err != nil {
		s.noteSilence(err)
		s.abandon(a, begun)
	}
	s.metrics.attempts.WithLabelValues(outcomeLabel(err)).Inc()
	return err
}

// blame returns the error that speaks against the upstream: none where the
// caller went away or the entry itself gave up.
func blame(ctx context.Context, err error) error {
	var own *refusal.Refusal
	if errors.As(err, &own) || errors.Is(ctx.Err(), context.Canceled) {
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

// account records the attempt's cost.
func (s *Server) account(x *Exchange, j *job, a *attempt, begun bool) {
	if !begun {
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
	x.note(cost)
}

// abandon tells the engine to stop work that nobody waits for.
func (s *Server) abandon(a *attempt, begun bool) {
	if begun {
		s.cancels.Offer(cancel{address: a.address, attempt: a.id})
	}
}

// final returns the refusal that ends the exchange, or nil where another
// attempt may follow.
func (s *Server) final(ctx context.Context, x *Exchange, err error, out sink) error {
	var own *refusal.Refusal
	switch {
	case ctx.Err() != nil:
		return s.contextError(ctx, x)
	case errors.As(err, &own):
		return own.WithRan(x.ran())
	case out.begun():
		return refusal.Wrap(refusal.AnswerCut, err)
	case errorx.IsOfType(err, engineclient.ErrRejected):
		return refusal.Wrap(refusal.UpstreamRejected, err).WithRan(x.ran())
	}
	return nil
}

// contextError tells why the exchange's context ended.
func (s *Server) contextError(ctx context.Context, x *Exchange) error {
	var why *refusal.Refusal
	if errors.As(context.Cause(ctx), &why) {
		return refusal.New(why.Reason).WithRan(x.ran())
	}
	s.metrics.callerGone.Inc()
	return refusal.Wrap(refusal.CallerGone, ctx.Err()).WithRan(x.ran())
}

// sleep waits; false tells that ctx ended first.
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
