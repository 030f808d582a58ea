package rollout

import "math"

const (
	// priorSuccess and priorFailure shape the beta mixture (Jeffreys').
	priorSuccess = 0.5
	priorFailure = 0.5
	// bisections gives the bounds to about 1e-9.
	bisections = 30
)

// mixture is the beta mixture of likelihoods of n values from 0 to 1. Its ratio
// to the likelihood under the true mean is a martingale that starts at 1, or a
// supermartingale where the values lie between 0 and 1 (by convexity).
type mixture struct {
	successes, failures float64
	log                 float64
}

// newMixture returns the mixture of n values with the given sum. The prior mean,
// of prior values, was known before the first of them; the more it is worth, the
// less evidence a mean that agrees with it costs. Any prior is valid.
func newMixture(sum float64, n int64, mean, prior float64) mixture {
	failures := float64(n) - sum
	a, b := priorSuccess+prior*mean, priorFailure+prior*(1-mean)
	return mixture{
		successes: sum,
		failures:  failures,
		log:       logBeta(sum+a, failures+b) - logBeta(a, b),
	}
}

// logRatio returns the logarithm of the ratio for the mean p. It is convex in p.
func (m mixture) logRatio(p float64) float64 {
	return m.log - xLogY(m.successes, p) - xLogY(m.failures, 1-p)
}

// upperBound returns the least mean above the sample's that n values with the
// given sum speak against with the evidence; it holds at all times at once.
func upperBound(sum float64, n int64, evidence float64) float64 {
	if n <= 0 {
		return 1
	}
	m := newMixture(sum, n, 0, 0)
	return bisect(1, sum/float64(n), func(p float64) bool { return m.logRatio(p) >= evidence })
}

// bisect returns the border between out, which is outside, and in, which is not.
func bisect(out, in float64, outside func(float64) bool) float64 {
	if !outside(out) {
		return out
	}
	for range bisections {
		middle := (out + in) / 2
		if outside(middle) {
			out = middle
		} else {
			in = middle
		}
	}
	return out
}

func xLogY(x, y float64) float64 {
	if x == 0 {
		return 0
	}
	return x * math.Log(y)
}

func logBeta(a, b float64) float64 {
	la, _ := math.Lgamma(a)
	lb, _ := math.Lgamma(b)
	lab, _ := math.Lgamma(a + b)
	return la + lb - lab
}
