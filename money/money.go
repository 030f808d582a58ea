// Package money represents amounts as integers in millionths of the
// environment's currency unit, so that sums are exact.
package money

// Micros is an amount in millionths of the currency unit.
type Micros int64

// PerMillion is a price in micros for one million tokens or bytes.
type PerMillion int64

const million = 1_000_000

// Cost returns the price of n tokens or bytes, rounded half up to a whole micro.
func (p PerMillion) Cost(n int64) Micros {
	return Micros((int64(p)*n + million/2) / million)
}
