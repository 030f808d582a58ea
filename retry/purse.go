package retry

import (
	"sync"
	"time"
)

// Purse pays for further attempts.
type Purse interface {
	// Deposit records a first attempt.
	Deposit(now time.Time, scopes ...Scope)
	// Withdraw takes one further attempt from every scope, or from none; then
	// it returns the first scope that is exhausted.
	Withdraw(now time.Time, scopes ...Scope) (Scope, bool)
	// Affords tells whether Withdraw would take an attempt now.
	Affords(now time.Time, scopes ...Scope) bool
}

// Allowance bounds the further attempts of a scope over any Span.
type Allowance struct {
	// Ratio is the number of further attempts for each first one.
	Ratio float64
	// Slack is the number beyond that.
	Slack float64
}

// WindowOptions set up Windows.
type WindowOptions struct {
	// Span is the time over which attempts are counted.
	Span time.Duration
	// Allowances hold for each kind of scope; others are not bounded.
	Allowances map[ScopeKind]Allowance
}

// Windows is a Purse that counts over a sliding time, as a bound over all VMs
// does: what one VM allows itself adds up with what the others do. It keeps the
// bound exactly, but saves nothing up. It is safe for concurrent use.
type Windows struct {
	mu      sync.Mutex
	opts    WindowOptions
	byScope map[Scope]*sliding
}

// sliding counts first attempts and further ones over slots of a span.
type sliding struct {
	newest int64
	slots  [slidingSlots]attempts
	// first and further are the sums over the slots. The oldest slot, which is
	// in part outside the span, counts for further attempts alone.
	first, further int
}

type attempts struct{ first, further int }

// slidingSlots is the number of slots; all but one make up the span.
const slidingSlots = 21

// NewWindows returns a purse that has seen nothing.
func NewWindows(opts WindowOptions) *Windows {
	return &Windows{opts: opts, byScope: make(map[Scope]*sliding)}
}

// Allow changes the allowance of a kind of scope, as when the number of VMs
// that share a bound changes.
func (w *Windows) Allow(kind ScopeKind, a Allowance) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.opts.Allowances[kind] = a
}

// Deposit implements Purse.
func (w *Windows) Deposit(now time.Time, scopes ...Scope) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range scopes {
		at := w.get(s, now)
		at.slots[at.newest%slidingSlots].first++
		at.first++
	}
}

// Withdraw implements Purse.
func (w *Windows) Withdraw(now time.Time, scopes ...Scope) (Scope, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s, ok := w.affords(now, scopes); !ok {
		return s, false
	}
	for _, s := range scopes {
		at := w.get(s, now)
		at.slots[at.newest%slidingSlots].further++
		at.further++
	}
	return Scope{}, true
}

// Affords implements Purse.
func (w *Windows) Affords(now time.Time, scopes ...Scope) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, ok := w.affords(now, scopes)
	return ok
}

func (w *Windows) affords(now time.Time, scopes []Scope) (Scope, bool) {
	for _, s := range scopes {
		allowance, bounded := w.opts.Allowances[s.Kind]
		if !bounded {
			continue
		}
		at := w.get(s, now)
		oldest := at.slots[(at.newest+1)%slidingSlots].first
		if float64(at.further+1) > allowance.Ratio*float64(at.first-oldest)+allowance.Slack {
			return s, false
		}
	}
	return Scope{}, true
}

func (w *Windows) get(s Scope, now time.Time) *sliding {
	at := w.byScope[s]
	slot := now.UnixNano() / int64(w.opts.Span/(slidingSlots-1))
	if at == nil {
		at = &sliding{newest: slot}
		w.byScope[s] = at
	}
	at.advance(slot)
	return at
}

// advance empties the slots that have left the span.
func (s *sliding) advance(slot int64) {
	if slot-s.newest >= slidingSlots {
		*s = sliding{newest: slot}
		return
	}
	for s.newest < slot {
		s.newest++
		left := &s.slots[s.newest%slidingSlots]
		s.first -= left.first
		s.further -= left.further
		*left = attempts{}
	}
}

// Sweep drops what has seen nothing over a span, and returns how many scopes
// are left.
func (w *Windows) Sweep(now time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	for s := range w.byScope {
		if at := w.get(s, now); at.first == 0 && at.further == 0 {
			delete(w.byScope, s)
		}
	}
	return len(w.byScope)
}
