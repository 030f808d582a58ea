package rollout

import "math"

// alternativeFractions are the alternative rates that the detector is tuned to,
// as fractions of the distance from the reference rate to 1.
var alternativeFractions = [...]float64{0.01, 0.05, 0.2, 0.8}

// detector is a Shiryaev-Roberts e-detector for the hypothesis that the mean of
// values from 0 to 1 is at most a reference. It keeps the logarithm of one
// statistic for each alternative. The mean of the statistics is an e-detector as
// well, so that the mean number of observations between false alarms at the
// threshold exp(t) is at least exp(t).
type detector struct {
	logStatistics [len(alternativeFractions)]float64
	initialized   bool
}

// observe adds n values with the given sum. The reference may differ from call to
// call.
func (d *detector) observe(sum float64, n int64, reference float64) {
	if n <= 0 {
		return
	}
	if !d.initialized {
		d.reset()
	}
	reference = max(minReference, min(maxReference, reference))
	for i, fraction := range alternativeFractions {
		rate := reference + (1-reference)*fraction
		rate = min(rate, maxReference+(1-maxReference)*fraction)
		logLikelihoodRatio := sum*math.Log(rate/reference) + (float64(n)-sum)*math.Log((1-rate)/(1-reference))
		d.logStatistics[i] = logOnePlus(d.logStatistics[i]) + logLikelihoodRatio
	}
}

// minReference and maxReference limit the reference, so that the logarithms of it
// and of its complement stay finite.
const (
	minReference = 1e-4
	maxReference = 0.99
)

func (d *detector) reset() {
	for i := range d.logStatistics {
		d.logStatistics[i] = math.Inf(-1)
	}
	d.initialized = true
}

// logStatistic returns the logarithm of the mean statistic.
func (d *detector) logStatistic() float64 {
	if !d.initialized {
		return math.Inf(-1)
	}
	largest := d.logStatistics[0]
	for _, l := range d.logStatistics[1:] {
		largest = max(largest, l)
	}
	if math.IsInf(largest, -1) {
		return largest
	}
	sum := 0.0
	for _, l := range d.logStatistics {
		sum += math.Exp(l - largest)
	}
	return largest + math.Log(sum/float64(len(d.logStatistics)))
}

// logOnePlus returns log(1 + exp(x)) without overflow.
func logOnePlus(x float64) float64 {
	if x > 0 {
		return x + math.Log1p(math.Exp(-x))
	}
	return math.Log1p(math.Exp(x))
}
