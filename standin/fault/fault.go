// Package fault injects faults into the stand-ins. A Set holds the rules of one stand-in,
// which calls Set.Trigger at the points where it can fail.
//
// The rules can be changed by Go code and over HTTP: POST /faults adds a rule, GET /faults
// returns the rules and how often each kind was injected, DELETE /faults removes all rules.
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

// ErrUnknownKind reports a rule of a kind that the stand-in doesn't support.
var ErrUnknownKind = namespace.NewType("unknown_kind")

// Kind is a kind of fault. Each stand-in defines the kinds that it supports.
type Kind string

// Rule says when a kind of fault is injected, and how.
type Rule struct {
	Kind Kind `json:"kind"`
	// Count is how often the fault is injected before the rule is removed. Default: 0,
	// which means without limit.
	Count int `json:"count,omitempty"`
	// Probability is the probability, from 0 to 1, that a request to which the rule applies
	// triggers it. Default: 0, which means always.
	Probability float64 `json:"probability,omitempty"`
	// DelayMs is the delay of the kinds that slow down a response, in milliseconds.
	DelayMs int64 `json:"delay_ms,omitempty"`
	// AfterPieces is the number of pieces of a stream that are sent before the fault.
	AfterPieces int `json:"after_pieces,omitempty"`
	// Status is the HTTP status of the kinds that respond with an error. Default: 500.
	Status int `json:"status,omitempty"`
	// ReusedOnly limits the rule to requests on a connection that was used by another request
	// before.
	ReusedOnly bool `json:"reused_only,omitempty"`
	// Path limits the rule to requests whose path has this prefix.
	Path string `json:"path,omitempty"`
}

// Delay returns DelayMs as a duration.
func (r Rule) Delay() time.Duration {
	return time.Duration(r.DelayMs) * time.Millisecond
}

// Report is the response to GET /faults.
type Report struct {
	// Rules are the rules in force.
	Rules []Rule `json:"rules"`
	// Injected is the number of injected faults by kind since the start.
	Injected map[Kind]uint64 `json:"struck"`
}

// Set holds the rules in force at one stand-in. It is safe for concurrent use.
type Set struct {
	knownKinds []Kind

	mu       sync.Mutex
	random   *rand.Rand
	rules    []Rule
	injected map[Kind]uint64
}

// NewSet returns an empty set that accepts rules of the known kinds. seed seeds the draws of
// rules with a probability.
func NewSet(seed uint64, knownKinds ...Kind) *Set {
	return &Set{knownKinds: knownKinds, random: rand.New(rand.NewPCG(seed, 0)), injected: make(map[Kind]uint64)}
}

// Add puts a rule in force. Errors: ErrUnknownKind.
func (s *Set) Add(r Rule) error {
	if !slices.Contains(s.knownKinds, r.Kind) {
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

// Report returns the rules in force and how often each kind of fault was injected.
func (s *Set) Report() Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	injected := make(map[Kind]uint64, len(s.injected))
	for kind, n := range s.injected {
		injected[kind] = n
	}
	return Report{Rules: slices.Clone(s.rules), Injected: injected}
}

// Trigger returns the first rule of one of the kinds that the request triggers, and counts
// the fault as injected. The caller has to inject it.
func (s *Set) Trigger(r *http.Request, kinds ...Kind) (Rule, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, rule := range s.rules {
		if !slices.Contains(kinds, rule.Kind) || !s.matches(rule, r) {
			continue
		}
		s.injected[rule.Kind]++
		s.consume(i)
		return rule, true
	}
	return Rule{}, false
}

// matches reports whether the request triggers the rule. The caller holds mu.
func (s *Set) matches(rule Rule, r *http.Request) bool {
	if rule.ReusedOnly && !host.OnReusedConnection(r) {
		return false
	}
	if len(r.URL.Path) < len(rule.Path) || r.URL.Path[:len(rule.Path)] != rule.Path {
		return false
	}
	return rule.Probability == 0 || s.random.Float64() < rule.Probability
}

// consume decrements the count of rule i and removes the rule when it reaches 0. The caller
// holds mu.
func (s *Set) consume(i int) {
	if s.rules[i].Count == 0 {
		return
	}
	s.rules[i].Count--
	if s.rules[i].Count == 0 {
		s.rules = slices.Delete(s.rules, i, i+1)
	}
}

// Register adds the HTTP handlers of /faults to mux.
func (s *Set) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST /faults", s.postRule)
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) {
		host.WriteJSON(w, http.StatusOK, s.Report())
	})
	mux.HandleFunc("DELETE /faults", func(w http.ResponseWriter, _ *http.Request) {
		s.Clear()
		w.WriteHeader(http.StatusNoContent)
	})
}

func (s *Set) postRule(w http.ResponseWriter, r *http.Request) {
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

// Wait blocks until d has passed on the clock or ctx is done, and reports whether d has
// passed. If d is 0 or less, Wait returns at once and reports whether ctx is not done.
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
