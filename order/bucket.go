package order

import "time"

// Bucket is a token bucket as a value; each load takes one token. The zero
// Bucket is empty and fills from the first use.
type Bucket struct {
	Tokens float64
	At     time.Time
}

// refill returns the bucket at the time now.
func (b Bucket) refill(now time.Time, p Policy) Bucket {
	if b.At.IsZero() {
		return Bucket{At: now}
	}
	earned := max(0, now.Sub(b.At).Seconds()) * p.LoadsPerSecond
	return Bucket{Tokens: min(b.Tokens+earned, p.LoadBurst), At: now}
}

// take takes a token and reports whether there was one.
func (b *Bucket) take() bool {
	if b.Tokens < 1 {
		return false
	}
	b.Tokens--
	return true
}
