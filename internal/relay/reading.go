package relay

import (
	"sync"
	"time"

	"github.com/poplarshore/poplarshore/model"
)

// reading learns how long upstreams take to read prompts, by model. Most of the
// time to a first event may be waiting, so it follows a low quantile. Attention
// makes long prompts cost more for each token.
type reading struct {
	mu       sync.Mutex
	perToken map[model.Name]float64
}

const (
	// usualPerToken is assumed before any answer of a model came, in
	// nanoseconds.
	usualPerToken = 20_000
	// headBase is the part of the time to a first event that does not depend
	// on the prompt.
	headBase = 60 * time.Millisecond
	// leastTokens is the length from which prompts tell about reading.
	leastTokens = 2000
	// readingQuantile is the quantile followed, readingStep the relative change
	// at each answer.
	readingQuantile = 0.3
	readingStep     = 0.1
	// attentionTokens is the length at which attention takes as long as the rest.
	attentionTokens = 60_000
	// serviceWork stands for requests without a prompt.
	serviceWork = 30 * time.Millisecond
)

func newReading() *reading {
	return &reading{perToken: make(map[model.Name]float64)}
}

// estimate returns how long an upstream is busy before it answers a prompt.
func (r *reading) estimate(name model.Name, tokens int) time.Duration {
	if tokens == 0 {
		return serviceWork
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(weight(tokens) * r.get(name))
}

// weight returns the length of a prompt in tokens of a short one.
func weight(tokens int) float64 {
	return float64(tokens) * (1 + float64(tokens)/attentionTokens)
}

// add takes in the time to a first event.
func (r *reading) add(name model.Name, tokens int, first time.Duration) {
	if tokens < leastTokens {
		return
	}
	seen := float64(max(first-headBase, 0)) / weight(tokens)
	r.mu.Lock()
	defer r.mu.Unlock()
	per := r.get(name)
	if seen > per {
		per *= 1 + readingStep*readingQuantile
	} else {
		per *= 1 - readingStep*(1-readingQuantile)
	}
	r.perToken[name] = per
}

func (r *reading) get(name model.Name) float64 {
	if per, ok := r.perToken[name]; ok {
		return per
	}
	return usualPerToken
}
