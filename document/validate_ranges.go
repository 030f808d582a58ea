package document

import "github.com/poplarshore/poplarshore/money"

// Maximum values of numbers in a document. Sums and products of numbers up to these stay
// within the range of their types.
const (
	// maxPrice is the maximum price of a million tokens or bytes, in micros: one million
	// units of the currency.
	maxPrice money.PerMillion = 1_000_000_000_000
	// maxCapacity is the maximum number of requests that an upstream runs at once.
	maxCapacity = 1_000_000
	// maxRate is the maximum of a limit in requests or tokens per second.
	maxRate = 1_000_000_000_000
	// maxConcurrency is the maximum of a limit in requests in flight.
	maxConcurrency = 1_000_000_000
	// maxWeight is the maximum of a contract's weight.
	maxWeight = 1_000_000_000
)

// checkWithin reports a number that is not in [0, maximum].
func checkWithin[N int | int64 | float64 | money.PerMillion](v *validator, n, maximum N, at string) {
	switch {
	case n < 0:
		v.text.AddFault(at, "must not be negative")
	case n > maximum:
		v.text.AddFault(at, "must be at most %v", maximum)
	}
}
