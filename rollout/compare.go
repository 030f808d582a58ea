package rollout

import "math"

// Metric names what a version is judged by.
type Metric string

// The metrics.
const (
	MetricErrors Metric = "errors"
	MetricSlow   Metric = "slow"
	MetricLow    Metric = "low_ratings"
	MetricRating Metric = "mean_rating"
)

// Tolerance is how much worse the new version may be, as differences of shares
// or of mean ratings.
type Tolerance struct {
	Errors float64
	Slow   float64
	Low    float64
	Rating float64
}

// DefaultTolerance is applied where options give none.
var DefaultTolerance = Tolerance{Errors: 0.002, Slow: 0.01, Low: 0.01, Rating: 0.01}

// Verdict is the result of a comparison.
type Verdict struct {
	// Bad says that a version is worse than tolerated.
	Bad bool `json:"bad"`
	// Metric is what shows it.
	Metric Metric `json:"metric,omitempty"`
	// Seen and Reference are the means of the metric for the version and for
	// what it is compared with.
	Seen      float64 `json:"seen,omitempty"`
	Reference float64 `json:"reference,omitempty"`
}

// series is one metric of one version: higher is worse.
type series struct {
	metric    Metric
	sum       float64
	n         int64
	tolerance float64
}

func (c Counts) series(t Tolerance) [4]series {
	return [4]series{
		{MetricErrors, float64(c.Errors), c.Requests, t.Errors},
		{MetricSlow, float64(c.Slow), c.Requests, t.Slow},
		{MetricLow, float64(c.Low), c.Rated, t.Low},
		{MetricRating, float64(c.Rated) - c.RatingSum, c.Rated, t.Rating},
	}
}

func (s series) mean() float64 {
	if s.n == 0 {
		return 0
	}
	return s.sum / float64(s.n)
}

// Compare tells whether the new version is worse than the old one. The counts
// must be of the same time and place. The probability that an equally good
// version is ever found bad on a metric is at most exp(-evidence), however often
// Compare is called on growing counts.
//
// The baseline is what was known of the old version before the counts began, and
// may be empty; it makes the test sharper where it agrees with them and does not
// touch the probability.
func Compare(fresh, old, baseline Counts, t Tolerance, evidence float64) Verdict {
	olds, before := old.series(t), baseline.series(t)
	for i, f := range fresh.series(t) {
		o := olds[i]
		if o.n == 0 || f.mean() <= o.mean()+f.tolerance {
			continue
		}
		if against(f, o, before[i]) >= evidence {
			return Verdict{Bad: true, Metric: f.metric, Seen: f.mean(), Reference: o.mean()}
		}
	}
	return Verdict{}
}

// against returns the evidence against the hypothesis that the new version's
// mean is at most that of the old one and the tolerance. For any pair of true
// means the product of both versions' mixture likelihood ratios is a martingale
// that starts at 1; the least product over all pairs of the hypothesis is
// therefore an e-process (Ville's inequality bounds its chance of ever being
// large). Its logarithm is convex in the old version's mean, which lies between
// what both versions show.
func against(fresh, old, before series) float64 {
	f := newMixture(fresh.sum, fresh.n, 0, 0)
	o := newMixture(old.sum, old.n, before.mean(), float64(min(before.n, maxBaseline)))
	low, high := old.mean(), fresh.mean()-fresh.tolerance
	return least(low, high, func(mean float64) float64 {
		return f.logRatio(mean+fresh.tolerance) + o.logRatio(mean)
	})
}

// maxBaseline is the number of values that a baseline counts for at most, as
// traffic changes.
const maxBaseline = 500

// least returns the least value of a convex function between low and high, by
// golden-section search.
func least(low, high float64, f func(float64) float64) float64 {
	const ratio = 0.6180339887498949
	a, b := high-ratio*(high-low), low+ratio*(high-low)
	fa, fb := f(a), f(b)
	for range sections {
		if fa < fb {
			high, b, fb = b, a, fa
			a = high - ratio*(high-low)
			fa = f(a)
		} else {
			low, a, fa = a, b, fb
			b = low + ratio*(high-low)
			fb = f(b)
		}
	}
	return min(fa, fb)
}

// sections narrow the search to 1e-6 of its width.
const sections = 28

// EvidenceFor returns the Evidence at which comparisons of equally good versions
// a month raise at most falseStops false alarms a month together. The number of
// comparisons is that of steps a month times that of VMs, failure domains and
// one for the whole.
func EvidenceFor(falseStops, comparisons float64) float64 {
	return math.Log(metrics * comparisons / falseStops)
}

// suspicion is the evidence, a chance of one in twenty, from which a version is
// suspect.
const suspicion = 3

// Suspect returns the metric on which the new version looks worse, on evidence
// that is no ground to stop, but one not to go on.
func Suspect(fresh, old, baseline Counts, t Tolerance) (Metric, bool) {
	verdict := Compare(fresh, old, baseline, t, suspicion)
	return verdict.Metric, verdict.Bad
}
