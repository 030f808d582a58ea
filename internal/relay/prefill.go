package relay

import (
	"sync"
	"time"

	"github.com/poplarshore/poplarshore/model"
)

// prefillEstimator estimates how long upstreams take to process prompts, by
// model, from the observed time to first event. Most of that time may be
// queueing, so it tracks a low quantile. Attention makes each token of a long
// prompt more expensive.
type prefillEstimator struct {
	mu      sync.Mutex
	byModel map[model.Name]*prefillRate
}

// prefillRate is the estimated prefill time of one token of a short prompt, in
// nanoseconds.
type prefillRate struct {
	nanosPerToken float64
	samples       int
}

const (
	// defaultNanosPerToken is assumed for a model without samples.
	defaultNanosPerToken = 20_000
	// firstEventBase is the part of the time to first event that does not
	// depend on the prompt.
	firstEventBase = 60 * time.Millisecond
	// minSampleTokens is the shortest prompt that is used as a sample, in tokens.
	minSampleTokens = 2000
	// prefillQuantile is the tracked quantile. The n-th sample changes the
	// estimate by the relative step initialStep/n, but at least by minStep.
	prefillQuantile = 0.4
	minStep         = 0.1
	initialStep     = 0.8
	// attentionTokens is the prompt length, in tokens, at which attention takes
	// as long as the rest of the prefill.
	attentionTokens = 60_000
	// noPromptWork is the estimate for requests without a prompt.
	noPromptWork = 30 * time.Millisecond
)

func newPrefillEstimator() *prefillEstimator {
	return &prefillEstimator{byModel: make(map[model.Name]*prefillRate)}
}

// estimate returns how long an upstream is expected to process a prompt before
// it sends the first event.
func (r *prefillEstimator) estimate(name model.Name, tokens int) time.Duration {
	if tokens == 0 {
		return noPromptWork
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(effectiveTokens(tokens) * r.get(name).nanosPerToken)
}

// effectiveTokens returns the number of tokens of short prompts that cost as
// much prefill time as one prompt of the given length.
func effectiveTokens(tokens int) float64 {
	return float64(tokens) * (1 + float64(tokens)/attentionTokens)
}

// observe records the time from the start of an attempt to its first event.
func (r *prefillEstimator) observe(name model.Name, tokens int, firstEvent time.Duration) {
	if tokens < minSampleTokens {
		return
	}
	perToken := float64(max(firstEvent-firstEventBase, 0)) / effectiveTokens(tokens)
	r.mu.Lock()
	defer r.mu.Unlock()
	rate := r.get(name)
	rate.samples++
	step := max(minStep, initialStep/float64(rate.samples))
	if perToken > rate.nanosPerToken {
		rate.nanosPerToken *= 1 + step*prefillQuantile
	} else {
		rate.nanosPerToken *= 1 - step*(1-prefillQuantile)
	}
}

// get returns the rate of a model and creates it if there is none. The caller
// holds mu.
func (r *prefillEstimator) get(name model.Name) *prefillRate {
	rate := r.byModel[name]
	if rate == nil {
		rate = &prefillRate{nanosPerToken: defaultNanosPerToken}
		r.byModel[name] = rate
	}
	return rate
}
