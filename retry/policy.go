package retry

import (
	"time"

	"github.com/poplarshore/poplarshore/account"
	"github.com/poplarshore/poplarshore/upstream"
)

// FailureKind is the kind of a failure.
type FailureKind uint8

// The kinds of failures.
const (
	// NotConnected means that no byte of the attempt was sent by this VM.
	NotConnected FailureKind = iota
	// NotStarted means that the upstream reported that it did not start the
	// attempt.
	NotStarted
	// Unavailable means that the upstream answered with a server error.
	Unavailable
	// ConnectionLost means that the connection was lost after the attempt was sent.
	ConnectionLost
	// IdleTimeout means that the upstream sent nothing for longer than the idle
	// timeout.
	IdleTimeout
	// Rejected means that the upstream refused the request itself, as any other
	// upstream would.
	Rejected
	// Crashed means that the connection was lost before the upstream had shown that it
	// survives the request.
	Crashed
	// TooSlow means that the answer, which has begun, is not expected to end before the
	// deadline.
	TooSlow
	kindCount
)

var kindNames = [kindCount]string{
	"not_connected", "not_started", "unavailable", "broken", "silent", "rejected", "crashed", "too_slow",
}

// String returns the kind's metric label.
func (k FailureKind) String() string { return kindNames[k] }

// MayHaveRun reports whether the upstream may have run the attempt.
func (k FailureKind) MayHaveRun() bool { return k != NotConnected && k != NotStarted }

// Failure describes a failed attempt.
type Failure struct {
	Kind FailureKind
	// RetryAfter is the delay that the upstream requested; zero if none.
	RetryAfter time.Duration
	// HasAlternative reports that the next attempt can go to another upstream.
	HasAlternative bool
	// Running reports that the attempt still runs, and is given up for another one.
	Running bool
}

// State describes a request over all of its attempts.
type State struct {
	Account account.ID
	// Group names the upstreams that the attempts go to: the version or the
	// plain service.
	Group string
	// Attempts is the number of attempts so far, including hedges.
	Attempts int
	// Deadline is when the answer must be complete.
	Deadline time.Time
	// ExpectedDuration is the expected duration of an attempt.
	ExpectedDuration time.Duration
	// Repeatable reports that the request may run more than once.
	Repeatable bool
	// AnswerStarted reports that the caller has received a part of the answer.
	AnswerStarted bool
	// RetriedBySender reports that the sender of the request retries it itself.
	RetriedBySender bool
	// Hedged reports that a hedge was sent.
	Hedged bool
	// Resumable reports that a started answer can be continued by another
	// upstream.
	Resumable bool
	// MaxAttempts replaces Options.MaxAttempts if it is positive.
	MaxAttempts int
	// Crashes is the number of attempts that failed as Crashed.
	Crashes int
	// Tried lists the upstreams of failed attempts.
	Tried []upstream.ID
}

// Action is the result of a decision.
type Action uint8

// The actions.
const (
	// GiveUp ends the request without another attempt.
	GiveUp Action = iota
	// Retry starts another attempt after a failure.
	Retry
	// Hedge starts another attempt while the first is in flight.
	Hedge
	// Wait starts no hedge.
	Wait
)

// Reason is why an action was chosen.
type Reason uint8

// The reasons.
const (
	// Allowed means that the additional attempt may be made.
	Allowed Reason = iota
	// MayHaveRun means that the request is not repeatable and may have run.
	MayHaveRun
	// AnswerStarted means that the caller has received a part of the answer.
	AnswerStarted
	// NotRetryable means that another upstream would fail in the same way.
	NotRetryable
	// SenderRetries means that the sender of the request retries it itself.
	SenderRetries
	// AttemptsExhausted means that the maximum number of attempts was made.
	AttemptsExhausted
	// DeadlineTooClose means that another attempt is not expected to finish
	// before the deadline.
	DeadlineTooClose
	// AccountBudgetExhausted means that the client account's budget is exhausted.
	AccountBudgetExhausted
	// UpstreamBudgetExhausted means that the upstream group's budget, or its budget for
	// cascade steps, is exhausted.
	UpstreamBudgetExhausted
	// MayCrashUpstreams means that two upstreams ended under the request, which may be the
	// cause.
	MayCrashUpstreams
	// AlreadyHedged means that the request has been hedged; each request is
	// hedged at most once.
	AlreadyHedged
	// NoAlternative means that the attempt still runs and nothing else can serve the request.
	NoAlternative
	reasonCount
)

var reasonNames = [reasonCount]string{
	"allowed", "may_have_run", "answer_begun", "final", "sender_retries", "attempts_spent",
	"no_time", "account_budget", "upstream_budget", "may_crash_upstreams",
	"already_hedged", "no_alternative",
}

// String returns the reason's metric label.
func (r Reason) String() string { return reasonNames[r] }

// Decision is the action after a failed or slow attempt and the reason for it.
type Decision struct {
	Action Action
	Reason Reason
	// Delay is the delay before the retry.
	Delay time.Duration
}

// Hooks are called on decisions; nil hooks are skipped. They must be safe for
// concurrent use.
type Hooks struct {
	// OnRetry is called when Decide returns Retry.
	OnRetry func(k FailureKind)
	// OnGiveUp is called when Decide returns GiveUp.
	OnGiveUp func(k FailureKind, r Reason)
	// OnHedge is called on each DecideHedge; r is Allowed if the hedge is sent.
	OnHedge func(r Reason)
}

// Options configure a Policy. DefaultOptions sets the defaults; zero values are
// not replaced by them.
type Options struct {
	// Backoff is the backoff between attempts; default 25 ms to 2 s.
	Backoff Backoff
	// MaxAttempts limits the attempts of one request, including hedges; default
	// 3.
	MaxAttempts int
	// HedgeFactor × the expected time to first token is the time without a
	// token after which an attempt is hedged; default 3.
	HedgeFactor float64
	// MinHedgeDelay is the minimum of that time; default 50 ms.
	MinHedgeDelay time.Duration
	// Hooks are called on decisions; default none.
	Hooks Hooks
}

// maxCrashes is the number of upstreams that may end under one request.
const maxCrashes = 2

const (
	defaultBackoffBase   = 25 * time.Millisecond
	defaultBackoffMax    = 2 * time.Second
	defaultMaxAttempts   = 3
	defaultHedgeFactor   = 3
	defaultMinHedgeDelay = 50 * time.Millisecond
)

// DefaultOptions returns the default options.
func DefaultOptions() Options {
	return Options{
		Backoff:       Backoff{Base: defaultBackoffBase, Max: defaultBackoffMax},
		MaxAttempts:   defaultMaxAttempts,
		HedgeFactor:   defaultHedgeFactor,
		MinHedgeDelay: defaultMinHedgeDelay,
	}
}

// Policy decides on retries, hedges and steps of cascades. It is safe for
// concurrent use.
type Policy struct {
	opts   Options
	budget Budget
}

// NewPolicy returns a Policy whose additional attempts are limited by the budget.
func NewPolicy(opts Options, budget Budget) *Policy {
	return &Policy{opts: opts, budget: budget}
}

// Begin records the first attempt of a request.
func (p *Policy) Begin(s *State, now time.Time) {
	p.budget.RecordFirst(now, s.stepScopes()...)
}

// Withdraw takes back Begin for a request of which this VM made no attempt, because another
// VM makes them all.
func (p *Policy) Withdraw(s *State, now time.Time) {
	p.budget.WithdrawFirst(now, s.stepScopes()...)
}

// retryScopes returns the scopes whose budgets a retry or hedge consumes.
func (s *State) retryScopes() []Scope {
	return []Scope{{Kind: AccountScope, Name: string(s.Account)}, {Kind: UpstreamScope, Name: s.Group}}
}

// stepScopes returns the scopes whose budgets a step of a cascade consumes.
func (s *State) stepScopes() []Scope {
	return append(s.retryScopes(), Scope{Kind: StepScope, Name: s.Group})
}

// Decide returns Retry or GiveUp for a failed attempt. If it returns Retry, one
// attempt has been consumed from the budgets, unless the failure is NotConnected.
// draw is a random number, uniform in [0, 1).
func (p *Policy) Decide(s *State, f Failure, draw float64, now time.Time) Decision {
	v := p.decide(s, f, draw, now)
	if v.Action == Retry && p.opts.Hooks.OnRetry != nil {
		p.opts.Hooks.OnRetry(f.Kind)
	}
	if v.Action == GiveUp && p.opts.Hooks.OnGiveUp != nil {
		p.opts.Hooks.OnGiveUp(f.Kind, v.Reason)
	}
	return v
}

func (p *Policy) decide(s *State, f Failure, draw float64, now time.Time) Decision {
	if r := p.retryDenial(s, f); r != Allowed {
		return Decision{Action: GiveUp, Reason: r}
	}
	delay := p.retryDelay(s, f, draw)
	if now.Add(delay + s.ExpectedDuration).After(s.Deadline) {
		return Decision{Action: GiveUp, Reason: DeadlineTooClose}
	}
	if f.Kind == NotConnected {
		// Nothing was sent, so the retry does not add load to the upstreams.
		return Decision{Action: Retry, Reason: Allowed, Delay: delay}
	}
	if r := p.consume(s.retryScopes(), now); r != Allowed {
		return Decision{Action: GiveUp, Reason: r}
	}
	return Decision{Action: Retry, Reason: Allowed, Delay: delay}
}

// retryDenial returns why the request must not be retried regardless of deadline
// and budgets, or Allowed.
func (p *Policy) retryDenial(s *State, f Failure) Reason {
	switch {
	case f.Kind.MayHaveRun() && !s.Repeatable:
		return MayHaveRun
	case s.AnswerStarted && !s.Resumable:
		return AnswerStarted
	case f.Kind == Rejected:
		return NotRetryable
	case s.Crashes >= maxCrashes:
		return MayCrashUpstreams
	case s.RetriedBySender:
		return SenderRetries
	case p.attemptsExhausted(s):
		return AttemptsExhausted
	case f.Running && !f.HasAlternative:
		return NoAlternative
	}
	return Allowed
}

// attemptsExhausted reports whether the request has had its maximum number of
// attempts.
func (p *Policy) attemptsExhausted(s *State) bool {
	if s.MaxAttempts > 0 {
		return s.Attempts >= s.MaxAttempts
	}
	return s.Attempts >= p.opts.MaxAttempts
}

// CanStep reports whether the budgets allow a step of a cascade now. It
// consumes nothing.
func (p *Policy) CanStep(s *State, now time.Time) bool {
	return p.budget.CanConsume(now, s.stepScopes()...)
}

// DecideStep decides whether another model may be tried to replace an answer of
// insufficient quality. If it returns Allowed, one attempt has been consumed from
// the budgets; otherwise it returns the reason for the denial.
func (p *Policy) DecideStep(s *State, now time.Time) Reason {
	if p.attemptsExhausted(s) {
		return AttemptsExhausted
	}
	return p.consume(s.stepScopes(), now)
}

// AllowRepeat reports whether the budgets allow an attempt after those that another VM made. If it returns true, one attempt
// has been consumed from them.
func (p *Policy) AllowRepeat(s *State, now time.Time) bool {
	return p.consume(s.retryScopes(), now) == Allowed
}

// retryDelay returns the delay before the next attempt. The delay that the
// upstream requested applies only if no other upstream can serve that attempt.
func (p *Policy) retryDelay(s *State, f Failure, draw float64) time.Duration {
	delay := p.opts.Backoff.Delay(s.Attempts, draw)
	if !f.HasAlternative {
		delay += f.RetryAfter
	}
	return delay
}

// consume consumes one attempt from the budgets of the scopes and returns
// Allowed, or the reason if one of them is exhausted.
func (p *Policy) consume(scopes []Scope, now time.Time) Reason {
	scope, ok := p.budget.Consume(now, scopes...)
	switch {
	case ok:
		return Allowed
	case scope.Kind == AccountScope:
		return AccountBudgetExhausted
	}
	return UpstreamBudgetExhausted
}

// HedgeDelay returns the time without a first token after which DecideHedge
// should be called, given the expected time to the first token. It returns false if
// the request must not be hedged.
func (p *Policy) HedgeDelay(s *State, firstToken time.Duration) (time.Duration, bool) {
	if p.hedgeDenial(s) != Allowed {
		return 0, false
	}
	return max(time.Duration(p.opts.HedgeFactor*float64(firstToken)), p.opts.MinHedgeDelay), true
}

// DecideHedge returns Hedge or Wait for a slow attempt. If it returns Hedge, one
// attempt has been consumed from the budgets, and the caller must count the hedge
// in State.Attempts and set State.Hedged.
func (p *Policy) DecideHedge(s *State, now time.Time) Decision {
	r := p.hedgeDenial(s)
	if r == Allowed && now.Add(s.ExpectedDuration).After(s.Deadline) {
		r = DeadlineTooClose
	}
	if r == Allowed {
		r = p.consume(s.retryScopes(), now)
	}
	if p.opts.Hooks.OnHedge != nil {
		p.opts.Hooks.OnHedge(r)
	}
	if r == Allowed {
		return Decision{Action: Hedge, Reason: r}
	}
	return Decision{Action: Wait, Reason: r}
}

// hedgeDenial returns why the request must not be hedged regardless of deadline
// and budgets, or Allowed.
func (p *Policy) hedgeDenial(s *State) Reason {
	switch {
	case !s.Repeatable:
		return MayHaveRun
	case s.AnswerStarted:
		return AnswerStarted
	case s.RetriedBySender:
		return SenderRetries
	case s.Hedged:
		return AlreadyHedged
	case p.attemptsExhausted(s):
		return AttemptsExhausted
	}
	return Allowed
}
