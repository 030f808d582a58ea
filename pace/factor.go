package pace

import (
	"math"
	"time"
)

const (
	// FactorHalfLife is the time in which the weight of samples of a Factor halves. Three half
	// lives let a factor of 4 return to under 1.5.
	FactorHalfLife = 4 * time.Second
	// factorPrior is the weight of Factor.Prior, in gaps.
	factorPrior = 3
	// factorMaxWeight bounds the weight of all samples together, so that an upstream which
	// has just become slow is recognized within about as many gaps.
	factorMaxWeight = 8
	// outlierBound is the largest ratio of a sample to the estimate so far, in both
	// directions. Without it one gap of some seconds would decide.
	outlierBound = 4
	// maxOpenWeight bounds the weight of a gap that is still open, in gaps.
	maxOpenWeight = 4
	// minFactor and maxFactor bound the estimate.
	minFactor, maxFactor = 0.1, 50
)

// Factor estimates how much longer an upstream takes for an event than usual: 1 as usual. It
// is the mean over recent gaps, because the sum of the gaps decides when an answer ends. The
// zero value has no samples. It is not safe for concurrent use.
type Factor struct {
	// HalfLife is the time in which the weight of samples halves. Default FactorHalfLife.
	HalfLife time.Duration
	// MaxWeight bounds the weight of all samples, in gaps. Default 8.
	MaxWeight float64
	// Prior is the estimate without samples, to which it returns. Default 1.
	Prior float64

	mean, weight float64
	at           time.Time
}

// Observe records that a gap took ratio times as long as usual. n is the number of events
// that arrived after that time together, each of which took that ratio.
func (f *Factor) Observe(ratio float64, n int, now time.Time) {
	f.fade(now)
	f.add(ratio, float64(max(n, 1)))
	limit := f.MaxWeight
	if limit <= 0 {
		limit = factorMaxWeight
	}
	f.weight = min(f.weight, limit)
}

// add adds a sample without bounding the weight.
func (f *Factor) add(ratio, weight float64) {
	estimate := f.value()
	ratio = min(max(ratio, estimate/outlierBound, minFactor), estimate*outlierBound, maxFactor)
	f.mean = (f.mean*f.weight + ratio*weight) / (f.weight + weight)
	f.weight += weight
}

// fade reduces the weight of earlier samples.
func (f *Factor) fade(now time.Time) {
	f.weight = f.weightAt(now)
	f.at = now
}

// weightAt returns the weight of all samples at a time.
func (f *Factor) weightAt(now time.Time) float64 {
	age := now.Sub(f.at)
	if f.weight == 0 || age <= 0 {
		return f.weight
	}
	halfLife := f.HalfLife
	if halfLife <= 0 {
		halfLife = FactorHalfLife
	}
	return f.weight * math.Exp2(-float64(age)/float64(halfLife))
}

func (f *Factor) value() float64 {
	prior := f.Prior
	if prior <= 0 {
		prior = 1
	}
	return (f.mean*f.weight + factorPrior*prior) / (f.weight + factorPrior)
}

// Value returns the estimate.
func (f *Factor) Value(now time.Time) float64 {
	g := *f
	g.weight = f.weightAt(now)
	return g.value()
}

// ValueWith returns the estimate if the gaps that are still open are taken into account:
// open holds how long each of them has lasted, as ratios like those of Observe. Those shorter
// than the estimate say nothing; longer ones count the more the longer they are.
func (f *Factor) ValueWith(now time.Time, open []float64) float64 {
	g := *f
	g.weight = f.weightAt(now)
	for _, ratio := range open {
		if estimate := g.value(); ratio > estimate {
			g.add(ratio, min(ratio/estimate, maxOpenWeight))
		}
	}
	return g.value()
}

// Mean returns the mean of the samples alone, without the prior, and their weight in gaps.
func (f *Factor) Mean(now time.Time) (mean, weight float64) { return f.mean, f.weightAt(now) }
