// Package overload measures the share of requests that are answered in time
// while engines are overloaded, and whether the system recovers after a
// temporary slowdown of the engines.
//
// One VM sends requests of two priorities to simulated engines. An attempt that
// produces no token within an idle timeout counts as failed and may be retried.
// The engine is not notified and completes the abandoned attempt, so every retry
// adds load. This feedback can keep a system overloaded after the original cause
// is gone (a metastable failure).
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

// Options configure the experiment.
type Options struct {
	Engines int
	// Load is the offered load as a multiple of the engines' total capacity.
	Load float64
	// HighShare is the share of requests with high priority, from 0 to 1.
	HighShare float64
	// GreedyShare is the share of requests, from 0 to 1, that are assigned to one
	// client account. The rest is spread evenly over all accounts, that one
	// included.
	GreedyShare float64
	// Deadline is the time from arrival within which an answer has to be complete.
	Deadline time.Duration
	// Duration is the virtual time during which requests arrive.
	Duration time.Duration
	// The engines run at DisturbanceSpeed from DisturbanceStart on, for
	// DisturbanceDuration. A zero DisturbanceDuration means no disturbance.
	DisturbanceStart    time.Duration
	DisturbanceDuration time.Duration
	DisturbanceSpeed    float64
}

// Policy is a combination of overload protections.
type Policy struct {
	Name string
	// Admission enables admission control: a limit on requests in flight, a priority
	// queue and load shedding.
	Admission bool
	// Budgets enables retry budgets.
	Budgets bool
}

// Policies returns the combinations to compare, from all protections to none.
func Policies() []Policy {
	return []Policy{
		{Name: "admission and budgets", Admission: true, Budgets: true},
		{Name: "admission only", Admission: true},
		{Name: "budgets only", Budgets: true},
		{Name: "neither"},
	}
}

// Sustained returns the options of a sustained overload at 1.5 times the capacity.
func Sustained() Options {
	return Options{Engines: 6, Load: 1.5, HighShare: 0.3, Deadline: requestDeadline, Duration: 3 * time.Minute}
}

// Greedy returns the options of a sustained overload at 1.5 times the capacity,
// caused by one client account.
func Greedy() Options {
	return Options{Engines: 6, Load: 1.5, GreedyShare: 0.8, Deadline: requestDeadline, Duration: 3 * time.Minute}
}

// Disturbed returns the options of a load of 0.8 times the capacity, during which
// the engines slow down to a fifth of their speed for 20 s.
func Disturbed() Options {
	return Options{
		Engines: 6, Load: 0.8, HighShare: 0.3, Deadline: requestDeadline, Duration: 6 * time.Minute,
		DisturbanceStart: time.Minute, DisturbanceDuration: 20 * time.Second, DisturbanceSpeed: 0.2,
	}
}

const (
	requestDeadline = 10 * time.Second
	// engineCapacity and engineMaxWaiting are in requests per engine.
	engineCapacity   = 16
	engineMaxWaiting = 256
	// Request sizes are log-normal; each sigma is the standard deviation of the
	// logarithm.
	meanAnswerTokens = 100.0
	answerSigma      = 0.6
	meanPromptTokens = 800.0
	promptSigma      = 0.6
	// attemptIdleTimeout is the time after which an attempt without a first token
	// counts as failed.
	attemptIdleTimeout = 3 * time.Second
	// maxAttempts includes the first attempt.
	maxAttempts = 3
	// targetFirstToken is the time to first token that adaptive admission aims at.
	targetFirstToken = time.Second
	// unlimitedBudget is the size of a retry budget that no run exhausts.
	unlimitedBudget = 1e12
	// SlotDuration is the interval between two points of Result.InTimeBySlot.
	SlotDuration = 5 * time.Second
)

var accounts = []account.ID{"a", "b", "c", "d", "e"}

// Counts counts the requests of one priority or client account by outcome.
type Counts struct {
	Offered int `json:"offered"`
	// InTime counts the answers complete by the deadline, and Late those after it.
	InTime int `json:"in_time"`
	Late   int `json:"late"`
	// Refused counts the requests that admission control refused.
	Refused int `json:"refused"`
	// GivenUp counts the requests that were abandoned after their last attempt.
	GivenUp int `json:"given_up"`
	// Attempts counts the attempts of all requests.
	Attempts int `json:"attempts"`
}

// Result is the result of one policy with one seed.
type Result struct {
	High Counts `json:"high"`
	Low  Counts `json:"low"`
	// FirstAccountInTime is the share of the first account's requests that were answered
	// in time, and OtherAccountsInTime that of all other accounts' requests.
	OtherAccountsInTime float64 `json:"others_in_time"`
	FirstAccountInTime  float64 `json:"first_in_time"`
	// InTimeBySlot is the share of requests answered in time, by the slot of their
	// arrival. Slots without requests are omitted.
	InTimeBySlot []float64 `json:"in_time_by_slot"`
	// RecoverySeconds is the time from the end of the disturbance until at
	// least 90% of the requests of every later slot are answered in time. It is
	// negative if that is never reached, and zero without a disturbance.
	RecoverySeconds float64 `json:"recovery_s"`
}

// run is the state of one simulation run. Slices of counts are indexed by slot, and
// counts by priority (0 low, 1 high).
type run struct {
	fleet.Loop
	opts       Options
	rng        *rand.Rand
	engines    []*fleet.Engine
	admission  *limit.Admission
	retries    *retry.Policy
	queued     map[*limit.Waiter]*request
	counts     [2]Counts
	perAccount map[account.ID]*Counts
	offered    []int
	inTime     []int
}

// request is one caller's request with all its attempts.
type request struct {
	priority         int
	arrivedAt        time.Duration
	startedAt        time.Duration
	promptTokens     int
	answerTokens     int
	retryState       retry.State
	ended            bool
	timeToFirstToken time.Duration
}

// Run simulates one policy with one seed. The result depends on the arguments
// alone.
func Run(opts Options, policy Policy, seed uint64) Result {
	r := newRun(opts, policy, seed)
	perSecond := opts.Load * float64(opts.Engines) * fleet.ServiceRate(engineCapacity, meanPromptTokens, meanAnswerTokens)
	r.scheduleArrivals(perSecond)
	if opts.DisturbanceDuration > 0 {
		r.After(opts.DisturbanceStart, func() { r.setEngineSpeed(opts.DisturbanceSpeed) })
		r.After(opts.DisturbanceStart+opts.DisturbanceDuration, func() { r.setEngineSpeed(1) })
	}
	r.Loop.Run(opts.Duration + 3*opts.Deadline)
	return r.result()
}

func newRun(opts Options, policy Policy, seed uint64) *run {
	r := &run{opts: opts, rng: rand.New(rand.NewPCG(seed, 2)), queued: make(map[*limit.Waiter]*request), perAccount: make(map[account.ID]*Counts)}
	for range opts.Engines {
		e := fleet.NewEngine(&r.Loop, engineCapacity, 0)
		e.MaxWaiting = engineMaxWaiting
		r.engines = append(r.engines, e)
	}
	slots := int(opts.Duration/SlotDuration) + 1
	r.offered, r.inTime = make([]int, slots), make([]int, slots)
	budgetOptions := retry.DefaultBudgetOptions()
	if !policy.Budgets {
		budgetOptions = retry.BudgetOptions{Ratio: 1, Max: unlimitedBudget}
	}
	retryOptions := retry.DefaultOptions()
	retryOptions.MaxAttempts = maxAttempts
	r.retries = retry.NewPolicy(retryOptions, retry.NewBudgets(budgetOptions))
	if policy.Admission {
		admissionOptions := limit.DefaultGateOptions(nil).AdmissionOptions
		admissionOptions.Adaptive.Target = targetFirstToken
		r.admission = limit.NewAdmission(admissionOptions)
	}
	return r
}

func (r *run) setEngineSpeed(speed float64) {
	for _, e := range r.engines {
		e.Speed = speed
	}
}

// scheduleArrivals generates requests as a Poisson process until the end of the
// measured time.
func (r *run) scheduleArrivals(perSecond float64) {
	r.After(time.Duration(r.rng.ExpFloat64()/perSecond*float64(time.Second)), func() {
		if r.Now > r.opts.Duration {
			return
		}
		r.admit(r.newRequest())
		r.scheduleArrivals(perSecond)
	})
}

func (r *run) newRequest() *request {
	req := &request{
		arrivedAt:    r.Now,
		promptTokens: int(fleet.LogNormal(r.rng, meanPromptTokens, promptSigma)),
		answerTokens: 1 + int(fleet.LogNormal(r.rng, meanAnswerTokens, answerSigma)),
	}
	if r.rng.Float64() < r.opts.HighShare {
		req.priority = 1
	}
	req.retryState = retry.State{
		Account: r.drawAccount(), Group: "strong@v1",
		Deadline: r.Time().Add(r.opts.Deadline), ExpectedDuration: fleet.ServiceTime(meanPromptTokens, meanAnswerTokens), Repeatable: true,
	}
	r.counts[req.priority].Offered++
	r.perAccount[req.retryState.Account].Offered++
	r.offered[req.arrivedAt/SlotDuration]++
	return req
}

func (r *run) drawAccount() account.ID {
	id := accounts[0]
	if r.rng.Float64() >= r.opts.GreedyShare {
		id = accounts[r.rng.IntN(len(accounts))]
	}
	if r.perAccount[id] == nil {
		r.perAccount[id] = &Counts{}
	}
	return id
}

// admit starts, queues or refuses the request. Without admission control it starts
// at once.
func (r *run) admit(req *request) {
	if r.admission == nil {
		r.startFirstAttempt(req)
		return
	}
	work := limit.Work{Account: req.retryState.Account, Priority: req.priority, Deadline: req.retryState.Deadline, Cost: float64(req.promptTokens + req.answerTokens)}
	waiter, evicted, err := r.admission.Offer(work, r.Time())
	if evicted != nil {
		r.refuse(evicted)
	}
	switch {
	case err != nil:
		r.counts[req.priority].Refused++
	case waiter != nil:
		r.queued[waiter] = req
	default:
		r.startFirstAttempt(req)
	}
}

func (r *run) refuse(waiter *limit.Waiter) {
	r.counts[r.queued[waiter].priority].Refused++
	delete(r.queued, waiter)
}

func (r *run) startFirstAttempt(req *request) {
	req.startedAt = r.Now
	r.retries.Begin(&req.retryState, r.Time())
	r.sendAttempt(req)
}

// leastLoaded returns the engine with the fewest running and waiting requests.
func (r *run) leastLoaded() *fleet.Engine {
	return slices.MinFunc(r.engines, func(a, b *fleet.Engine) int {
		loadA, loadB := a.Load(), b.Load()
		return cmp.Compare(loadA.Running+loadA.Waiting, loadB.Running+loadB.Waiting)
	})
}

// sendAttempt sends the request to the least loaded engine and starts the idle
// timeout.
func (r *run) sendAttempt(req *request) {
	req.retryState.Attempts++
	r.counts[req.priority].Attempts++
	engine := r.leastLoaded()
	firstTokenSeen := false
	job := &fleet.Job{PromptTokens: req.promptTokens, AnswerTokens: req.answerTokens, Priority: req.priority}
	sentAt := r.Now
	job.OnFirstToken = func() {
		firstTokenSeen = true
		req.timeToFirstToken = r.Now - sentAt
	}
	job.OnComplete = func() { r.complete(req) }
	if !engine.Submit(job) {
		r.handleFailure(req, retry.NotStarted)
		return
	}
	r.After(attemptIdleTimeout, func() {
		if !firstTokenSeen && !req.ended {
			r.handleFailure(req, retry.IdleTimeout)
		}
	})
}

// handleFailure retries after a failed attempt if the retry policy allows it.
// Otherwise it gives up: after an idle timeout not before the deadline, because an
// earlier attempt may still complete, and at once after other failures.
func (r *run) handleFailure(req *request, kind retry.FailureKind) {
	decision := r.retries.Decide(&req.retryState, retry.Failure{Kind: kind, HasAlternative: true}, r.rng.Float64(), r.Time())
	if decision.Action == retry.Retry {
		r.After(decision.Delay, func() { r.sendAttempt(req) })
		return
	}
	if kind == retry.IdleTimeout && r.Time().Before(req.retryState.Deadline) {
		r.After(req.retryState.Deadline.Sub(r.Time()), func() { r.giveUp(req) })
		return
	}
	r.giveUp(req)
}

// giveUp ends a request that has no complete answer.
func (r *run) giveUp(req *request) {
	if req.ended {
		return
	}
	req.ended = true
	r.counts[req.priority].GivenUp++
	r.release(req, limit.Outcome{Rejected: true})
}

// complete ends a request with the first complete answer, and ignores the answers
// of its other attempts.
func (r *run) complete(req *request) {
	if req.ended {
		return
	}
	req.ended = true
	if r.Now-req.arrivedAt > r.opts.Deadline {
		r.counts[req.priority].Late++
	} else {
		r.counts[req.priority].InTime++
		r.perAccount[req.retryState.Account].InTime++
		r.inTime[req.arrivedAt/SlotDuration]++
	}
	r.release(req, limit.Outcome{FirstToken: req.timeToFirstToken})
}

// release reports the end of a request to admission control and starts the queued
// requests that may now run.
func (r *run) release(req *request, outcome limit.Outcome) {
	if r.admission == nil {
		return
	}
	started, expired := r.admission.Done(r.Now-req.startedAt, outcome, r.Time())
	for _, waiter := range expired {
		r.refuse(waiter)
	}
	for _, waiter := range started {
		next := r.queued[waiter]
		delete(r.queued, waiter)
		r.startFirstAttempt(next)
	}
}

// recoveredShare is the share of requests answered in time from which a slot counts
// as recovered.
const recoveredShare = 0.9

func (r *run) result() Result {
	res := Result{Low: r.counts[0], High: r.counts[1]}
	for i, n := range r.offered {
		if n > 0 {
			res.InTimeBySlot = append(res.InTimeBySlot, float64(r.inTime[i])/float64(n))
		}
	}
	res.FirstAccountInTime, res.OtherAccountsInTime = r.inTimeByAccount()
	if r.opts.DisturbanceDuration == 0 {
		return res
	}
	res.RecoverySeconds = recovery(res.InTimeBySlot, r.opts.DisturbanceStart+r.opts.DisturbanceDuration)
	return res
}

// inTimeByAccount returns the shares of requests answered in time of the first
// account and of all others together.
func (r *run) inTimeByAccount() (first, others float64) {
	var otherCounts Counts
	for _, id := range accounts[1:] {
		if counts := r.perAccount[id]; counts != nil {
			otherCounts.Offered += counts.Offered
			otherCounts.InTime += counts.InTime
		}
	}
	counts := r.perAccount[accounts[0]]
	return float64(counts.InTime) / float64(counts.Offered), float64(otherCounts.InTime) / float64(max(otherCounts.Offered, 1))
}

// recovery returns the seconds from the end of the disturbance to the first slot
// from which all slots reach recoveredShare, or -1 if the last slot does not.
func recovery(slots []float64, disturbanceEnd time.Duration) float64 {
	firstRecovered := len(slots)
	for firstRecovered > 0 && slots[firstRecovered-1] >= recoveredShare {
		firstRecovered--
	}
	if firstRecovered == len(slots) {
		return -1
	}
	return max((time.Duration(firstRecovered)*SlotDuration).Seconds()-disturbanceEnd.Seconds(), 0)
}
