package cascade

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/poplarshore/poplarshore/contract"
)

// Decider decides for all cascades of a VM.
type Decider struct {
	options Options

	mu        sync.Mutex
	rand      *rand.Rand
	rater     rater
	contracts map[contract.ID]*contractState
}

// New returns a decider without estimates. It panics if o.Rand is nil.
func New(o Options) *Decider {
	if o.Rand == nil {
		panic("cascade: Options.Rand is nil")
	}
	return &Decider{
		options:   o.withDefaults(),
		rand:      o.Rand,
		rater:     newRater(),
		contracts: make(map[contract.ID]*contractState),
	}
}

// Run is the state of one request. It belongs to one goroutine at a time.
type Run struct {
	request  Request
	started  []bool
	ended    []bool
	best     int     // ended option with the best score, or NoOption
	score    float64 // score of best
	answer   int
	expected float64 // score counted for the answer at Accept
	counted  bool    // expected is in the control loop
	strong   bool    // the answer is that of the strongest option
	share    float64 // probability that the answer's audit yields a rating
}

// Start begins a request. Without options it is exhausted at once.
func (d *Decider) Start(r Request, now time.Time) (*Run, Step) {
	d.mu.Lock()
	defer d.mu.Unlock()
	run := &Run{
		request: r,
		started: make([]bool, len(r.Options)),
		ended:   make([]bool, len(r.Options)),
		best:    NoOption,
		answer:  NoOption,
	}
	if len(r.Options) == 0 {
		return run, d.counted(Step{Kind: Exhausted, Reason: ReasonFailed, Stream: NoOption, Shadow: NoOption, Answer: NoOption})
	}
	c := d.contract(r.Contract)
	c.control.price(float64(r.Options[r.last()].Cost))
	step := d.choose(run, 0, now)
	d.explore(run, &step)
	return run, d.counted(step)
}

// choose returns the step that starts an option from index from on.
func (d *Decider) choose(run *Run, from int, now time.Time) Step {
	r := run.request
	if r.Target <= 0 {
		return run.try(from, ReasonNoTarget)
	}
	c := d.contract(r.Contract)
	v := d.view(r, c, d.class(c, r.Class), now)
	first := v.first(from)
	if first == r.last() {
		return run.try(first, d.skipReason(from, first))
	}
	if r.Deadline.IsZero() || now.Add(v.through(first)+v.options[r.last()].latency).Before(r.Deadline) {
		return d.held(run.try(first, ReasonFirst), v, r, now)
	}
	return d.hurry(run, v, from, first, now)
}

func (d *Decider) skipReason(from, first int) Reason {
	switch {
	case from == first:
		return ReasonFirst
	case d.rater.mode == RaterOut:
		return ReasonRaterOut
	default:
		return ReasonSkipCost
	}
}

// hurry chooses where there is no time for option first and then the strongest.
func (d *Decider) hurry(run *Run, v view, from, first int, now time.Time) Step {
	r := run.request
	remaining := r.Deadline.Sub(now)
	fit := v.within(from, remaining)
	switch {
	case fit == r.last() && v.hedgePays(first):
		run.started[first], run.started[fit] = true, true
		hedge := Step{Kind: Hedge, Reason: ReasonHedge, Start: []int{first, fit}, Stream: NoOption, Shadow: NoOption, Answer: NoOption}
		return d.held(hedge, v, r, now)
	case fit == NoOption || fit == r.last():
		return run.try(r.last(), ReasonSkipDeadline)
	default:
		return d.held(run.try(fit, ReasonSkipDeadline), v, r, now)
	}
}

// maxRatingWait bounds the wait for a rating.
const maxRatingWait = 5 * time.Second

// held asks for ratings of the step's answers and sets how long to wait for
// them, so that time is left for the strongest option.
func (d *Decider) held(s Step, v view, r Request, now time.Time) Step {
	s.Rate = true
	s.Stream = NoOption
	s.RateWithin = maxRatingWait
	if !r.Deadline.IsZero() {
		spare := r.Deadline.Sub(now) - v.options[s.Start[0]].latency
		if s.Kind == Try {
			spare -= v.options[r.last()].latency
		}
		s.RateWithin = max(min(spare, maxRatingWait), v.ratingLatency, minRatingWait)
	}
	return s
}

// minRatingWait is the least wait for a rating.
const minRatingWait = 50 * time.Millisecond

// explore adds a shadow of the cheapest option to some requests that skip it.
func (d *Decider) explore(run *Run, s *Step) {
	if s.Kind != Try || s.Start[0] == 0 {
		return
	}
	if d.rand.Float64() < d.options.ExploreShare {
		s.Shadow = 0
		s.RateWithin = max(s.RateWithin, maxRatingWait)
	}
}

// try starts one option; the strongest one, and any if no score is owed, may
// stream.
func (run *Run) try(i int, reason Reason) Step {
	run.started[i] = true
	return Step{Kind: Try, Reason: reason, Start: []int{i}, Stream: i, Shadow: NoOption, Answer: NoOption}
}

func (d *Decider) counted(s Step) Step {
	if d.options.Hooks.Step != nil {
		d.options.Hooks.Step(s.Kind, s.Reason)
	}
	return s
}
