// Package overload measures what is answered in time when engines get more work
// than they can do, and whether they recover after a disturbance.
//
// One VM sends two classes of requests to fake engines. It presumes an attempt
// dead that gives no token for a while and may retry it; the engine does not
// notice and works on, so every retry adds load. That is the loop that keeps a
// system in overload after its cause is gone.
package overload

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/poplarshore/poplarshore/account"
	"github.com/poplarshore/poplarshore/experiment/fleet"
	"github.com/poplarshore/poplarshore/limit"
	"github.com/poplarshore/poplarshore/retry"
)

// Options set up the experiment.
type Options struct {
	Engines int
	// Load is the offered work over the engines' capacity.
	Load float64
	// HighShare is the part of the requests with a raised priority.
	HighShare float64
	// Greedy is the part of the requests that one client account sends beside
	// its even part.
	Greedy float64
	// Deadline is the time for a whole answer.
	Deadline time.Duration
	// Duration is the virtual time that is measured.
	Duration time.Duration
	// DisturbAt is when the engines slow down to DisturbSpeed, for DisturbFor;
	// a zero DisturbFor leaves them alone.
	DisturbAt    time.Duration
	DisturbFor   time.Duration
	DisturbSpeed float64
}

// Policy tells which protections are in place.
type Policy struct {
	Name string
	// Admission bounds and orders what is sent, and sheds the rest.
	Admission bool
	// Budgets bound retries.
	Budgets bool
}

// Policies lists the measured combinations.
func Policies() []Policy {
	return []Policy{
		{Name: "admission and budgets", Admission: true, Budgets: true},
		{Name: "admission only", Admission: true},
		{Name: "budgets only", Budgets: true},
		{Name: "neither"},
	}
}

// Sustained returns the options of a lasting overload.
func Sustained() Options {
	return Options{Engines: 6, Load: 1.5, HighShare: 0.3, Deadline: deadline, Duration: 3 * time.Minute}
}

// Greedy returns the options of a lasting overload by one client account.
func Greedy() Options {
	return Options{Engines: 6, Load: 1.5, Greedy: 0.8, Deadline: deadline, Duration: 3 * time.Minute}
}

// Disturbed returns the options of a bearable load with a disturbance.
func Disturbed() Options {
	return Options{
		Engines: 6, Load: 0.8, HighShare: 0.3, Deadline: deadline, Duration: 6 * time.Minute,
		DisturbAt: time.Minute, DisturbFor: 20 * time.Second, DisturbSpeed: 0.2,
	}
}

const (
	deadline       = 10 * time.Second
	engineCapacity = 16
	engineQueue    = 256
	meanAnswer     = 100.0
	answerSpread   = 0.6
	meanPrompt     = 800.0
	promptSpread   = 0.6
	// attemptSilence is how long an attempt may be without a token.
	attemptSilence = 3 * time.Second
	maxAttempts    = 3
	targetFirst    = time.Second
	boundless      = 1e12
	// Slot is the length of one point of the time line.
	Slot = 5 * time.Second
)

var clients = []account.ID{"a", "b", "c", "d", "e"}

// Counts are numbers of requests.
type Counts struct {
	Offered  int `json:"offered"`
	InTime   int `json:"in_time"`
	Late     int `json:"late"`
	Refused  int `json:"refused"`
	GivenUp  int `json:"given_up"`
	Attempts int `json:"attempts"`
}

// Result is what one policy did with one seed.
type Result struct {
	High Counts `json:"high"`
	Low  Counts `json:"low"`
	// OthersInTime is the part of the requests of the other accounts than the
	// first that were answered in time, and FirstInTime that of the first.
	OthersInTime float64 `json:"others_in_time"`
	FirstInTime  float64 `json:"first_in_time"`
	// InTime is the part of all requests answered in time, by slot of their
	// arrival.
	InTime []float64 `json:"in_time_by_slot"`
	// Recovery is the time from the end of the disturbance until the slots
	// stay above nine tenths in time; negative if they never do, zero without
	// a disturbance.
	Recovery float64 `json:"recovery_s"`
}

// run is the state of one run.
type run struct {
	fleet.Loop
	opts      Options
	rng       *rand.Rand
	engines   []*fleet.Engine
	admission *limit.Admission
	retries   *retry.Policy
	waiting   map[*limit.Waiter]*request
	counts    [2]Counts
	perClient map[account.ID]*Counts
	offered   []int
	inTime    []int
}

// request is one caller's request over its attempts.
type request struct {
	class   int
	arrived time.Duration
	started time.Duration
	prompt  int
	answer  int
	state   retry.State
	ended   bool
	first   time.Duration
}

// Run measures one policy with one seed.
func Run(opts Options, p Policy, seed uint64) Result {
	r := newRun(opts, p, seed)
	perSecond := opts.Load * float64(opts.Engines) * fleet.Rate(engineCapacity, meanPrompt, meanAnswer)
	r.arrive(perSecond)
	if opts.DisturbFor > 0 {
		r.After(opts.DisturbAt, func() { r.setSpeed(opts.DisturbSpeed) })
		r.After(opts.DisturbAt+opts.DisturbFor, func() { r.setSpeed(1) })
	}
	r.Loop.Run(opts.Duration + 3*opts.Deadline)
	return r.result()
}

func newRun(opts Options, p Policy, seed uint64) *run {
	r := &run{opts: opts, rng: rand.New(rand.NewPCG(seed, 2)), waiting: make(map[*limit.Waiter]*request), perClient: make(map[account.ID]*Counts)}
	for range opts.Engines {
		e := fleet.NewEngine(&r.Loop, engineCapacity, 0)
		e.Limit = engineQueue
		r.engines = append(r.engines, e)
	}
	slots := int(opts.Duration/Slot) + 1
	r.offered, r.inTime = make([]int, slots), make([]int, slots)
	budget := retry.DefaultBudgetOptions()
	if !p.Budgets {
		budget = retry.BudgetOptions{Ratio: 1, Max: boundless}
	}
	o := retry.DefaultOptions()
	o.MaxAttempts = maxAttempts
	r.retries = retry.NewPolicy(o, retry.NewBudgets(budget))
	if p.Admission {
		gate := limit.DefaultGateOptions(nil).AdmissionOptions
		gate.Adaptive.Target = targetFirst
		r.admission = limit.NewAdmission(gate)
	}
	return r
}

func (r *run) setSpeed(speed float64) {
	for _, e := range r.engines {
		e.Speed = speed
	}
}

// arrive lets requests come as a Poisson process.
func (r *run) arrive(perSecond float64) {
	r.After(time.Duration(r.rng.ExpFloat64()/perSecond*float64(time.Second)), func() {
		if r.Now > r.opts.Duration {
			return
		}
		r.offer(r.newRequest())
		r.arrive(perSecond)
	})
}

func (r *run) newRequest() *request {
	q := &request{
		arrived: r.Now,
		prompt:  int(fleet.LogNormal(r.rng, meanPrompt, promptSpread)),
		answer:  1 + int(fleet.LogNormal(r.rng, meanAnswer, answerSpread)),
	}
	if r.rng.Float64() < r.opts.HighShare {
		q.class = 1
	}
	q.state = retry.State{
		Account: r.pickAccount(), Group: "strong@v1",
		Deadline: r.Time().Add(r.opts.Deadline), ExpectedDuration: fleet.Hold(meanPrompt, meanAnswer), Repeatable: true,
	}
	r.counts[q.class].Offered++
	r.perClient[q.state.Account].Offered++
	r.offered[q.arrived/Slot]++
	return q
}

// pickAccount draws the client account of a request.
func (r *run) pickAccount() account.ID {
	id := clients[0]
	if r.rng.Float64() >= r.opts.Greedy {
		id = clients[r.rng.IntN(len(clients))]
	}
	if r.perClient[id] == nil {
		r.perClient[id] = &Counts{}
	}
	return id
}

// offer asks the admission, if there is one.
func (r *run) offer(q *request) {
	if r.admission == nil {
		r.begin(q)
		return
	}
	w := limit.Work{Account: q.state.Account, Priority: q.class, Deadline: q.state.Deadline, Cost: float64(q.prompt + q.answer)}
	waiter, evicted, err := r.admission.Offer(w, r.Time())
	if evicted != nil {
		r.refuse(evicted)
	}
	switch {
	case err != nil:
		r.counts[q.class].Refused++
	case waiter != nil:
		r.waiting[waiter] = q
	default:
		r.begin(q)
	}
}

func (r *run) refuse(w *limit.Waiter) {
	r.counts[r.waiting[w].class].Refused++
	delete(r.waiting, w)
}

// begin starts the first attempt.
func (r *run) begin(q *request) {
	q.started = r.Now
	r.retries.Begin(&q.state, r.Time())
	r.attempt(q)
}

// leastLoaded returns the engine with the fewest requests.
func (r *run) leastLoaded() *fleet.Engine {
	return slices.MinFunc(r.engines, func(a, b *fleet.Engine) int {
		x, y := a.Load(), b.Load()
		return cmp.Compare(x.Running+x.Waiting, y.Running+y.Waiting)
	})
}

// attempt sends the request to the engine with the fewest.
func (r *run) attempt(q *request) {
	q.state.Attempts++
	r.counts[q.class].Attempts++
	e := r.leastLoaded()
	answered := false
	j := &fleet.Job{PromptTokens: q.prompt, AnswerTokens: q.answer, Priority: q.class}
	begun := r.Now
	j.OnFirst = func() {
		answered = true
		q.first = r.Now - begun
	}
	j.OnEnd = func() { r.end(q) }
	if !e.Submit(j) {
		r.fail(q, retry.NotStarted)
		return
	}
	r.After(attemptSilence, func() {
		if !answered && !q.ended {
			r.fail(q, retry.IdleTimeout)
		}
	})
}

// fail asks for a retry after a failed attempt.
func (r *run) fail(q *request, kind retry.FailureKind) {
	v := r.retries.Decide(&q.state, retry.Failure{Kind: kind, HasAlternative: true}, r.rng.Float64(), r.Time())
	if v.Action == retry.Retry {
		r.After(v.Delay, func() { r.attempt(q) })
		return
	}
	if kind == retry.IdleTimeout && r.Time().Before(q.state.Deadline) {
		r.After(q.state.Deadline.Sub(r.Time()), func() { r.giveUp(q) })
		return
	}
	r.giveUp(q)
}

// giveUp ends a request without an answer.
func (r *run) giveUp(q *request) {
	if q.ended {
		return
	}
	q.ended = true
	r.counts[q.class].GivenUp++
	r.leave(q, limit.Outcome{Rejected: true})
}

// end takes the first whole answer.
func (r *run) end(q *request) {
	if q.ended {
		return
	}
	q.ended = true
	if r.Now-q.arrived > r.opts.Deadline {
		r.counts[q.class].Late++
	} else {
		r.counts[q.class].InTime++
		r.perClient[q.state.Account].InTime++
		r.inTime[q.arrived/Slot]++
	}
	r.leave(q, limit.Outcome{FirstToken: q.first})
}

// leave lets the next waiters start.
func (r *run) leave(q *request, o limit.Outcome) {
	if r.admission == nil {
		return
	}
	started, late := r.admission.Done(r.Now-q.started, o, r.Time())
	for _, w := range late {
		r.refuse(w)
	}
	for _, w := range started {
		next := r.waiting[w]
		delete(r.waiting, w)
		r.begin(next)
	}
}

const recovered = 0.9

func (r *run) result() Result {
	res := Result{Low: r.counts[0], High: r.counts[1]}
	for i, n := range r.offered {
		if n > 0 {
			res.InTime = append(res.InTime, float64(r.inTime[i])/float64(n))
		}
	}
	res.FirstInTime, res.OthersInTime = r.byClient()
	if r.opts.DisturbFor == 0 {
		return res
	}
	res.Recovery = recovery(res.InTime, r.opts.DisturbAt+r.opts.DisturbFor)
	return res
}

// byClient returns the parts in time of the first account and of the others.
func (r *run) byClient() (first, others float64) {
	var sum Counts
	for _, id := range clients[1:] {
		if c := r.perClient[id]; c != nil {
			sum.Offered += c.Offered
			sum.InTime += c.InTime
		}
	}
	c := r.perClient[clients[0]]
	return float64(c.InTime) / float64(c.Offered), float64(sum.InTime) / float64(max(sum.Offered, 1))
}

// recovery returns the seconds from the end of the disturbance until all later
// slots are good.
func recovery(slots []float64, end time.Duration) float64 {
	first := len(slots)
	for first > 0 && slots[first-1] >= recovered {
		first--
	}
	if first == len(slots) {
		return -1
	}
	return max((time.Duration(first)*Slot).Seconds()-end.Seconds(), 0)
}
