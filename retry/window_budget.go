package retry

import (
	"sync"
	"time"
)

// Budget limits additional attempts: retries, hedges and steps of cascades.
// Implementations must be safe for concurrent use.
type Budget interface {
	// RecordFirst records a first attempt in every scope.
	RecordFirst(now time.Time, scopes ...Scope)
	// WithdrawFirst takes back what RecordFirst recorded lately.
	WithdrawFirst(now time.Time, scopes ...Scope)
	// Consume consumes one additional attempt from every scope and returns true.
	// If a scope is exhausted it consumes nothing and returns the first such
	// scope and false.
	Consume(now time.Time, scopes ...Scope) (Scope, bool)
	// CanConsume reports whether Consume would succeed now.
	CanConsume(now time.Time, scopes ...Scope) bool
}

// Allowance limits the additional attempts of a scope in any window of length
// WindowBudgetOptions.Span to Ratio times its first attempts, plus Slack.
type Allowance struct {
	// Ratio is the number of additional attempts per first attempt.
	Ratio float64
	// Slack is the number of additional attempts regardless of first attempts.
	Slack float64
}

// WindowBudgetOptions configure WindowBudgets.
type WindowBudgetOptions struct {
	// Span is the length of the sliding window.
	Span time.Duration
	// Allowances are the limits by kind of scope. Kinds without an entry are not
	// limited.
	Allowances map[ScopeKind]Allowance
}

// WindowBudgets is a Budget that counts attempts over a sliding window. It suits a
// limit that applies to all VMs together, because the attempts that each VM
// admits add up. The limit is never exceeded in any window, but unused allowance
// is not carried over. It is safe for concurrent use.
type WindowBudgets struct {
	mu      sync.Mutex
	opts    WindowBudgetOptions
	byScope map[Scope]*attemptWindow
	// startedAt is the time that slots are counted from. Times since then are taken on the steady clock, so that
	// windows don't move when the time of day is set.
	startedAt time.Time
}

// attemptWindow counts the first and the additional attempts of a scope in slots
// of equal length.
type attemptWindow struct {
	newestSlot int64
	slots      [attemptWindowSlots]attemptCounts
	// first and additional are the sums over all slots. The oldest slot is partly
	// outside the span, so only its additional attempts count towards the limit.
	first, additional int
}

type attemptCounts struct{ first, additional int }

// attemptWindowSlots is the number of slots. The span has one slot less, as the
// oldest slot is partly outside it.
const attemptWindowSlots = 21

// NewWindowBudgets returns WindowBudgets without recorded attempts.
func NewWindowBudgets(opts WindowBudgetOptions) *WindowBudgets {
	return &WindowBudgets{opts: opts, byScope: make(map[Scope]*attemptWindow)}
}

// SetAllowance replaces the allowance of a kind of scope, for example when the number of
// VMs that share a limit changes.
func (w *WindowBudgets) SetAllowance(kind ScopeKind, a Allowance) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.opts.Allowances[kind] = a
}

// RecordFirst implements Budget.
func (w *WindowBudgets) RecordFirst(now time.Time, scopes ...Scope) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range scopes {
		window := w.window(s, now)
		window.slots[window.newestSlot%attemptWindowSlots].first++
		window.first++
	}
}

// WithdrawFirst implements Budget.
func (w *WindowBudgets) WithdrawFirst(now time.Time, scopes ...Scope) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range scopes {
		w.window(s, now).withdrawFirst()
	}
}

// withdrawFirst takes one first attempt back, from the newest slot that has any.
func (w *attemptWindow) withdrawFirst() {
	for i := range int64(attemptWindowSlots) {
		slot := &w.slots[(w.newestSlot-i+attemptWindowSlots)%attemptWindowSlots]
		if slot.first > 0 {
			slot.first--
			w.first--
			return
		}
	}
}

// Consume implements Budget.
func (w *WindowBudgets) Consume(now time.Time, scopes ...Scope) (Scope, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s, ok := w.canConsume(now, scopes); !ok {
		return s, false
	}
	for _, s := range scopes {
		window := w.window(s, now)
		window.slots[window.newestSlot%attemptWindowSlots].additional++
		window.additional++
	}
	return Scope{}, true
}

// CanConsume implements Budget.
func (w *WindowBudgets) CanConsume(now time.Time, scopes ...Scope) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, ok := w.canConsume(now, scopes)
	return ok
}

// canConsume returns true if no scope is exhausted, and otherwise the first scope
// that is.
func (w *WindowBudgets) canConsume(now time.Time, scopes []Scope) (Scope, bool) {
	for _, s := range scopes {
		allowance, bounded := w.opts.Allowances[s.Kind]
		if !bounded {
			continue
		}
		window := w.window(s, now)
		oldestFirst := window.slots[(window.newestSlot+1)%attemptWindowSlots].first
		if float64(window.additional+1) > allowance.Ratio*float64(window.first-oldestFirst)+allowance.Slack {
			return s, false
		}
	}
	return Scope{}, true
}

// window returns the window of a scope, advanced to now. It creates a window if
// there is none.
func (w *WindowBudgets) window(s Scope, now time.Time) *attemptWindow {
	window := w.byScope[s]
	if w.startedAt.IsZero() {
		w.startedAt = now
	}
	slot := max(int64(now.Sub(w.startedAt)), 0) / int64(w.opts.Span/(attemptWindowSlots-1))
	if window == nil {
		window = &attemptWindow{newestSlot: slot}
		w.byScope[s] = window
	}
	window.advance(slot)
	return window
}

// advance moves the window to the slot and clears the slots that have left it.
func (w *attemptWindow) advance(slot int64) {
	if slot-w.newestSlot >= attemptWindowSlots {
		*w = attemptWindow{newestSlot: slot}
		return
	}
	for w.newestSlot < slot {
		w.newestSlot++
		expired := &w.slots[w.newestSlot%attemptWindowSlots]
		w.first -= expired.first
		w.additional -= expired.additional
		*expired = attemptCounts{}
	}
}

// Counts are the attempts of a scope in the window, and its allowance.
type Counts struct {
	First, Additional int
	Allowance         Allowance
}

// Counts returns the counts of the scopes of a kind that have any, by name.
func (w *WindowBudgets) Counts(kind ScopeKind, now time.Time) map[string]Counts {
	w.mu.Lock()
	defer w.mu.Unlock()
	counts := make(map[string]Counts)
	for s := range w.byScope {
		if s.Kind != kind {
			continue
		}
		window := w.window(s, now)
		counts[s.Name] = Counts{First: window.first, Additional: window.additional, Allowance: w.opts.Allowances[kind]}
	}
	return counts
}

// Sweep removes scopes without attempts in the window and returns the number of
// remaining scopes.
func (w *WindowBudgets) Sweep(now time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	for s := range w.byScope {
		if window := w.window(s, now); window.first == 0 && window.additional == 0 {
			delete(w.byScope, s)
		}
	}
	return len(w.byScope)
}
