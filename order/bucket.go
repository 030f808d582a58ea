package order

import "time"

// Bucket is the state of the token bucket that limits the rate of loads; each load
// consumes one token. The zero Bucket is empty and starts to fill on first use.
type Bucket struct {
	// Tokens is the level at UpdatedAt.
	Tokens    float64
	UpdatedAt time.Time
}

// refill returns the bucket as of now.
func (b Bucket) refill(now time.Time, policy Policy) Bucket {
	if b.UpdatedAt.IsZero() {
		return Bucket{UpdatedAt: now}
	}
	added := max(0, now.Sub(b.UpdatedAt).Seconds()) * policy.LoadsPerSecond
	return Bucket{Tokens: min(b.Tokens+added, policy.LoadBurst), UpdatedAt: now}
}

// consume consumes a token. It returns false if there is none.
func (b *Bucket) consume() bool {
	if b.Tokens < 1 {
		return false
	}
	b.Tokens--
	return true
}
