package cascade

import (
	"math"
	"time"
)

const (
	// scoreBins is the number of bins of equal width in a score histogram.
	scoreBins = 20
	// scoreDecayRatings is the number of further ratings after which the weight
	// of a rating has decayed to 1/e.
	scoreDecayRatings = 500
	// priorWeightRatings is the weight of the prior score, in ratings.
	priorWeightRatings = 10
	// latencySmoothing is the weight of a new latency in the moving averages.
	latencySmoothing = 1.0 / 32
	// latencyDeviations is the number of mean deviations by which an upper
	// latency estimate exceeds the mean.
	latencyDeviations = 2
	// lowerBoundDeviations is the number of standard errors by which the lower
	// bound is below the mean.
	lowerBoundDeviations = 3
)

// scoreDistribution is a histogram of scores with exponentially decaying
// weights. Its size is fixed and its weights are sums, so that the distributions
// of several VMs can be added.
type scoreDistribution struct {
	bins        [scoreBins]float64
	weight      float64
	sum         float64
	sumSquares  float64
	lastRatedAt time.Time
}

func (s *scoreDistribution) add(score float64, now time.Time) {
	const decay = 1 - 1.0/scoreDecayRatings
	for i := range s.bins {
		s.bins[i] *= decay
	}
	s.weight = s.weight*decay + 1
	s.sum = s.sum*decay + score
	s.sumSquares = s.sumSquares*decay + score*score
	s.bins[scoreBin(score)]++
	s.lastRatedAt = now
}

func scoreBin(score float64) int {
	return max(0, min(scoreBins-1, int(score*scoreBins)))
}

// mean returns the mean score, including the prior.
func (s *scoreDistribution) mean(prior float64) float64 {
	return (s.sum + prior*priorWeightRatings) / (s.weight + priorWeightRatings)
}

// passRate returns the fraction of scores that are at least threshold. Without
// ratings it is the prior score, whatever the threshold, so that a model that
// has no ratings yet is tried.
func (s *scoreDistribution) passRate(threshold, prior float64) float64 {
	return s.meanUtility(threshold, 0, prior)
}

// meanUtility returns the mean utility of an answer. The utility is 0 below the
// threshold and grows linearly with the score to 1 at threshold + fullMargin.
func (s *scoreDistribution) meanUtility(threshold, fullMargin, prior float64) float64 {
	total := prior * priorWeightRatings
	for i, w := range s.bins {
		total += w * binUtility(i, threshold, fullMargin)
	}
	return total / (s.weight + priorWeightRatings)
}

// binUtility returns the mean utility of the scores in bin i.
func binUtility(i int, threshold, fullMargin float64) float64 {
	upper := float64(i+1) / scoreBins
	shareAbove := max(0, min(1, (upper-threshold)*scoreBins))
	if shareAbove == 0 || fullMargin <= 0 {
		return shareAbove
	}
	middle := max(upper-0.5/scoreBins, (upper+threshold)/2)
	return shareAbove * min(1, (middle-threshold)/fullMargin)
}

// lowerBound returns a lower confidence bound of the mean score, or 0 if there
// are too few ratings.
func (s *scoreDistribution) lowerBound() float64 {
	if s.weight < 2*priorWeightRatings {
		return 0
	}
	mean := s.sum / s.weight
	variance := max(0, s.sumSquares/s.weight-mean*mean)
	return mean - lowerBoundDeviations*math.Sqrt(variance/s.weight)
}

// latencyEstimate is a moving average of a duration and of its mean deviation.
type latencyEstimate struct {
	mean, deviation time.Duration
}

func (l *latencyEstimate) add(d time.Duration) {
	if l.mean == 0 {
		l.mean, l.deviation = d, d/4
		return
	}
	diff := float64(d - l.mean)
	l.mean += time.Duration(diff * latencySmoothing)
	l.deviation += time.Duration((math.Abs(diff) - float64(l.deviation)) * latencySmoothing)
}

// upperEstimate returns a duration that few latencies exceed, or prior if there
// are no observations.
func (l *latencyEstimate) upperEstimate(prior time.Duration) time.Duration {
	if l.mean == 0 {
		return prior
	}
	return l.mean + latencyDeviations*l.deviation
}
