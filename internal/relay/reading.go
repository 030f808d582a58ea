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
	mu      sync.Mutex
	byModel map[model.Name]*pace
}

// pace is how long a model takes for a token of a short prompt, in nanoseconds.
type pace struct {
	perToken float64
	seen     int
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
	// at each answer, which is firstStep over their number at the beginning.
	readingQuantile = 0.4
	readingStep     = 0.1
	firstStep       = 0.8
	// attentionTokens is the length at which attention takes as long as the rest.
	attentionTokens = 60_000
	// serviceWork stands for requests without a prompt.
	serviceWork = 30 * time.Millisecond
)

func newReading() *reading {
	return &reading{byModel: make(map[model.Name]*pace)}
}

// estimate returns how long an upstream is busy before it answers a prompt.
func (r *reading) estimate(name model.Name, tokens int) time.Duration {
	if tokens == 0 {
		return serviceWork
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(weight(tokens) * r.get(name).perToken)
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
	p := r.get(name)
	p.seen++
	step := max(readingStep, firstStep/float64(p.seen))
	if seen > p.perToken {
		p.perToken *= 1 + step*readingQuantile
	} else {
		p.perToken *= 1 - step*(1-readingQuantile)
	}
}

func (r *reading) get(name model.Name) *pace {
	p := r.byModel[name]
	if p == nil {
		p = &pace{perToken: usualPerToken}
		r.byModel[name] = p
	}
	return p
}
