package rollout

import "math"

const (
	// priorSuccess and priorFailure are the parameters of the beta prior
	// (Jeffreys' prior).
	priorSuccess = 0.5
	priorFailure = 0.5
	// bisections is the number of bisection steps; 30 give about 1e-9 precision.
	bisections = 30
)

// betaMixture is the beta mixture of likelihoods of n values from 0 to 1. Its
// ratio to the likelihood under the true mean is a martingale that starts at 1,
// or a supermartingale if there are values strictly between 0 and 1 (by
// convexity).
type betaMixture struct {
	successes, failures float64
	logMarginal         float64
}

// newBetaMixture returns the mixture of n values with the given sum. The prior is
// the mean of priorWeight values that were known before the first of the n
// values. The larger the weight, the less evidence is lost if the mean of the n
// values agrees with the prior mean. The test is valid for any prior.
func newBetaMixture(sum float64, n int64, priorMean, priorWeight float64) betaMixture {
	failures := float64(n) - sum
	priorAlpha, priorBeta := priorSuccess+priorWeight*priorMean, priorFailure+priorWeight*(1-priorMean)
	return betaMixture{
		successes:   sum,
		failures:    failures,
		logMarginal: logBeta(sum+priorAlpha, failures+priorBeta) - logBeta(priorAlpha, priorBeta),
	}
}

// logRatio returns the logarithm of the ratio of the mixture to the likelihood
// under the mean p. It is convex in p.
func (m betaMixture) logRatio(p float64) float64 {
	return m.logMarginal - xLogY(m.successes, p) - xLogY(m.failures, 1-p)
}

// upperBound returns the smallest mean above the sample mean that n values with
// the given sum reject at the given evidence, the logarithm of a likelihood ratio.
// The bound holds at all times simultaneously (a confidence sequence).
func upperBound(sum float64, n int64, evidence float64) float64 {
	if n <= 0 {
		return 1
	}
	m := newBetaMixture(sum, n, 0, 0)
	return bisect(1, sum/float64(n), func(p float64) bool { return m.logRatio(p) >= evidence })
}

// bisect returns the boundary between outside, where isOutside is true, and
// inside, where it is false. It returns outside if isOutside is false there, too.
func bisect(outside, inside float64, isOutside func(float64) bool) float64 {
	if !isOutside(outside) {
		return outside
	}
	for range bisections {
		middle := (outside + inside) / 2
		if isOutside(middle) {
			outside = middle
		} else {
			inside = middle
		}
	}
	return outside
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
