package limit

import "time"

// bucket is a token bucket whose rate may change. Its level may fall below
// zero when work turns out larger than its estimate.
type bucket struct {
	level    float64
	rate     float64
	capacity float64
	at       time.Time
}

// set changes rate (tokens per second) and capacity. A bucket that was never
// set begins full.
func (b *bucket) set(rate, capacity float64, now time.Time) {
	if b.at.IsZero() {
		b.level, b.at = capacity, now
	}
	b.refill(now)
	b.rate, b.capacity = rate, capacity
	b.level = min(b.level, capacity)
}

func (b *bucket) refill(now time.Time) {
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.level = min(b.level+elapsed.Seconds()*b.rate, b.capacity)
		b.at = now
	}
}

// lacks returns how long to wait until n tokens may be taken; zero if they may
// be now. More than the capacity may be taken when the bucket is full.
func (b *bucket) lacks(n float64, now time.Time) time.Duration {
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

func (b *bucket) take(n float64) { b.level -= n }

// give returns n tokens, or takes them if n is negative.
func (b *bucket) give(n float64) { b.level = min(b.level+n, b.capacity) }
