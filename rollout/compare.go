package rollout

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
var DefaultTolerance = Tolerance{Errors: 0.005, Slow: 0.02, Low: 0.02, Rating: 0.02}

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
func Compare(fresh, old Counts, t Tolerance, evidence float64) Verdict {
	olds := old.series(t)
	for i, f := range fresh.series(t) {
		o := olds[i]
		if f.mean() <= o.mean()+f.tolerance {
			continue
		}
		// Each of the two intervals may miss with half the probability.
		low := intervalOf(f.sum, f.n, evidence+ln2).low
		high := intervalOf(o.sum, o.n, evidence+ln2).high
		if low > high+f.tolerance {
			return Verdict{Bad: true, Metric: f.metric, Seen: f.mean(), Reference: o.mean()}
		}
	}
	return Verdict{}
}

const ln2 = 0.6931471805599453

// Worse tells whether the mean of any metric is worse than tolerated, whatever
// the evidence. It is no ground to stop, but one not to go on.
func Worse(fresh, old Counts, t Tolerance) (Metric, bool) {
	olds := old.series(t)
	for i, f := range fresh.series(t) {
		if f.n > 0 && f.mean() > olds[i].mean()+f.tolerance {
			return f.metric, true
		}
	}
	return "", false
}
