package rollout

import "math"

// alternatives are the parts of the way from the reference rate to 1 that the
// detector is tuned to.
var alternatives = [...]float64{0.01, 0.05, 0.2, 0.8}

// detector is a Shiryaev-Roberts e-detector of the hypothesis that the mean of
// values from 0 to 1 is at most a reference. Each alternative keeps the
// logarithm of its statistic; their mean is an e-detector, too, so that the mean
// number of observations between false alarms at the threshold exp(t) is at
// least exp(t).
type detector struct {
	log [len(alternatives)]float64
	set bool
}

// observe takes in n values with the given sum.
func (d *detector) observe(sum float64, n int64, reference float64) {
	if n <= 0 {
		return
	}
	if !d.set {
		d.reset()
	}
	reference = max(minReference, min(maxReference, reference))
	for i, part := range alternatives {
		rate := reference + (1-reference)*part
		rate = min(rate, maxReference+(1-maxReference)*part)
		gain := sum*math.Log(rate/reference) + (float64(n)-sum)*math.Log((1-rate)/(1-reference))
		d.log[i] = logOnePlus(d.log[i]) + gain
	}
}

const (
	minReference = 1e-4
	maxReference = 0.99
)

func (d *detector) reset() {
	for i := range d.log {
		d.log[i] = math.Inf(-1)
	}
	d.set = true
}

// level returns the logarithm of the mean statistic.
func (d *detector) level() float64 {
	if !d.set {
		return math.Inf(-1)
	}
	high := d.log[0]
	for _, l := range d.log[1:] {
		high = max(high, l)
	}
	if math.IsInf(high, -1) {
		return high
	}
	sum := 0.0
	for _, l := range d.log {
		sum += math.Exp(l - high)
	}
	return high + math.Log(sum/float64(len(d.log)))
}

// logOnePlus returns log(1 + exp(x)) without overflow.
func logOnePlus(x float64) float64 {
	if x > 0 {
		return x + math.Log1p(math.Exp(-x))
	}
	return math.Log1p(math.Exp(x))
}
