package relay

import (
	"strconv"

	"github.com/poplarshore/poplarshore/cascade"
	"github.com/poplarshore/poplarshore/internal/engines"
	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/pace"
)

// lengthHint returns what the caller says of the length of its answer.
func (x *exchange) lengthHint() pace.Hint {
	return pace.Hint{Tokens: x.request.OutputTokens, Max: x.request.MaxOutputTokens}
}

// lengthLeft returns the expected length of the rest of the answer; zero if it is unknown.
func (x *exchange) lengthLeft() pace.Length {
	length := x.server.lengths.Expect(x.route.Name, x.lengthHint())
	return length.Left(x.eventsBefore() + x.events)
}

// eventsBefore returns the number of events that the caller had before this exchange.
func (x *exchange) eventsBefore() int {
	before, err := strconv.Atoi(x.request.LastEvent)
	if err != nil {
		return 0
	}
	return max(before, 0)
}

// paceModel returns the name under which the pace of answers is kept.
func (x *exchange) paceModel() model.Name {
	if name := x.model(); name != "" {
		return name
	}
	if x.request.Model != "" {
		return x.request.Model
	}
	return model.Name(x.route.Name)
}

// memoryTokens returns the memory that the request is expected to take on an upstream, in
// tokens.
func (x *exchange) memoryTokens() int {
	output := x.request.OutputTokens
	if output == 0 {
		output = x.request.MaxOutputTokens
	}
	return x.request.PromptTokens + output
}

// answerShape returns the answer to expect of the model to ask; zero if the ends of answers
// are left out of account.
func (x *exchange) answerShape() engines.AnswerShape {
	if !x.server.opts.AnswerEnd || !x.route.Streaming {
		return engines.AnswerShape{}
	}
	shape := engines.AnswerShape{
		Model: x.paceModel(), Events: x.lengthLeft().Likely, Work: x.expectedWork(),
		TimeLeft: x.timeLeft(), MaxPause: x.route.MaxPause, Tokens: x.memoryTokens(),
	}
	if service := x.table.Service(x.service); service != nil {
		shape.MemoryTokens = service.MemoryTokens
	}
	return shape
}

// expectedEndFraction returns when the answer of a model is expected to end on the upstream that would
// be chosen for it, as a fraction of the time left; zero if it is unknown.
func (x *exchange) expectedEndFraction(modelIndex int) float64 {
	choice := x.chooseFor(modelIndex)
	left := x.timeLeft()
	if choice.Engine == nil || left <= 0 {
		return 0
	}
	return float64(choice.AnswerEnd) / float64(left)
}

// chooseFor returns the choice of an upstream for a model, without an attempt.
func (x *exchange) chooseFor(modelIndex int) engines.Choice {
	current := x.modelIndex
	x.modelIndex = modelIndex
	defer func() { x.modelIndex = current }()
	return x.server.Placement.Choose(x.requirements())
}

// answerEnds returns the expected ends of the answers of the strongest model and of the model with
// index next, as fractions of the time left. They are zero if the ends of answers are left out of account.
func (x *exchange) answerEnds(next int) cascade.Ends {
	strongest := len(x.route.Models) - 1
	if !x.server.opts.AnswerEnd || strongest < 1 || x.lengthLeft().Likely == 0 {
		return cascade.Ends{}
	}
	ends := cascade.Ends{Strongest: x.expectedEndFraction(strongest)}
	ends.Next = ends.Strongest
	if next < strongest {
		ends.Next = x.expectedEndFraction(next)
	}
	return ends
}

// firstModelInTime returns the model to ask first if the policy would ask the strongest: one
// whose answer ends in time.
func (x *exchange) firstModelInTime(input cascade.FirstInput) int {
	policy := x.server.opts.Cascade
	first := policy.First(input)
	if first < input.Models-1 {
		return first
	}
	input.Ends = x.answerEnds(input.Models - 2)
	return policy.First(input)
}

// nextModelInTime returns the model to ask in place of delivering the answer, and whether the
// answer is dropped for it.
func (x *exchange) nextModelInTime(answer cascade.Answer) (int, bool) {
	policy := x.server.opts.Cascade
	next, drop := policy.Next(answer)
	if !drop {
		return next, drop
	}
	answer.Ends = x.answerEnds(answer.Model + 1)
	next, drop = policy.Next(answer)
	if !drop {
		x.server.Metrics.cascadeSteps.WithLabelValues("kept_late_end").Inc()
	}
	return next, drop
}

// observeLength records the length of an answer that was sent completely.
func (x *exchange) observeLength() {
	if x.route.Streaming && x.events > 0 && x.request.LastEvent == "" {
		x.server.lengths.Observe(x.route.Name, x.lengthHint(), x.events)
	}
}

// recordPace records the events that have been forwarded since the last call, for the pace of
// the upstream.
func (a *attempt) recordPace() {
	now := a.exchange.server.Clock.Now()
	forwarding := max(now.Sub(a.startedAt)-a.lastAfter, 0)
	a.tracked.RecordEvents(a.exchange.paceModel(), a.events-a.pacedEvents, forwarding)
	a.pacedEvents = a.events
	a.move.recordForwarded(now, forwarding)
}
