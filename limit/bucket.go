package limit

import "time"

// bucket is a token bucket with an adjustable rate. Its level drops below zero
// when a request uses more tokens than estimated.
type bucket struct {
	level      float64 // tokens
	rate       float64 // tokens per second
	capacity   float64 // tokens
	refilledAt time.Time
}

// setRate sets the rate in tokens per second and the capacity in tokens. A new
// bucket starts full.
func (b *bucket) setRate(rate, capacity float64, now time.Time) {
	if b.refilledAt.IsZero() {
		b.level, b.refilledAt = capacity, now
	}
	b.refill(now)
	b.rate, b.capacity = rate, capacity
	b.level = min(b.level, capacity)
}

func (b *bucket) refill(now time.Time) {
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.level = min(b.level+elapsed.Seconds()*b.rate, b.capacity)
		b.refilledAt = now
	}
}

// waitFor returns the time until n tokens may be deducted, zero if they may be now
// and at most maxRetryAfter. A full bucket admits requests above its capacity.
func (b *bucket) waitFor(n float64, now time.Time) time.Duration {
	b.refill(now)
	missing := min(n, b.capacity) - b.level
	if missing <= 0 {
		return 0
	}
	if b.rate <= 0 {
		return maxRetryAfter
	}
	return min(time.Duration(missing/b.rate*float64(time.Second))+1, maxRetryAfter)
}

func (b *bucket) deduct(n float64) { b.level -= n }

// credit adds n tokens up to the capacity; a negative n deducts.
func (b *bucket) credit(n float64) { b.level = min(b.level+n, b.capacity) }
