package cascade

import (
	"time"

	"github.com/poplarshore/poplarshore/contract"
	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/money"
)

// NoOption stands where no option is meant.
const NoOption = -1

// Option is one model of the cascade, as it would serve the request.
type Option struct {
	Model model.Name
	// Cost is the expected price of the answer.
	Cost money.Micros
	// Latency is the expected time to the whole answer before any was seen.
	Latency time.Duration
	// Quality is the expected score before any was seen, 0 to 1.
	Quality float64
}

// Request is one request for a cascade.
type Request struct {
	Contract contract.ID
	Class    Class
	// Target is the mean score owed, 0 to 1. Zero means that none is owed:
	// the cheapest option answers and nothing is rated.
	Target float64
	// Floor is the least score of an answer that is delivered although it
	// does not pass, because no better one can come in time.
	Floor float64
	// Deadline is when the whole answer is due. Zero means never.
	Deadline time.Time
	// Options are the models, cheapest first; at least one.
	Options []Option
}

func (r Request) last() int {
	return len(r.Options) - 1
}

// Kind says what to do next.
type Kind uint8

// The kinds of steps.
const (
	// Try starts one option.
	Try Kind = iota
	// Hedge starts two options at the same time.
	Hedge
	// Wait waits for the attempt that is still in flight.
	Wait
	// Accept delivers an answer.
	Accept
	// Exhausted ends the request without an answer.
	Exhausted
)

// String returns the name of the kind.
func (k Kind) String() string {
	return [...]string{"try", "hedge", "wait", "accept", "exhausted"}[k]
}

// Reason says why a step was chosen; it is a label for counters.
type Reason string

// The reasons of steps.
const (
	ReasonFirst        Reason = "first"         // the option has the least expected cost
	ReasonNoTarget     Reason = "no_target"     // no score is owed
	ReasonSkipCost     Reason = "skip_cost"     // weaker options pass too seldom to pay
	ReasonSkipDeadline Reason = "skip_deadline" // no time for a weaker option first
	ReasonRaterOut     Reason = "rater_out"     // safe mode
	ReasonHedge        Reason = "hedge"         // no time for one after the other
	ReasonPassed       Reason = "passed"        // the score passes
	ReasonClassMean    Reason = "class_mean"    // unrated, the class's lower bound passes
	ReasonStrongest    Reason = "strongest"     // nothing stronger is left
	ReasonBelow        Reason = "below"         // the score does not pass
	ReasonUnrated      Reason = "unrated"       // no rating came
	ReasonFailed       Reason = "failed"        // the attempt failed
	ReasonDeadline     Reason = "deadline"      // below the threshold, no time for better
	ReasonFallback     Reason = "fallback"      // below the threshold, stronger ones failed
)

// Step is what to do next for a request.
type Step struct {
	Kind   Kind
	Reason Reason
	// Start lists the options to start now: one for Try, two for Hedge.
	Start []int
	// Stream is the option whose answer may reach the caller as it comes, or
	// NoOption.
	Stream int
	// Rate asks for a rating of each held answer before Next.
	Rate bool
	// RateWithin is the longest wait for that rating.
	RateWithin time.Duration
	// Shadow is an option to run for learning alone, or NoOption.
	Shadow int
	// Answer is the option whose answer is delivered, or NoOption.
	Answer int
	// Audit asks for a new rating of the delivered answer afterwards, for Audit.
	Audit bool
}

// Outcome is the end of one attempt.
type Outcome struct {
	// Option is the index of the attempt's option in the request.
	Option int
	// Failed says that there is no whole answer.
	Failed bool
	// Rated says that Score is set.
	Rated bool
	// Score is the rating, 0 to 1.
	Score float64
	// Asked says that a rating was asked for.
	Asked bool
	// RatingLatency is the time from asking to the rating or giving up.
	RatingLatency time.Duration
	// Latency is the time from the start to the whole answer.
	Latency time.Duration
}
