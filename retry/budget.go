package retry

import (
	"sync"
	"time"
)

// BudgetOptions set up budgets.
type BudgetOptions struct {
	// Ratio is the part of a further attempt that each first attempt earns.
	Ratio float64
	// PerSecond is earned without load, so that rare requests may retry too.
	PerSecond float64
	// Max bounds what is saved up, in attempts.
	Max float64
	// Idle is how long an unused budget is kept.
	Idle time.Duration
}

const (
	defaultRatio     = 0.1
	defaultPerSecond = 0.1
	defaultMaxTokens = 10
	defaultIdle      = 10 * time.Minute
)

// DefaultBudgetOptions returns the default options.
func DefaultBudgetOptions() BudgetOptions {
	return BudgetOptions{Ratio: defaultRatio, PerSecond: defaultPerSecond, Max: defaultMaxTokens, Idle: defaultIdle}
}

// budget is a token bucket that first attempts fill. It begins full.
type budget struct {
	tokens float64
	at     time.Time
}

func (b *budget) refill(o BudgetOptions, now time.Time) {
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.tokens = min(b.tokens+elapsed.Seconds()*o.PerSecond, o.Max)
		b.at = now
	}
}

// Scope names what a budget belongs to.
type Scope struct {
	// Kind separates client accounts from upstream groups.
	Kind ScopeKind
	Name string
}

// ScopeKind is a kind of Scope.
type ScopeKind uint8

// The kinds of scope.
const (
	AccountScope ScopeKind = iota
	UpstreamScope
	// StepScope pays for the steps of cascades, beside the other two, so that
	// they leave something for what fails.
	StepScope
)

// Budgets holds a budget for each scope. Unused ones are dropped by Sweep.
type Budgets struct {
	opts BudgetOptions

	mu      sync.Mutex
	byScope map[Scope]*budget
}

// NewBudgets returns budgets that are full.
func NewBudgets(opts BudgetOptions) *Budgets {
	return &Budgets{opts: opts, byScope: make(map[Scope]*budget)}
}

// Deposit records a first attempt.
func (b *Budgets) Deposit(now time.Time, scopes ...Scope) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range scopes {
		at := b.get(s, now)
		at.tokens = min(at.tokens+b.opts.Ratio, b.opts.Max)
	}
}

// Withdraw takes one further attempt from every scope, or from none; then it
// returns the first scope that is exhausted.
func (b *Budgets) Withdraw(now time.Time, scopes ...Scope) (Scope, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range scopes {
		if b.get(s, now).tokens < 1 {
			return s, false
		}
	}
	for _, s := range scopes {
		b.byScope[s].tokens--
	}
	return Scope{}, true
}

// Affords implements Purse.
func (b *Budgets) Affords(now time.Time, scopes ...Scope) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range scopes {
		if b.get(s, now).tokens < 1 {
			return false
		}
	}
	return true
}

func (b *Budgets) get(s Scope, now time.Time) *budget {
	at, ok := b.byScope[s]
	if !ok {
		at = &budget{tokens: b.opts.Max, at: now}
		b.byScope[s] = at
	}
	at.refill(b.opts, now)
	return at
}

// Sweep drops budgets that have not been used for Idle and returns how many
// are left. A dropped budget begins full again, which Idle × PerSecond should
// have reached anyway.
func (b *Budgets) Sweep(now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	for s, at := range b.byScope {
		if now.Sub(at.at) > b.opts.Idle {
			delete(b.byScope, s)
		}
	}
	return len(b.byScope)
}
