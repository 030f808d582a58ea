package cascade

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/poplarshore/poplarshore/contract"
)

// Decider makes the cascade decisions of a VM and keeps the estimates that they
// are based on. It is safe for concurrent use.
type Decider struct {
	options Options

	mu        sync.Mutex
	rand      *rand.Rand
	rater     raterMonitor
	contracts map[contract.ID]*contractState
}

// New returns a Decider without estimates. It panics if o.Rand is nil.
func New(o Options) *Decider {
	if o.Rand == nil {
		panic("cascade: Options.Rand is nil")
	}
	return &Decider{
		options:   o.withDefaults(),
		rand:      o.Rand,
		rater:     newRaterMonitor(),
		contracts: make(map[contract.ID]*contractState),
	}
}

// Run is the state of one request. Only one goroutine may use it at a time.
type Run struct {
	request                Request
	started                []bool
	ended                  []bool
	bestOption             int     // rated option with the highest score, or NoOption
	bestScore              float64 // score of bestOption
	acceptedOption         int
	expectedScore          float64 // score counted for the answer when it was accepted
	inControlLoop          bool    // expectedScore was passed to the slack controller
	acceptedStrongest      bool    // acceptedOption is the strongest option
	auditRatingProbability float64 // probability that the answer is audited and rated
}

// Start begins a request and returns its first step. A request without options
// is exhausted immediately.
func (d *Decider) Start(r Request, now time.Time) (*Run, Step) {
	d.mu.Lock()
	defer d.mu.Unlock()
	run := &Run{
		request:        r,
		started:        make([]bool, len(r.Options)),
		ended:          make([]bool, len(r.Options)),
		bestOption:     NoOption,
		acceptedOption: NoOption,
	}
	if len(r.Options) == 0 {
		return run, d.reportStep(Step{Kind: Exhausted, Reason: ReasonFailed, Stream: NoOption, Shadow: NoOption, Answer: NoOption})
	}
	c := d.contract(r.Contract)
	c.controller.observeCost(float64(r.Options[r.strongest()].Cost))
	step := d.chooseOption(run, 0, now)
	d.addShadow(run, &step)
	return run, d.reportStep(step)
}

// chooseOption returns the step that starts an option with index from or above.
func (d *Decider) chooseOption(run *Run, from int, now time.Time) Step {
	r := run.request
	if r.Target <= 0 {
		return run.startOption(from, ReasonNoTarget)
	}
	c := d.contract(r.Contract)
	v := d.evaluate(r, c, d.class(c, r.Class), now)
	first := v.leastCost(from)
	if first == r.strongest() {
		return run.startOption(first, d.startReason(from, first))
	}
	if r.Deadline.IsZero() || now.Add(v.ratedLatency(first)+v.options[r.strongest()].latency).Before(r.Deadline) {
		return d.withRating(run.startOption(first, ReasonFirst), v, r, now)
	}
	return d.chooseUnderDeadline(run, v, from, first, now)
}

// startReason returns why option first is started when option from was the
// cheapest candidate.
func (d *Decider) startReason(from, first int) Reason {
	switch {
	case from == first:
		return ReasonFirst
	case d.rater.mode == RaterUnavailable:
		return ReasonRaterUnavailable
	default:
		return ReasonSkipCost
	}
}

// chooseUnderDeadline returns the step when the deadline does not allow for
// option first followed by the strongest one.
func (d *Decider) chooseUnderDeadline(run *Run, v valuation, from, first int, now time.Time) Step {
	r := run.request
	remaining := r.Deadline.Sub(now)
	reachable := v.strongestWithin(from, remaining)
	switch {
	case reachable == r.strongest() && v.hedgeSavesCost(first):
		run.started[first], run.started[reachable] = true, true
		hedge := Step{
			Kind: Hedge, Reason: ReasonHedge, Start: []int{first, reachable},
			Stream: NoOption, Shadow: NoOption, Answer: NoOption}
		return d.withRating(hedge, v, r, now)
	case reachable == NoOption || reachable == r.strongest():
		return run.startOption(r.strongest(), ReasonSkipDeadline)
	default:
		return d.withRating(run.startOption(reachable, ReasonSkipDeadline), v, r, now)
	}
}

// maxRatingWait limits the wait for a rating, unless ratings are expected to take
// longer.
const maxRatingWait = 5 * time.Second

// withRating requests ratings of the step's answers and limits the wait for
// them, so that time is left for the strongest option. No answer may stream.
func (d *Decider) withRating(step Step, v valuation, r Request, now time.Time) Step {
	step.Rate = true
	step.Stream = NoOption
	step.RatingTimeout = maxRatingWait
	if !r.Deadline.IsZero() {
		timeLeft := r.Deadline.Sub(now) - v.options[step.Start[0]].latency
		if step.Kind == Try {
			timeLeft -= v.options[r.strongest()].latency
		}
		step.RatingTimeout = max(min(timeLeft, maxRatingWait), v.ratingLatency, minRatingWait)
	}
	return step
}

// minRatingWait is the shortest wait for a rating.
const minRatingWait = 50 * time.Millisecond

// addShadow adds a shadow run of the cheapest option to a random share of the
// requests that skip it.
func (d *Decider) addShadow(run *Run, step *Step) {
	if step.Kind != Try || step.Start[0] == 0 {
		return
	}
	if d.rand.Float64() < d.options.ExploreShare {
		step.Shadow = 0
		step.RatingTimeout = max(step.RatingTimeout, maxRatingWait)
	}
}

// startOption returns the step that starts one option and lets its answer
// stream. That suits the strongest option, and any option of a request without
// a target; withRating revokes it for the others.
func (run *Run) startOption(i int, reason Reason) Step {
	run.started[i] = true
	return Step{Kind: Try, Reason: reason, Start: []int{i}, Stream: i, Shadow: NoOption, Answer: NoOption}
}

// reportStep calls the Step hook and returns the step.
func (d *Decider) reportStep(step Step) Step {
	if d.options.Hooks.Step != nil {
		d.options.Hooks.Step(step.Kind, step.Reason)
	}
	return step
}
