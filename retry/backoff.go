package retry

import "time"

// Backoff is an exponential backoff with full jitter.
type Backoff struct {
	// Base is the upper limit of the first delay.
	Base time.Duration
	// Max is the upper limit of every delay.
	Max time.Duration
}

// maxDoublings limits how often Base is doubled, to avoid an overflow.
const maxDoublings = 30

// Delay returns the delay after the given number of failed attempts. draw is a
// random number, uniform in [0, 1).
func (b Backoff) Delay(failedAttempts int, draw float64) time.Duration {
	bound := b.Base << min(max(failedAttempts-1, 0), maxDoublings)
	if bound > b.Max || bound <= 0 {
		bound = b.Max
	}
	return time.Duration(draw * float64(bound))
}
