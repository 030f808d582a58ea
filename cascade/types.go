package cascade

import (
	"time"

	"github.com/poplarshore/poplarshore/contract"
	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/money"
)

// NoOption is the option index that means no option.
const NoOption = -1

// Option is one model of the cascade and its expected cost and performance for
// the request.
type Option struct {
	Model model.Name
	// Cost is the expected price of the answer.
	Cost money.Micros
	// Latency is the expected time to the complete answer as long as there are
	// no observations.
	Latency time.Duration
	// Quality is the prior of the score, 0 to 1.
	Quality float64
}

// Request describes a request that a cascade answers.
type Request struct {
	Contract contract.ID
	Class    Class
	// Target is the mean score to reach, 0 to 1. Zero means that there is no
	// quality target: the cheapest option answers and nothing is rated.
	Target float64
	// Floor is the minimum score of an answer below the threshold that is
	// delivered because no better one can be had, 0 to 1.
	Floor float64
	// Deadline is when the complete answer is due. Zero means no deadline.
	Deadline time.Time
	// Options are the models, cheapest first; at least one.
	Options []Option
}

func (r Request) strongest() int {
	return len(r.Options) - 1
}

// Kind is the kind of a step.
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
	// Exhausted ends the request without delivering an answer.
	Exhausted
)

// String returns the name of the kind.
func (k Kind) String() string {
	return [...]string{"try", "hedge", "wait", "accept", "exhausted"}[k]
}

// Reason is why a step was chosen. It is also a metric label.
type Reason string

// The reasons of steps.
const (
	ReasonFirst            Reason = "first"         // the option has the lowest expected cost
	ReasonNoTarget         Reason = "no_target"     // the request has no quality target
	ReasonSkipCost         Reason = "skip_cost"     // weaker options pass too rarely to save cost
	ReasonSkipDeadline     Reason = "skip_deadline" // no time to try a weaker option first
	ReasonRaterUnavailable Reason = "rater_out"     // the rating service is unavailable (safe mode)
	ReasonHedge            Reason = "hedge"         // no time to run the options one after the other
	ReasonPassed           Reason = "passed"        // the score reaches the threshold
	ReasonClassMean        Reason = "class_mean"    // unrated; the class's lower bound reaches the threshold
	ReasonStrongest        Reason = "strongest"     // the answer is the strongest option's
	ReasonBelow            Reason = "below"         // the score is below the threshold
	ReasonUnrated          Reason = "unrated"       // no rating was received
	ReasonFailed           Reason = "failed"        // the attempt failed
	ReasonDeadline         Reason = "deadline"      // below the threshold; no time for a stronger option
	ReasonFallback         Reason = "fallback"      // below the threshold; stronger options failed
)

// Step is what to do next for a request.
type Step struct {
	Kind   Kind
	Reason Reason
	// Start lists the options to start now: one for Try, two for Hedge.
	Start []int
	// Stream is the option whose answer may be streamed to the caller, or
	// NoOption.
	Stream int
	// Rate requests a rating of each buffered answer before the call of Next.
	Rate bool
	// RatingTimeout is the longest wait for that rating.
	RatingTimeout time.Duration
	// Shadow is an option to run only to update the estimates, or NoOption. Its
	// answer is not delivered.
	Shadow int
	// Answer is the option whose answer is delivered, or NoOption.
	Answer int
	// Audit requests a new rating of the delivered answer, to be passed to
	// Decider.Audit.
	Audit bool
}

// Outcome is the result of one attempt.
type Outcome struct {
	// Option is the index of the attempt's option in the request.
	Option int
	// Failed reports that there is no complete answer.
	Failed bool
	// Rated reports that Score is set.
	Rated bool
	// Score is the rating, 0 to 1.
	Score float64
	// RatingRequested reports that a rating was requested.
	RatingRequested bool
	// RatingLatency is the time from requesting the rating to its arrival or to
	// the end of the wait.
	RatingLatency time.Duration
	// Latency is the time from the start to the complete answer.
	Latency time.Duration
}
