package engine

import (
	"maps"
	"net/http"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/poplarshore/poplarshore/standin/host"
)

const maxCountedAttempts = 1 << 20

// AttemptCount is what one attempt did at the engine.
type AttemptCount struct {
	Runs       int  `json:"runs"`
	Tokens     int  `json:"tokens"`
	Cancelled  bool `json:"cancelled,omitempty"`
	Duplicates int  `json:"duplicates,omitempty"`
}

// Counts is the answer to GET /counts.
type Counts struct {
	Runs       uint64 `json:"runs"`
	Tokens     uint64 `json:"tokens"`
	Cancels    uint64 `json:"cancels"`
	Duplicates uint64 `json:"duplicates"`
	Refused    uint64 `json:"refused"`
	// Uncounted is the number of attempts beyond the bound of Attempts.
	Uncounted uint64                  `json:"uncounted"`
	Attempts  map[string]AttemptCount `json:"attempts"`
}

type counter struct {
	mu     sync.Mutex
	counts Counts
	// prompts counts the runs by the prompt's hash.
	prompts map[uint64]int
}

func newCounter() *counter {
	return &counter{counts: Counts{Attempts: make(map[string]AttemptCount)}, prompts: make(map[uint64]int)}
}

// claim registers an attempt and reports whether it is new.
func (c *counter) claim(attempt string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if seen, ok := c.counts.Attempts[attempt]; ok {
		seen.Duplicates++
		c.counts.Attempts[attempt] = seen
		c.counts.Duplicates++
		return false
	}
	if len(c.counts.Attempts) >= maxCountedAttempts {
		c.counts.Uncounted++
		return true
	}
	c.counts.Attempts[attempt] = AttemptCount{}
	return true
}

// release forgets an attempt that was not started.
func (c *counter) release(attempt string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.counts.Attempts, attempt)
	c.counts.Refused++
}

// refuse counts a request that came while draining.
func (c *counter) refuse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Refused++
}

func (c *counter) started(attempt, prompt string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Runs++
	if len(c.prompts) < maxCountedAttempts {
		c.prompts[xxhash.Sum64String(prompt)]++
	}
	if a, ok := c.counts.Attempts[attempt]; ok {
		a.Runs++
		c.counts.Attempts[attempt] = a
	}
}

func (c *counter) ended(attempt string, tokens int, cancelled bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Tokens += uint64(tokens)
	if cancelled {
		c.counts.Cancels++
	}
	if a, ok := c.counts.Attempts[attempt]; ok {
		a.Tokens, a.Cancelled = tokens, cancelled
		c.counts.Attempts[attempt] = a
	}
}

// Counts returns what the stand-in has done so far.
func (s *Server) Counts() Counts {
	s.counts.mu.Lock()
	defer s.counts.mu.Unlock()
	counts := s.counts.counts
	counts.Attempts = maps.Clone(counts.Attempts)
	return counts
}

// Runs returns how often the stand-in has started to work on a prompt.
func (s *Server) Runs(prompt string) int {
	s.counts.mu.Lock()
	defer s.counts.mu.Unlock()
	return s.counts.prompts[xxhash.Sum64String(prompt)]
}

func (s *Server) getCounts(w http.ResponseWriter, _ *http.Request) {
	host.WriteJSON(w, http.StatusOK, s.Counts())
}
