package cascade

import (
	"math"
	"time"
)

const (
	scoreBins = 20
	// scoreMemory is the number of ratings after which an old one has lost
	// all but 1/e of its weight.
	scoreMemory = 500
	// priorWeight is the number of ratings that the prior score counts for.
	priorWeight = 10
	// latencyGain is the weight of a new latency in the moving average.
	latencyGain = 1.0 / 32
	// latencyDeviations is the number of mean deviations that a latency
	// estimate lies above the mean.
	latencyDeviations = 2
	// boundDeviations is the number of standard errors that the lower bound
	// lies below the mean.
	boundDeviations = 3
)

// scores is a decaying distribution of scores. Its size is fixed and its parts
// are sums, so that those of several VMs may be added.
type scores struct {
	bins   [scoreBins]float64
	weight float64
	sum    float64
	square float64
	seen   time.Time
}

func (s *scores) add(score float64, now time.Time) {
	const keep = 1 - 1.0/scoreMemory
	for i := range s.bins {
		s.bins[i] *= keep
	}
	s.weight = s.weight*keep + 1
	s.sum = s.sum*keep + score
	s.square = s.square*keep + score*score
	s.bins[binOf(score)]++
	s.seen = now
}

func binOf(score float64) int {
	return max(0, min(scoreBins-1, int(score*scoreBins)))
}

// mean returns the mean score, with the prior counted in.
func (s *scores) mean(prior float64) float64 {
	return (s.sum + prior*priorWeight) / (s.weight + priorWeight)
}

// passRate returns the part of scores that are at least threshold. Until
// ratings come the prior score stands for it, whatever the threshold: a model
// that nothing is known of is tried.
func (s *scores) passRate(threshold, prior float64) float64 {
	return s.gain(threshold, 0, prior)
}

// gain returns the mean of what an answer is worth: nothing below the
// threshold, then growing with the score to 1 at threshold + full.
func (s *scores) gain(threshold, full, prior float64) float64 {
	total := prior * priorWeight
	for i, w := range s.bins {
		total += w * worth(i, threshold, full)
	}
	return total / (s.weight + priorWeight)
}

// worth returns what a score of bin i is worth.
func worth(i int, threshold, full float64) float64 {
	upper := float64(i+1) / scoreBins
	above := max(0, min(1, (upper-threshold)*scoreBins))
	if above == 0 || full <= 0 {
		return above
	}
	middle := max(upper-0.5/scoreBins, (upper+threshold)/2)
	return above * min(1, (middle-threshold)/full)
}

// lowerBound returns a lower confidence bound of the mean, or 0 where too few
// ratings were seen.
func (s *scores) lowerBound() float64 {
	if s.weight < 2*priorWeight {
		return 0
	}
	mean := s.sum / s.weight
	variance := max(0, s.square/s.weight-mean*mean)
	return mean - boundDeviations*math.Sqrt(variance/s.weight)
}

// latency is a moving estimate of a duration.
type latency struct {
	mean, deviation time.Duration
}

func (l *latency) add(d time.Duration) {
	if l.mean == 0 {
		l.mean, l.deviation = d, d/4
		return
	}
	diff := float64(d - l.mean)
	l.mean += time.Duration(diff * latencyGain)
	l.deviation += time.Duration((math.Abs(diff) - float64(l.deviation)) * latencyGain)
}

// high returns a duration that few are above.
func (l *latency) high(prior time.Duration) time.Duration {
	if l.mean == 0 {
		return prior
	}
	return l.mean + latencyDeviations*l.deviation
}
