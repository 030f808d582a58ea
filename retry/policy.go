package retry

import (
	"time"

	"github.com/poplarshore/poplarshore/account"
	"github.com/poplarshore/poplarshore/upstream"
)

// Kind is a kind of failure.
type Kind uint8

// The kinds of failure.
const (
	// NotConnected: no byte of the attempt left this VM.
	NotConnected Kind = iota
	// NotStarted: the upstream said that it did not start the attempt.
	NotStarted
	// Unavailable: the upstream answered with a server error.
	Unavailable
	// Broken: the connection broke after the attempt was sent.
	Broken
	// Silent: nothing came for longer than the idle limit.
	Silent
	// Rejected: the upstream refused the request itself; another would too.
	Rejected
	kindCount
)

var kindNames = [kindCount]string{
	"not_connected", "not_started", "unavailable", "broken", "silent", "rejected",
}

// String returns the kind's label in metrics.
func (k Kind) String() string { return kindNames[k] }

// MayHaveRun tells whether the upstream may have run the attempt.
func (k Kind) MayHaveRun() bool { return k != NotConnected && k != NotStarted }

// Failure is a failed attempt.
type Failure struct {
	Kind Kind
	// RetryAfter is what the upstream asked for; zero for nothing.
	RetryAfter time.Duration
	// Elsewhere tells that other upstreams can take the next attempt.
	Elsewhere bool
}

// State describes a request over all of its attempts.
type State struct {
	Account account.ID
	// Group names the upstreams that the attempts go to: the version or the
	// plain service.
	Group string
	// Attempts counts the attempts so far, hedges too.
	Attempts int
	// Deadline is when the answer must be whole.
	Deadline time.Time
	// Expected is how long an attempt is expected to take.
	Expected time.Duration
	// Repeatable tells that the request may run more than once.
	Repeatable bool
	// Answering tells that the caller has got a part of the answer.
	Answering bool
	// Nested tells that the sender of the request retries it itself.
	Nested bool
	// Hedged tells that a hedge was sent.
	Hedged bool
	// Resumable tells that an answer that has begun can go on elsewhere.
	Resumable bool
	// MaxAttempts replaces the policy's bound where it is set.
	MaxAttempts int
	// Tried are the upstreams of failed attempts.
	Tried []upstream.ID
}

// Action is what to do next.
type Action uint8

// The actions.
const (
	GiveUp Action = iota
	Retry
	Hedge
	Wait
)

// Reason tells why an action was chosen.
type Reason uint8

// The reasons.
const (
	// Allowed: the retry or hedge goes ahead.
	Allowed Reason = iota
	// MayHaveRun: a request that may run once only may have run.
	MayHaveRun
	// AnswerBegun: the caller has got a part of the answer.
	AnswerBegun
	// Final: the failure would be the same elsewhere.
	Final
	// SenderRetries: the sender retries it itself.
	SenderRetries
	// AttemptsSpent: the request has had all of its attempts.
	AttemptsSpent
	// NoTime: the next attempt would not be done by the deadline.
	NoTime
	// AccountBudget: the client account's budget is exhausted.
	AccountBudget
	// UpstreamBudget: the upstream group's budget is exhausted.
	UpstreamBudget
	// AlreadyHedged: one hedge a request is enough.
	AlreadyHedged
	reasonCount
)

var reasonNames = [reasonCount]string{
	"allowed", "may_have_run", "answer_begun", "final", "sender_retries", "attempts_spent",
	"no_time", "account_budget", "upstream_budget", "already_hedged",
}

// String returns the reason's label in metrics.
func (r Reason) String() string { return reasonNames[r] }

// Verdict is a decision.
type Verdict struct {
	Action Action
	Reason Reason
	// After is how long to wait before the retry.
	After time.Duration
}

// Hooks are told of every verdict; a nil one is skipped. They are called from
// many goroutines.
type Hooks struct {
	OnRetry  func(k Kind)
	OnGiveUp func(k Kind, r Reason)
	OnHedge  func(r Reason)
}

// Options set up a Policy.
type Options struct {
	Backoff Backoff
	// MaxAttempts bounds the attempts of one request, hedges too.
	MaxAttempts int
	// HedgeFactor × the expected time to the first token is how long an
	// attempt may be silent before it is hedged.
	HedgeFactor float64
	// HedgeMin bounds that time from below.
	HedgeMin time.Duration
	Hooks    Hooks
}

const (
	defaultBase        = 25 * time.Millisecond
	defaultMaxWait     = 2 * time.Second
	defaultMaxAttempts = 3
	defaultHedgeFactor = 3
	defaultHedgeMin    = 50 * time.Millisecond
)

// DefaultOptions returns the default options.
func DefaultOptions() Options {
	return Options{
		Backoff:     Backoff{Base: defaultBase, Max: defaultMaxWait},
		MaxAttempts: defaultMaxAttempts,
		HedgeFactor: defaultHedgeFactor,
		HedgeMin:    defaultHedgeMin,
	}
}

// Policy decides on retries and hedges.
type Policy struct {
	opts  Options
	purse Purse
}

// NewPolicy returns a policy that pays from the purse.
func NewPolicy(opts Options, purse Purse) *Policy {
	return &Policy{opts: opts, purse: purse}
}

// Begin records the first attempt of a request.
func (p *Policy) Begin(s *State, now time.Time) {
	p.purse.Deposit(now, s.steps()...)
}

func (s *State) scopes() []Scope {
	return []Scope{{Kind: AccountScope, Name: string(s.Account)}, {Kind: UpstreamScope, Name: s.Group}}
}

// steps returns the scopes that pay for a step of a cascade.
func (s *State) steps() []Scope {
	return append(s.scopes(), Scope{Kind: StepScope, Name: s.Group})
}

// Decide answers a failed attempt with Retry or GiveUp. A Retry has been paid
// for. Draw is uniform in [0, 1).
func (p *Policy) Decide(s *State, f Failure, draw float64, now time.Time) Verdict {
	v := p.decide(s, f, draw, now)
	if v.Action == Retry && p.opts.Hooks.OnRetry != nil {
		p.opts.Hooks.OnRetry(f.Kind)
	}
	if v.Action == GiveUp && p.opts.Hooks.OnGiveUp != nil {
		p.opts.Hooks.OnGiveUp(f.Kind, v.Reason)
	}
	return v
}

func (p *Policy) decide(s *State, f Failure, draw float64, now time.Time) Verdict {
	if r := p.forbidden(s, f); r != Allowed {
		return Verdict{Action: GiveUp, Reason: r}
	}
	after := p.after(s, f, draw)
	if now.Add(after + s.Expected).After(s.Deadline) {
		return Verdict{Action: GiveUp, Reason: NoTime}
	}
	if f.Kind == NotConnected {
		// Nothing was sent, so nothing is added to the load.
		return Verdict{Action: Retry, Reason: Allowed, After: after}
	}
	if r := p.pay(s.scopes(), now); r != Allowed {
		return Verdict{Action: GiveUp, Reason: r}
	}
	return Verdict{Action: Retry, Reason: Allowed, After: after}
}

// forbidden returns why a retry is out of the question, or Allowed.
func (p *Policy) forbidden(s *State, f Failure) Reason {
	switch {
	case f.Kind.MayHaveRun() && !s.Repeatable:
		return MayHaveRun
	case s.Answering && !s.Resumable:
		return AnswerBegun
	case f.Kind == Rejected:
		return Final
	case s.Nested:
		return SenderRetries
	case p.spent(s):
		return AttemptsSpent
	}
	return Allowed
}

// spent tells that the request has had all of its attempts.
func (p *Policy) spent(s *State) bool {
	if s.MaxAttempts > 0 {
		return s.Attempts >= s.MaxAttempts
	}
	return s.Attempts >= p.opts.MaxAttempts
}

// AffordsStep tells whether DecideStep would pay now.
func (p *Policy) AffordsStep(s *State, now time.Time) bool {
	return p.purse.Affords(now, s.steps()...)
}

// DecideStep pays for asking another model in place of an answer that is too
// weak. Allowed means that it may be asked.
func (p *Policy) DecideStep(s *State, now time.Time) Reason {
	if p.spent(s) {
		return AttemptsSpent
	}
	return p.pay(s.steps(), now)
}

// after returns the wait before the next attempt. What the upstream asked for
// holds only if the next attempt goes to it again.
func (p *Policy) after(s *State, f Failure, draw float64) time.Duration {
	after := p.opts.Backoff.After(s.Attempts, draw)
	if !f.Elsewhere {
		after += f.RetryAfter
	}
	return after
}

// pay takes one attempt from the purse.
func (p *Policy) pay(scopes []Scope, now time.Time) Reason {
	scope, ok := p.purse.Withdraw(now, scopes...)
	switch {
	case ok:
		return Allowed
	case scope.Kind == AccountScope:
		return AccountBudget
	}
	return UpstreamBudget
}

// HedgeAfter returns how long an attempt may stay without a first token before
// DecideHedge should be asked; false if the request is never hedged.
func (p *Policy) HedgeAfter(s *State, firstToken time.Duration) (time.Duration, bool) {
	if p.unhedged(s) != Allowed {
		return 0, false
	}
	return max(time.Duration(p.opts.HedgeFactor*float64(firstToken)), p.opts.HedgeMin), true
}

// DecideHedge answers a slow attempt with Hedge or Wait. A Hedge has been paid
// for; the caller counts it in Attempts and sets Hedged.
func (p *Policy) DecideHedge(s *State, now time.Time) Verdict {
	r := p.unhedged(s)
	if r == Allowed && now.Add(s.Expected).After(s.Deadline) {
		r = NoTime
	}
	if r == Allowed {
		r = p.pay(s.scopes(), now)
	}
	if p.opts.Hooks.OnHedge != nil {
		p.opts.Hooks.OnHedge(r)
	}
	if r == Allowed {
		return Verdict{Action: Hedge, Reason: r}
	}
	return Verdict{Action: Wait, Reason: r}
}

func (p *Policy) unhedged(s *State) Reason {
	switch {
	case !s.Repeatable:
		return MayHaveRun
	case s.Answering:
		return AnswerBegun
	case s.Nested:
		return SenderRetries
	case s.Hedged:
		return AlreadyHedged
	case p.spent(s):
		return AttemptsSpent
	}
	return Allowed
}
