// Package fault holds the switches for injected faults of a stand-in and their
// HTTP interface: POST /faults adds a rule, GET /faults shows the rules and how
// often each kind struck, DELETE /faults removes all rules.
package fault

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/joomcode/errorx"

	"github.com/poplarshore/poplarshore/standin/host"
)

var namespace = errorx.NewNamespace("fault")

// ErrUnknownKind reports a rule whose kind the stand-in does not know.
var ErrUnknownKind = namespace.NewType("unknown_kind")

// Kind names a fault.
type Kind string

// Rule injects one kind of fault.
type Rule struct {
	Kind Kind `json:"kind"`
	// Count is how often the rule strikes before it ends; 0 means without end.
	Count int `json:"count,omitempty"`
	// Probability is the chance of each strike; 0 means always.
	Probability float64 `json:"probability,omitempty"`
	// DelayMs is the delay of slow kinds, in milliseconds.
	DelayMs int64 `json:"delay_ms,omitempty"`
	// AfterPieces is how many pieces of a stream pass before the fault.
	AfterPieces int `json:"after_pieces,omitempty"`
	// Status is the HTTP status of kinds that answer with an error.
	Status int `json:"status,omitempty"`
	// ReusedOnly limits the rule to connections that carried a request before.
	ReusedOnly bool `json:"reused_only,omitempty"`
	// Path limits the rule to request paths with this prefix.
	Path string `json:"path,omitempty"`
}

// Delay returns DelayMs as a duration.
func (r Rule) Delay() time.Duration {
	return time.Duration(r.DelayMs) * time.Millisecond
}

// Report is the answer to GET /faults.
type Report struct {
	Rules  []Rule          `json:"rules"`
	Struck map[Kind]uint64 `json:"struck"`
}

// Set is the rules in force at one stand-in.
type Set struct {
	known []Kind

	mu     sync.Mutex
	random *rand.Rand
	rules  []Rule
	struck map[Kind]uint64
}

// NewSet returns an empty set that accepts the known kinds.
func NewSet(seed uint64, known ...Kind) *Set {
	return &Set{known: known, random: rand.New(rand.NewPCG(seed, 0)), struck: make(map[Kind]uint64)}
}

// Add puts a rule in force. Errors: ErrUnknownKind.
func (s *Set) Add(r Rule) error {
	if !slices.Contains(s.known, r.Kind) {
		return ErrUnknownKind.New("fault %q", r.Kind)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rules = append(s.rules, r)
	return nil
}

// Clear removes all rules.
func (s *Set) Clear() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rules = nil
}

// Report returns the rules and how often each kind struck.
func (s *Set) Report() Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	struck := make(map[Kind]uint64, len(s.struck))
	for kind, n := range s.struck {
		struck[kind] = n
	}
	return Report{Rules: slices.Clone(s.rules), Struck: struck}
}

// Take returns the first rule of one of the kinds that strikes the request,
// and counts the strike.
func (s *Set) Take(r *http.Request, kinds ...Kind) (Rule, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, rule := range s.rules {
		if !slices.Contains(kinds, rule.Kind) || !s.strikes(rule, r) {
			continue
		}
		s.struck[rule.Kind]++
		s.spend(i)
		return rule, true
	}
	return Rule{}, false
}

func (s *Set) strikes(rule Rule, r *http.Request) bool {
	if rule.ReusedOnly && !host.Reused(r) {
		return false
	}
	if len(r.URL.Path) < len(rule.Path) || r.URL.Path[:len(rule.Path)] != rule.Path {
		return false
	}
	return rule.Probability == 0 || s.random.Float64() < rule.Probability
}

func (s *Set) spend(i int) {
	if s.rules[i].Count == 0 {
		return
	}
	s.rules[i].Count--
	if s.rules[i].Count == 0 {
		s.rules = slices.Delete(s.rules, i, i+1)
	}
}

// Register adds the HTTP interface to mux.
func (s *Set) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST /faults", s.post)
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) {
		host.WriteJSON(w, http.StatusOK, s.Report())
	})
	mux.HandleFunc("DELETE /faults", func(w http.ResponseWriter, _ *http.Request) {
		s.Clear()
		w.WriteHeader(http.StatusNoContent)
	})
}

func (s *Set) post(w http.ResponseWriter, r *http.Request) {
	var rule Rule
	if !host.ReadJSON(w, r, &rule) {
		return
	}
	if err := s.Add(rule); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// Wait blocks for d on the clock or until ctx ends, and reports whether the
// whole time passed. A d of 0 or less returns at once.
func Wait(ctx context.Context, clock clockwork.Clock, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return true
	case <-ctx.Done():
		return false
	}
}
