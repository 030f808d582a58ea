package rollout

import "github.com/poplarshore/poplarshore/model"

// Counts is what was seen of one version. Counts of several VMs or times are
// added.
type Counts struct {
	// Requests is the number of ended attempts.
	Requests int64 `json:"requests"`
	// Errors is the number of attempts that failed by the upstream's fault.
	Errors int64 `json:"errors,omitempty"`
	// Slow is the number of attempts that took longer than the limit.
	Slow int64 `json:"slow,omitempty"`
	// Rated is the number of answers with a rating.
	Rated int64 `json:"rated,omitempty"`
	// Low is the number of ratings below the least that is acceptable.
	Low int64 `json:"low,omitempty"`
	// RatingSum is the sum of the ratings, each 0 to 1.
	RatingSum float64 `json:"rating_sum,omitempty"`
}

// Add returns the sum of both.
func (c Counts) Add(o Counts) Counts {
	return Counts{
		Requests:  c.Requests + o.Requests,
		Errors:    c.Errors + o.Errors,
		Slow:      c.Slow + o.Slow,
		Rated:     c.Rated + o.Rated,
		Low:       c.Low + o.Low,
		RatingSum: c.RatingSum + o.RatingSum,
	}
}

// Sub returns what was added since o.
func (c Counts) Sub(o Counts) Counts {
	return Counts{
		Requests:  c.Requests - o.Requests,
		Errors:    c.Errors - o.Errors,
		Slow:      c.Slow - o.Slow,
		Rated:     c.Rated - o.Rated,
		Low:       c.Low - o.Low,
		RatingSum: c.RatingSum - o.RatingSum,
	}
}

// less tells whether any count is smaller than that of o.
func (c Counts) less(o Counts) bool {
	d := c.Sub(o)
	return min(d.Requests, d.Errors, d.Slow, d.Rated, d.Low) < 0 || d.RatingSum < 0
}

// MeanRating returns the mean rating, or 0 where there is none.
func (c Counts) MeanRating() float64 {
	if c.Rated == 0 {
		return 0
	}
	return c.RatingSum / float64(c.Rated)
}

// Evidence holds the counts of each version.
type Evidence map[model.VersionID]Counts

// Merge adds the counts of o.
func (e Evidence) Merge(o Evidence) {
	for version, counts := range o {
		e[version] = e[version].Add(counts)
	}
}
