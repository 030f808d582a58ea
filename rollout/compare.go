package rollout

import "math"

// Metric names a quantity by which a version is judged.
type Metric string

// Metrics by which a version is judged.
const (
	MetricErrors Metric = "errors"
	MetricSlow   Metric = "slow"
	MetricLow    Metric = "low_ratings"
	MetricRating Metric = "mean_rating"
)

// Tolerance is how much worse the new version may be: differences of fractions of
// requests (Errors, Slow) or of ratings (Low), or of mean ratings (Rating).
type Tolerance struct {
	Errors float64
	Slow   float64
	Low    float64
	Rating float64
}

// DefaultTolerance is used if the options set no tolerance.
var DefaultTolerance = Tolerance{Errors: 0.002, Slow: 0.01, Low: 0.01, Rating: 0.01}

// Verdict is the result of a comparison.
type Verdict struct {
	// Bad reports that a version is worse than the tolerance allows.
	Bad bool `json:"bad"`
	// Metric is the metric on which the version is worse.
	Metric Metric `json:"metric,omitempty"`
	// Seen and Reference are the means of the metric for the version and for
	// the version or rate that it is compared with.
	Seen      float64 `json:"seen,omitempty"`
	Reference float64 `json:"reference,omitempty"`
}

// metricSample holds the values of one metric for one version. A higher mean is
// worse.
type metricSample struct {
	metric    Metric
	sum       float64
	n         int64
	tolerance float64
}

func (c Counts) metricSamples(t Tolerance) [4]metricSample {
	return [4]metricSample{
		{MetricErrors, float64(c.Errors), c.Requests, t.Errors},
		{MetricSlow, float64(c.Slow), c.Requests, t.Slow},
		{MetricLow, float64(c.Low), c.Rated, t.Low},
		{MetricRating, float64(c.Rated) - c.RatingSum, c.Rated, t.Rating},
	}
}

func (s metricSample) mean() float64 {
	if s.n == 0 {
		return 0
	}
	return s.sum / float64(s.n)
}

// Compare reports whether the new version is worse than the old one. The counts
// of both must cover the same period and the same VMs. The probability that an
// equally good version is ever found bad on a metric is at most exp(-threshold),
// however often Compare is called on growing counts.
//
// The baseline holds the counts of the old version from before the compared
// period, and may be empty. It makes the test more sensitive if it agrees with
// oldCounts, and does not affect the false alarm probability.
func Compare(newCounts, oldCounts, baseline Counts, t Tolerance, threshold float64) Verdict {
	oldSamples, baselineSamples := oldCounts.metricSamples(t), baseline.metricSamples(t)
	for i, newSample := range newCounts.metricSamples(t) {
		oldSample := oldSamples[i]
		if oldSample.n == 0 || newSample.mean() <= oldSample.mean()+newSample.tolerance {
			continue
		}
		if logEvidenceAgainst(newSample, oldSample, baselineSamples[i]) >= threshold {
			return Verdict{Bad: true, Metric: newSample.metric, Seen: newSample.mean(), Reference: oldSample.mean()}
		}
	}
	return Verdict{}
}

// logEvidenceAgainst returns the logarithm of the evidence against the hypothesis
// that the new version's mean is at most the old version's mean plus the
// tolerance. For any pair of true means the product of both versions' mixture
// likelihood ratios is a martingale that starts at 1. The minimum of the product
// over all pairs that satisfy the hypothesis is therefore an e-process (Ville's
// inequality bounds the probability that it is ever large). Its logarithm is
// convex in the old version's mean; the minimum lies between the observed mean of
// the old version and that of the new version less the tolerance.
func logEvidenceAgainst(newSample, oldSample, baseline metricSample) float64 {
	newMixture := newBetaMixture(newSample.sum, newSample.n, 0, 0)
	oldMixture := newBetaMixture(oldSample.sum, oldSample.n, baseline.mean(), float64(min(baseline.n, maxBaselineWeight)))
	low, high := oldSample.mean(), newSample.mean()-newSample.tolerance
	return minimizeConvex(low, high, func(mean float64) float64 {
		return newMixture.logRatio(mean+newSample.tolerance) + oldMixture.logRatio(mean)
	})
}

// EvidenceNotWorse returns the logarithm of the evidence that the new version's mean of
// the metric is less than the old version's mean plus the margin. If it is not, the
// evidence ever exceeds x with a probability of at most exp(-x). The mean of the old
// version is taken as known, as far more of its values are observed; it is 0 without
// any. A good version is expected to have it, too, which makes the test more sensitive.
func EvidenceNotWorse(metric Metric, newCounts, oldCounts Counts, margin Tolerance) float64 {
	oldSamples := oldCounts.metricSamples(margin)
	for i, newSample := range newCounts.metricSamples(margin) {
		if newSample.metric != metric {
			continue
		}
		limit := min(oldSamples[i].mean()+newSample.tolerance, 1)
		if newSample.mean() >= limit {
			return 0
		}
		return newBetaMixture(newSample.sum, newSample.n, oldSamples[i].mean(), oldMeanWeight).logRatio(limit)
	}
	return 0
}

// oldMeanWeight is the number of values that the expectation of the old version's mean
// counts for.
const oldMeanWeight = 20

// maxBaselineWeight is the maximum number of values that a baseline counts for.
// It is limited because traffic changes over time.
const maxBaselineWeight = 500

// minimizeConvex returns the minimum of a convex function between low and high,
// found by golden-section search.
func minimizeConvex(low, high float64, f func(float64) float64) float64 {
	const inverseGoldenRatio = 0.6180339887498949
	a, b := high-inverseGoldenRatio*(high-low), low+inverseGoldenRatio*(high-low)
	fa, fb := f(a), f(b)
	for range goldenSectionSteps {
		if fa < fb {
			high, b, fb = b, a, fa
			a = high - inverseGoldenRatio*(high-low)
			fa = f(a)
		} else {
			low, a, fa = a, b, fb
			b = low + inverseGoldenRatio*(high-low)
			fb = f(b)
		}
	}
	return min(fa, fb)
}

// goldenSectionSteps is the number of search steps; 28 narrow the interval to
// 1e-6 of its width.
const goldenSectionSteps = 28

// EvidenceThresholdFor returns the EvidenceThreshold at which comparisonsPerMonth
// comparisons of equally good versions raise at most falseAlarmsPerMonth false
// alarms a month in total. The number of comparisons is the number of steps per
// month multiplied by the sum of the number of VMs, the number of failure domains
// and 1 (the comparison over all VMs).
func EvidenceThresholdFor(falseAlarmsPerMonth, comparisonsPerMonth float64) float64 {
	return math.Log(metricCount * comparisonsPerMonth / falseAlarmsPerMonth)
}

// suspectEvidence is the evidence from which a version is suspect. An equally good
// version reaches it on a metric with a probability of at most one in twenty.
const suspectEvidence = 3

// Suspect returns the metric on which the new version looks worse, and whether
// there is one. The evidence is too weak to stop the version, but strong enough
// to hold the roll-out.
func Suspect(newCounts, oldCounts, baseline Counts, t Tolerance) (Metric, bool) {
	verdict := Compare(newCounts, oldCounts, baseline, t, suspectEvidence)
	return verdict.Metric, verdict.Bad
}
