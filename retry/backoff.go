package retry

import "time"

// Backoff is an exponential backoff with full jitter.
type Backoff struct {
	// Base is the bound of the first wait.
	Base time.Duration
	// Max bounds every wait.
	Max time.Duration
}

const maxDoublings = 30

// After returns the wait before attempt number failed+1; draw is uniform in [0, 1).
func (b Backoff) After(failed int, draw float64) time.Duration {
	bound := b.Base << min(max(failed-1, 0), maxDoublings)
	if bound > b.Max || bound <= 0 {
		bound = b.Max
	}
	return time.Duration(draw * float64(bound))
}
