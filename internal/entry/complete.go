package entry

import (
	"context"
	"net/http"

	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/money"
	"github.com/poplarshore/poplarshore/refusal"
)

func (s *Server) chat(x *Exchange, w http.ResponseWriter, r *http.Request) error {
	return s.complete(x, w, r, true)
}

func (s *Server) plain(x *Exchange, w http.ResponseWriter, r *http.Request) error {
	return s.complete(x, w, r, false)
}

// completion is a completion request in work.
type completion struct {
	x       *Exchange
	request *completionRequest
	pins    Pins
	// inSession tells that the caller uses a session.
	inSession bool
	class     string
	w         http.ResponseWriter
}

func (s *Server) complete(x *Exchange, w http.ResponseWriter, r *http.Request, chat bool) error {
	body, err := s.readBody(w, r)
	if err != nil {
		return err
	}
	request, err := decodeCompletion(body, chat, s.opts)
	if err != nil {
		return err
	}
	if err := checkModel(x, request.Model); err != nil {
		return err
	}
	c := &completion{x: x, request: request, w: w, class: r.Header.Get(headerClass)}
	if err := s.openSession(c, r); err != nil {
		return err
	}
	if s.passes(c, r) {
		return s.passCompletion(c, r, body)
	}
	if !s.Biller.Open() {
		return refusal.New(refusal.BillingUnavailable)
	}
	ctx, release := s.deadlineContext(r.Context(), x)
	defer release.stop()
	ticket, err := s.Limits.Admit(ctx, Admission{
		Client: x.Client, Group: request.Model, Deadline: x.Deadline,
		Tokens: request.PromptTokens() + request.MaxTokens,
	})
	if err != nil {
		return s.admitError(ctx, x, err)
	}
	defer func() { ticket.Settle(x.use()) }()
	return s.answer(ctx, c, release)
}

// admitError tells a caller that went away from one that is refused.
func (s *Server) admitError(ctx context.Context, x *Exchange, err error) error {
	if ctx.Err() != nil {
		return s.contextError(ctx, x)
	}
	return err
}

func (s *Server) answer(ctx context.Context, c *completion, release *deadlineTimer) error {
	if cascade := c.x.Index.Cascade(c.request.Model); cascade != nil {
		return s.answerCascade(ctx, c, cascade, release)
	}
	if c.request.Stream {
		return s.answerStream(ctx, c, release)
	}
	return s.answerWhole(ctx, c)
}

// checkModel checks that the account may name the model.
func checkModel(x *Exchange, name model.Name) error {
	if x.Index.Model(name) == nil && x.Index.Cascade(name) == nil {
		return refusal.New(refusal.ModelUnknown).With("The model is %q.", name)
	}
	if !x.Client.Contract.AllowsModel(name) {
		return refusal.New(refusal.ModelNotAllowed).With("The model is %q.", name)
	}
	return nil
}

func (s *Server) newJob(c *completion, name model.Name) *job {
	return &job{
		request: c.request, model: name,
		pinned: c.pins.Version[name], near: c.pins.Engine[name], key: c.sessionKey(),
	}
}

func (c *completion) sessionKey() string {
	if c.inSession {
		return c.pins.ID
	}
	return c.x.ID
}

// answerStream passes pieces on as they come.
func (s *Server) answerStream(ctx context.Context, c *completion, release *deadlineTimer) error {
	out, a, err := s.stream(ctx, c, release)
	if err != nil {
		s.billPart(c.x, a, err)
		return err
	}
	return s.endStream(c, out, a)
}

// stream passes the pieces of one model's answer on, up to the last.
func (s *Server) stream(ctx context.Context, c *completion, release *deadlineTimer) (*streamSink, *attempt, error) {
	out := &streamSink{w: c.w, sampled: s.Ratings.Sampled()}
	out.headers = func(h http.Header, ref model.Ref) { s.answerHeaders(c, h, ref, out.attempt) }
	out.onBegin = func() {
		release.stop()
		s.metrics.firstPiece.Observe(s.Clock.Since(c.x.Started).Seconds())
	}
	a, err := s.dispatch(ctx, c.x, s.newJob(c, c.request.Model), out)
	return out, a, err
}

// endStream bills a streamed answer and ends it.
func (s *Server) endStream(c *completion, out *streamSink, a *attempt) error {
	out.flush()
	if err := s.bill(c.x, a); err != nil {
		return err
	}
	if out.copy != nil {
		s.Ratings.Sample(c.rating(a, out.copy.Text()))
	}
	return out.end()
}

// answerWhole collects the answer and sends it in one piece.
func (s *Server) answerWhole(ctx context.Context, c *completion) error {
	out := s.newHold(c)
	a, err := s.dispatch(ctx, c.x, s.newJob(c, c.request.Model), out)
	if err != nil {
		s.billPart(c.x, a, err)
		return err
	}
	return s.sendHeld(c, out, s.Ratings.Sampled())
}

func (s *Server) newHold(c *completion) *holdSink {
	return &holdSink{chat: c.request.Chat, maxBytes: s.opts.MaxHeldBytes}
}

// sendHeld bills a held answer and sends it in the form the caller asked for.
// A sampled answer is offered for rating.
func (s *Server) sendHeld(c *completion, held *holdSink, sampled bool) error {
	if err := s.bill(c.x, held.attempt); err != nil {
		return err
	}
	if sampled {
		s.Ratings.Sample(c.rating(held.attempt, held.answer.Text()))
	}
	s.metrics.firstPiece.Observe(s.Clock.Since(c.x.Started).Seconds())
	if c.request.Stream {
		return s.replay(c, held)
	}
	body, err := held.answer.JSON()
	if err != nil {
		return refusal.Wrap(refusal.InternalFault, err)
	}
	h := c.w.Header()
	h.Set("Content-Type", "application/json")
	s.answerHeaders(c, h, held.attempt.ref, held.attempt)
	c.w.WriteHeader(http.StatusOK)
	if _, err := c.w.Write(body); err != nil {
		return refusal.Wrap(refusal.CallerGone, err)
	}
	return nil
}

// replay sends a held answer as a stream.
func (s *Server) replay(c *completion, held *holdSink) error {
	out := &streamSink{w: c.w, onBegin: func() {}}
	out.headers = func(h http.Header, ref model.Ref) { s.answerHeaders(c, h, ref, held.attempt) }
	out.start(held.attempt)
	for _, p := range held.pieces {
		if err := out.write(p); err != nil {
			return err
		}
	}
	return out.end()
}

// answerHeaders tells the caller what served it.
func (s *Server) answerHeaders(c *completion, h http.Header, ref model.Ref, a *attempt) {
	h.Set(headerModel, string(ref.Model))
	h.Set(headerVersion, string(ref.Version))
	h.Set(headerResume, s.resumeToken(c, a))
	if !c.inSession {
		return
	}
	c.pins.pin(ref, a.engine.ID)
	token, err := s.Sessions.Sign(c.x.Index, c.x.Client.Account, c.pins)
	if err == nil {
		h.Set(headerSession, token)
	}
}

// bill keeps the record of a whole answer.
func (s *Server) bill(x *Exchange, a *attempt) error {
	cost := x.delivered(a)
	s.metrics.tokens.Add(float64(cost.PromptTokens + cost.CompletionTokens))
	return s.record(x, a.ref, cost.Cost)
}

// billPart keeps the record of an answer that was not finished: a caller that
// went away owes what was made, and nothing is owed where the system failed.
func (s *Server) billPart(x *Exchange, a *attempt, why error) {
	if a == nil || x.ran() == refusal.RanNo {
		return
	}
	var amount money.Micros
	if refusal.FromError(why).Reason == refusal.CallerGone {
		amount = x.delivered(a).Cost
	}
	// The record follows a failure that the caller is told of already.
	_ = s.record(x, a.ref, amount)
}

func (s *Server) record(x *Exchange, ref model.Ref, amount money.Micros) error {
	ctx, cancel := context.WithTimeout(context.Background(), s.opts.BillTimeout)
	defer cancel()
	err := s.Biller.Bill(ctx, Bill{
		RequestID: x.ID, Account: x.Client.Account, Ref: ref, Amount: amount, Attempts: x.costs(),
	})
	if err != nil {
		return refusal.Wrap(refusal.BillingUnavailable, err).WithRan(x.ran())
	}
	return nil
}

func (c *completion) rating(a *attempt, text string) Rating {
	return Rating{
		Attempt: a.id, Ref: a.ref, Account: c.x.Client.Account, Class: c.class,
		Prompt: string(c.request.Prompt), Answer: text,
	}
}
