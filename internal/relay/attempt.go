package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/poplarshore/poplarshore/cascade"
	"github.com/poplarshore/poplarshore/internal/engines"
	"github.com/poplarshore/poplarshore/internal/shifts"
	"github.com/poplarshore/poplarshore/internal/upconn"
	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/refusal"
	"github.com/poplarshore/poplarshore/retry"
)

// attempt is one dispatch of a request to one upstream.
type attempt struct {
	exchange *exchange
	engine   *engines.Engine
	model    model.Name
	flight   *engines.Attempt
	// expected is how long the upstream was expected to be busy before.
	expected time.Duration
	// work is how long it was expected to be busy with the request.
	work  time.Duration
	began time.Time
	// first is the time to the first event, or to the whole answer; last that to
	// the newest event.
	first, last time.Duration
	events      int
	// pause is the longest time between events.
	pause time.Duration
	// confidence is the model's opinion of its answer; negative for none.
	confidence int
	// counted tells that the attempt was counted as slow.
	counted bool
}

// named returns what the roll-out of the attempt's version knows it by.
func (a *attempt) named() shifts.Attempt {
	x := a.exchange
	return shifts.Attempt{
		Service: x.service, Version: a.engine.Version(), Kind: string(a.model),
		PromptTokens: x.request.PromptTokens,
	}
}

// paceEvents is the least number of events that tell about their pace.
const paceEvents = 4

// gap returns the mean time between events; zero while it is unknown.
func (a *attempt) gap() time.Duration {
	if a.events < paceEvents {
		return 0
	}
	return (a.last - a.first) / time.Duration(a.events-1)
}

// exchangeOnce sends the request, judges the head of the answer and passes the
// answer on.
func (a *attempt) exchangeOnce(ctx context.Context) error {
	x := a.exchange
	s := x.server
	answer, err := s.Pool.Do(ctx, upconn.Call{
		Address:     a.engine.Address(),
		HeadTimeout: a.patience(),
		OnSilence:   a.silent,
		Request:     a.request(),
		Mine:        func(h http.Header) bool { return s.Protocol.Mine(x.request, h) },
		Keep: func(h http.Header) time.Duration {
			return s.Protocol.ReadHead(http.StatusOK, h).Keep
		},
	})
	if err != nil {
		return err
	}
	defer answer.Close()
	head := s.Protocol.ReadHead(answer.Status, answer.Header)
	a.confidence = head.Confidence
	if head.HasLoad {
		a.engine.Report(head.Load)
	}
	return a.accept(answer, head)
}

func (a *attempt) request() upconn.Request {
	x := a.exchange
	return upconn.Request{
		Method: x.request.Method, Target: x.request.Target, Host: x.request.Host, Body: x.body,
		Header: x.server.Protocol.UpstreamHeader(Sending{
			Request: x.request, Upstream: a.engine.ID(), Account: x.account, Model: a.model,
			Priority: x.priority, LastEvent: x.lastEvent, Left: x.left(),
		}),
	}
}

// accept decides on the head of an answer and passes the answer on.
func (a *attempt) accept(answer *upconn.Answer, head Head) error {
	x := a.exchange
	switch {
	case head.NotRun:
		a.drain(answer)
		return errNotRun.New("status %d from %s", answer.Status, a.engine.ID())
	case answer.Status < http.StatusMultipleChoices && !head.Sealed:
		return upconn.ErrBroken.New("success without a seal from %s", a.engine.ID())
	case answer.Status >= http.StatusInternalServerError:
		return a.hold(answer, true)
	case a.weak(head):
		a.heard()
		return errWeak.New("confidence %d of %s", head.Confidence, a.model)
	case streams(answer.Header):
		return a.stream(answer)
	case x.begun:
		return upconn.ErrBroken.New("no stream to go on with from %s", a.engine.ID())
	}
	return a.hold(answer, false)
}

func streams(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}

// weak tells that a stronger model is asked in place of this answer.
func (a *attempt) weak(head Head) bool {
	x := a.exchange
	if !x.chooses() || x.begun {
		return false
	}
	next, drop := x.server.opts.Cascade.Next(cascade.Answer{
		Model: x.model, Models: len(x.route.Models), Confidence: head.Confidence,
		RunsLeft: x.state.MaxAttempts - x.state.Attempts - 1, TimeLeft: x.left(),
		Wait: x.expectedWait(), Begins: x.strongBegins(0),
	})
	if !drop {
		return false
	}
	now := x.server.Clock.Now()
	if reason := x.server.Retry.DecideStep(&x.state, now); reason != retry.Allowed {
		x.server.Metrics.steps.WithLabelValues("kept_" + reason.String()).Inc()
		return false
	}
	x.server.Metrics.steps.WithLabelValues("dropped").Inc()
	x.model = next
	return true
}

// expectedWait returns how long the best engine is expected to be busy, as a
// part of the route's target.
func (x *exchange) expectedWait() float64 {
	s := x.server
	if x.route.TargetLatency <= 0 {
		return 0
	}
	choice := s.Placement.Choose(x.want())
	if choice.Engine == nil {
		return 1
	}
	crowd := max(choice.Engine.Use()-crowdedFrom, 0) * crowdWeight
	return float64(choice.Engine.Delay())/float64(x.route.TargetLatency) + crowd
}

const (
	// crowdedFrom is the use of an engine's batch, 0 to 1, from which a strong
	// answer takes the place of others, crowdWeight what a whole batch counts
	// for as a part of the target.
	crowdedFrom = 0.5
	crowdWeight = 0.6
)

// maxDrainBytes bounds the body of a refusal that is read to keep the connection.
const maxDrainBytes = 4 << 10

// drain reads a short body, so that the connection can be kept.
func (a *attempt) drain(answer *upconn.Answer) {
	buf := make([]byte, maxDrainBytes)
	for read := 0; read < maxDrainBytes; {
		n, err := answer.Read(buf, a.exchange.left(), nil)
		if err != nil {
			return
		}
		read += n
	}
}

// held is an answer that was read whole before anything of it is passed on.
type held struct {
	status int
	header http.Header
	body   []byte
}

// hold reads the whole answer. A failure is kept for later, anything else is
// passed on.
func (a *attempt) hold(answer *upconn.Answer, failure bool) error {
	x := a.exchange
	h := &held{status: answer.Status, header: answer.Header}
	buf := make([]byte, maxDrainBytes)
	for {
		n, err := answer.Read(buf, max(x.left(), leastWait), nil)
		h.body = append(h.body, buf[:n]...)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return err
		}
		if len(h.body) > x.server.opts.MaxHeldBytes {
			return upconn.ErrBroken.New("answer of over %d bytes from %s", x.server.opts.MaxHeldBytes, a.engine.ID())
		}
	}
	a.heard()
	if failure {
		x.failure = h
		return errFailed.New("status %d from %s", answer.Status, a.engine.ID())
	}
	return h.send(x)
}

// send passes a whole answer on.
func (h *held) send(x *exchange) error {
	x.open(h.status, h.header)
	if _, err := x.w.Write(h.body); err != nil {
		return refusal.Because(refusal.CallerGone, err)
	}
	return nil
}

// open sends the head of an answer.
func (x *exchange) open(status int, header http.Header) {
	out := x.w.Header()
	for name, values := range x.server.Protocol.CallerHeader(header) {
		out[name] = values
	}
	x.begun, x.status = true, status
	x.w.WriteHeader(status)
}
