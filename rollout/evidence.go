package rollout

import "github.com/poplarshore/poplarshore/model"

// Counts holds the results observed for one version. Counts of several VMs or
// periods are added.
type Counts struct {
	// Requests is the number of attempts that have ended.
	Requests int64 `json:"requests"`
	// Errors is the number of attempts that failed because of the upstream.
	Errors int64 `json:"errors,omitempty"`
	// Slow is the number of attempts whose latency exceeded the limit.
	Slow int64 `json:"slow,omitempty"`
	// Rated is the number of answers with a rating.
	Rated int64 `json:"rated,omitempty"`
	// Low is the number of ratings below the acceptable minimum.
	Low int64 `json:"low,omitempty"`
	// RatingSum is the sum of the ratings, each 0 to 1.
	RatingSum float64 `json:"rating_sum,omitempty"`
}

// maxCount is the highest valid count in a row. The sum of all VMs' counts up to it stays
// within the range of int64.
const maxCount = 1 << 40

// valid reports whether each count is one that a VM may have counted.
func (c Counts) valid() bool {
	for _, n := range []int64{c.Requests, c.Errors, c.Slow, c.Rated, c.Low} {
		if n < 0 || n > maxCount {
			return false
		}
	}
	return c.RatingSum >= 0 && c.RatingSum <= maxCount
}

// Add returns the sum of c and o.
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

// Sub returns c minus o, the counts added since o.
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

// anyLess reports whether any count of c is smaller than the same count of o.
func (c Counts) anyLess(o Counts) bool {
	d := c.Sub(o)
	return min(d.Requests, d.Errors, d.Slow, d.Rated, d.Low) < 0 || d.RatingSum < 0
}

// MeanRating returns the mean rating, or 0 if there are no ratings.
func (c Counts) MeanRating() float64 {
	if c.Rated == 0 {
		return 0
	}
	return c.RatingSum / float64(c.Rated)
}

// Evidence holds the counts of each version.
type Evidence map[model.VersionID]Counts

// Merge adds the counts of o to e.
func (e Evidence) Merge(o Evidence) {
	for version, counts := range o {
		e[version] = e[version].Add(counts)
	}
}
