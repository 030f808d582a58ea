package rollout

import "math"

const (
	// priorSuccess and priorFailure shape the beta mixture. Rates of errors
	// are small, so the mixture leans to small ones.
	priorSuccess = 0.5
	priorFailure = 0.5
	// bisections gives the bounds to about 1e-9.
	bisections = 30
)

// interval is a time-uniform confidence interval of a mean of values from 0 to 1.
type interval struct {
	low, high float64
}

// intervalOf returns the interval of n values with the given sum. The
// probability that it ever misses the mean is at most exp(-evidence) on each
// side together.
func intervalOf(sum float64, n int64, evidence float64) interval {
	if n <= 0 {
		return interval{low: 0, high: 1}
	}
	failures := float64(n) - sum
	mixture := logBeta(sum+priorSuccess, failures+priorFailure) - logBeta(priorSuccess, priorFailure)
	outside := func(p float64) bool {
		return mixture-logLikelihood(sum, failures, p) >= evidence
	}
	mean := sum / float64(n)
	return interval{
		low:  bisect(0, mean, outside),
		high: bisect(1, mean, outside),
	}
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

func logLikelihood(successes, failures, p float64) float64 {
	return xLogY(successes, p) + xLogY(failures, 1-p)
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
