package retry

import (
	"sync"
	"time"
)

// BudgetOptions configure Budgets. DefaultBudgetOptions sets the defaults; zero
// values are not replaced by them.
type BudgetOptions struct {
	// Ratio is the number of tokens that each first attempt adds; default 0.1.
	// An additional attempt consumes one token.
	Ratio float64
	// PerSecond is the number of tokens added per second regardless of load, so
	// that infrequent requests can be retried too; default 0.1.
	PerSecond float64
	// Max is the capacity of a budget, in tokens; default 10.
	Max float64
	// Idle is how long an unused budget is kept; default 10 minutes.
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

// tokenBucket is a token bucket that is filled by first attempts and over time.
// It starts full.
type tokenBucket struct {
	tokens     float64
	refilledAt time.Time
}

func (b *tokenBucket) refill(o BudgetOptions, now time.Time) {
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.tokens = min(b.tokens+elapsed.Seconds()*o.PerSecond, o.Max)
		b.refilledAt = now
	}
}

// Scope identifies the owner of a budget.
type Scope struct {
	// Kind distinguishes client accounts, upstream groups and cascade steps.
	Kind ScopeKind
	// Name is the client account or the upstream group.
	Name string
}

// ScopeKind is the kind of a Scope.
type ScopeKind uint8

// The kinds of scope.
const (
	// AccountScope is the budget of a client account.
	AccountScope ScopeKind = iota
	// UpstreamScope is the budget of an upstream group.
	UpstreamScope
	// StepScope is the budget of an upstream group for cascade steps. Steps
	// consume it in addition to the other two, so that they leave budget for
	// retries of failed attempts.
	StepScope
)

// Budgets is a Budget with a token bucket for each scope. Sweep removes unused
// buckets. It is safe for concurrent use.
type Budgets struct {
	opts BudgetOptions

	mu      sync.Mutex
	byScope map[Scope]*tokenBucket
}

// NewBudgets returns Budgets whose buckets start full.
func NewBudgets(opts BudgetOptions) *Budgets {
	return &Budgets{opts: opts, byScope: make(map[Scope]*tokenBucket)}
}

// RecordFirst implements Budget.
func (b *Budgets) RecordFirst(now time.Time, scopes ...Scope) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range scopes {
		bucket := b.bucket(s, now)
		bucket.tokens = min(bucket.tokens+b.opts.Ratio, b.opts.Max)
	}
}

// WithdrawFirst implements Budget.
func (b *Budgets) WithdrawFirst(now time.Time, scopes ...Scope) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range scopes {
		bucket := b.bucket(s, now)
		bucket.tokens = max(bucket.tokens-b.opts.Ratio, 0)
	}
}

// Consume implements Budget.
func (b *Budgets) Consume(now time.Time, scopes ...Scope) (Scope, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range scopes {
		if b.bucket(s, now).tokens < 1 {
			return s, false
		}
	}
	for _, s := range scopes {
		b.byScope[s].tokens--
	}
	return Scope{}, true
}

// CanConsume implements Budget.
func (b *Budgets) CanConsume(now time.Time, scopes ...Scope) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range scopes {
		if b.bucket(s, now).tokens < 1 {
			return false
		}
	}
	return true
}

func (b *Budgets) bucket(s Scope, now time.Time) *tokenBucket {
	bucket, ok := b.byScope[s]
	if !ok {
		bucket = &tokenBucket{tokens: b.opts.Max, refilledAt: now}
		b.byScope[s] = bucket
	}
	bucket.refill(b.opts, now)
	return bucket
}

// Sweep removes buckets that have not been used for longer than Idle and returns
// the number of remaining ones. A removed bucket starts full again; Idle and
// PerSecond should be chosen such that it would have been refilled by then.
func (b *Budgets) Sweep(now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	for s, bucket := range b.byScope {
		if now.Sub(bucket.refilledAt) > b.opts.Idle {
			delete(b.byScope, s)
		}
	}
	return len(b.byScope)
}
