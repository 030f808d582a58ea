package entry

import (
	"context"
	"net/http"

	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/money"
	"github.com/poplarshore/poplarshore/refusal"
)

func (s *Server) serveChatCompletion(x *Exchange, w http.ResponseWriter, r *http.Request) error {
	return s.serveCompletion(x, w, r, true)
}

func (s *Server) serveTextCompletion(x *Exchange, w http.ResponseWriter, r *http.Request) error {
	return s.serveCompletion(x, w, r, false)
}

// completion is the state of a completion request.
type completion struct {
	exchange *Exchange
	request  *completionRequest
	pins     Pins
	// inSession reports whether the caller uses a session.
	inSession bool
	class     string
	// cascaded reports whether a cascade answers the request.
	cascaded bool
	w        http.ResponseWriter
}

func (s *Server) serveCompletion(x *Exchange, w http.ResponseWriter, r *http.Request, chat bool) error {
	body, err := s.readBody(x, w, r)
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
	c := &completion{exchange: x, request: request, w: w, class: r.Header.Get(headerClass)}
	if err := s.openSession(c, r); err != nil {
		return err
	}
	if s.servedByOldRouter(c, r) {
		return s.forwardToOldRouter(c, r, body)
	}
	if !s.Biller.CanBill() {
		return refusal.New(refusal.BillingUnavailable)
	}
	ctx, timer := s.deadlineContext(r.Context(), x)
	defer timer.stop()
	ticket, err := s.admit(ctx, x, Admission{
		Client: x.Client, Group: request.Model, Deadline: x.Deadline,
		Tokens: request.PromptTokens() + request.MaxTokens,
	})
	if err != nil {
		return err
	}
	defer func() { ticket.Settle(x.usage()) }()
	return s.answer(ctx, c, timer)
}

// admit waits until the limits admit the request. If ctx ends first, as with a caller that
// disconnects, or a drain that can't hold the exchange begins, it returns the refusal for that.
func (s *Server) admit(ctx context.Context, x *Exchange, a Admission) (Ticket, error) {
	ctx, cancel := s.waitContext(ctx, x)
	defer cancel()
	ticket, err := s.Limits.Admit(ctx, a)
	if err != nil && ctx.Err() != nil {
		return nil, s.contextError(ctx, x)
	}
	return ticket, err
}

func (s *Server) answer(ctx context.Context, c *completion, timer *deadlineTimer) error {
	if cascade := c.exchange.Index.Cascade(c.request.Model); cascade != nil {
		c.cascaded = true
		return s.answerCascade(ctx, c, cascade, timer)
	}
	if c.request.Stream {
		return s.answerStream(ctx, c, timer)
	}
	return s.answerBuffered(ctx, c)
}

// checkModel returns a refusal if the model does not exist or the account's contract
// does not allow it.
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
		pinned: c.pins.Version[name], preferred: c.pins.Engine[name], assignmentKey: c.sessionKey(), cascaded: c.cascaded,
	}
}

func (c *completion) sessionKey() string {
	if c.inSession {
		return c.pins.ID
	}
	return c.exchange.ID
}

// answerStream streams the answer to the caller.
func (s *Server) answerStream(ctx context.Context, c *completion, timer *deadlineTimer) error {
	sink, a, err := s.stream(ctx, c, timer)
	if err != nil {
		s.billIncomplete(c.exchange, a, err)
		return err
	}
	return s.finishStream(c, sink, a)
}

// stream streams the answer of one model, except its end; finishStream sends that.
func (s *Server) stream(ctx context.Context, c *completion, timer *deadlineTimer) (*streamSink, *attempt, error) {
	sink := s.newStreamSink(c.exchange, c.w)
	sink.sampled = s.Ratings.ShouldSample()
	sink.setHeaders = func(h http.Header, ref model.Ref) { s.setAnswerHeaders(c, h, ref, sink.attempt) }
	sink.onStart = func() {
		timer.stop()
		s.metrics.timeToFirstPiece.Observe(s.Clock.Since(c.exchange.StartedAt).Seconds())
	}
	a, err := s.dispatch(ctx, c.exchange, s.newJob(c, c.request.Model), sink)
	return sink, a, err
}

// finishStream bills a streamed answer, offers it for rating if it is sampled and
// sends its end.
func (s *Server) finishStream(c *completion, sink *streamSink, a *attempt) error {
	sink.flush()
	if err := s.billComplete(c.exchange, a); err != nil {
		return err
	}
	if sink.ratingCopy != nil {
		s.Ratings.Sample(c.ratingRequest(a, sink.ratingCopy.Text()))
	}
	return sink.finish()
}

// answerBuffered buffers the answer and sends it as one JSON document.
func (s *Server) answerBuffered(ctx context.Context, c *completion) error {
	sink := s.newBufferSink(c)
	a, err := s.dispatch(ctx, c.exchange, s.newJob(c, c.request.Model), sink)
	if err != nil {
		s.billIncomplete(c.exchange, a, err)
		return err
	}
	return s.sendBuffered(c, sink, s.Ratings.ShouldSample())
}

func (s *Server) newBufferSink(c *completion) *bufferSink {
	return &bufferSink{chat: c.request.Chat, maxBytes: s.opts.MaxBufferedBytes, keep: s.keeperOf(c.exchange)}
}

// sendBuffered bills a buffered answer and sends it as a stream or as one JSON
// document, as requested. A sampled answer is offered for rating.
func (s *Server) sendBuffered(c *completion, buffered *bufferSink, sampled bool) error {
	if err := s.billComplete(c.exchange, buffered.attempt); err != nil {
		return err
	}
	if sampled {
		s.Ratings.Sample(c.ratingRequest(buffered.attempt, buffered.assembler.Text()))
	}
	s.metrics.timeToFirstPiece.Observe(s.Clock.Since(c.exchange.StartedAt).Seconds())
	if c.request.Stream {
		return s.streamBuffered(c, buffered)
	}
	body, err := buffered.assembler.JSON()
	if err != nil {
		return refusal.Wrap(refusal.InternalFault, err)
	}
	h := c.w.Header()
	h.Set("Content-Type", "application/json")
	s.setAnswerHeaders(c, h, buffered.attempt.ref, buffered.attempt)
	c.w.WriteHeader(http.StatusOK)
	if _, err := c.w.Write(body); err != nil {
		return refusal.Wrap(refusal.CallerGone, err)
	}
	return nil
}

// streamBuffered sends a buffered answer as a stream.
func (s *Server) streamBuffered(c *completion, buffered *bufferSink) error {
	sink := s.newStreamSink(c.exchange, c.w)
	sink.setHeaders = func(h http.Header, ref model.Ref) { s.setAnswerHeaders(c, h, ref, buffered.attempt) }
	sink.start(buffered.attempt)
	for _, p := range buffered.pieces {
		if err := sink.sendPiece(p); err != nil {
			return err
		}
	}
	return sink.finish()
}

// setAnswerHeaders sets the headers with the model, the version and the resume
// token, and in a session the new session token.
func (s *Server) setAnswerHeaders(c *completion, h http.Header, ref model.Ref, a *attempt) {
	h.Set(headerModel, string(ref.Model))
	h.Set(headerVersion, string(ref.Version))
	h.Set(headerResume, s.resumeToken(c, a))
	if !c.inSession {
		return
	}
	c.pins.pin(ref, a.engine.ID)
	token, err := s.Sessions.Sign(c.exchange.Index, c.exchange.Client.Account, c.pins)
	if err == nil {
		h.Set(headerSession, token)
	}
}

// billComplete bills a complete answer with the cost of its attempt.
func (s *Server) billComplete(x *Exchange, a *attempt) error {
	cost := x.markDelivered(a)
	s.metrics.tokens.Add(float64(cost.PromptTokens + cost.CompletionTokens))
	return s.writeBill(x, a.ref, cost.Cost)
}

// billIncomplete bills an answer that was not completed. A caller that disconnected
// is charged for what was generated; if the system failed, the amount is 0.
func (s *Server) billIncomplete(x *Exchange, a *attempt, cause error) {
	if a == nil || x.ran() == refusal.RanNo {
		return
	}
	var amount money.Micros
	if refusal.FromError(cause).Reason == refusal.CallerGone {
		amount = x.markDelivered(a).Cost
	}
	// The caller gets the original error, so an error of billing is ignored.
	_ = s.writeBill(x, a.ref, amount)
}

func (s *Server) writeBill(x *Exchange, ref model.Ref, amount money.Micros) error {
	ctx, cancel := context.WithTimeout(s.stop.recording, s.opts.BillTimeout)
	defer cancel()
	err := s.Biller.Bill(ctx, Bill{
		RequestID: x.ID, Account: x.Client.Account, Ref: ref, Amount: amount, Attempts: x.attemptCosts(),
	})
	if err != nil {
		return refusal.Wrap(refusal.BillingUnavailable, err).WithRan(x.ran())
	}
	return nil
}

func (c *completion) ratingRequest(a *attempt, text string) RatingRequest {
	return RatingRequest{
		Attempt: a.id, Ref: a.ref, Account: c.exchange.Client.Account, Class: c.class,
		Prompt: string(c.request.Prompt), Answer: text,
	}
}
