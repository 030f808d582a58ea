package relay

import (
	"sync"
	"time"

	"github.com/poplarshore/poplarshore/model"
)

// reading learns how long upstreams take to read prompts, by model.
type reading struct {
	mu       sync.Mutex
	perToken map[model.Name]time.Duration
}

const (
	// usualPerToken is assumed before any answer of a model came.
	usualPerToken = 20 * time.Microsecond
	// headBase is the part of the time to a first event that does not depend
	// on the prompt.
	headBase = 60 * time.Millisecond
	// leastTokens is the length from which prompts tell about reading.
	leastTokens = 500
	// readingSmoothing is the weight of the newest answer.
	readingSmoothing = 0.1
	// serviceWork stands for requests without a prompt.
	serviceWork = 30 * time.Millisecond
)

func newReading() *reading {
	return &reading{perToken: make(map[model.Name]time.Duration)}
}

// estimate returns how long an upstream is busy before it answers a prompt.
func (r *reading) estimate(name model.Name, tokens int) time.Duration {
	if tokens == 0 {
		return serviceWork
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	per, ok := r.perToken[name]
	if !ok {
		per = usualPerToken
	}
	return time.Duration(tokens) * per
}

// add takes in the time to a first event.
func (r *reading) add(name model.Name, tokens int, first time.Duration) {
	if tokens < leastTokens {
		return
	}
	seen := max(first-headBase, 0) / time.Duration(tokens)
	r.mu.Lock()
	defer r.mu.Unlock()
	per, ok := r.perToken[name]
	if !ok {
		r.perToken[name] = seen
		return
	}
	r.perToken[name] = per + time.Duration(readingSmoothing*float64(seen-per))
}
