// Package quarantines keeps requests that crash upstreams away from them, on one VM.
//
// A Guard follows the attempts in flight on each upstream. When an upstream ends, it tells
// the other VMs which requests it ran there, and they tell it theirs, so that each VM has
// the evidence of all; package quarantine decides on it. Evidence travels as hints between
// VMs, which may be lost. What was found is also kept in a row of the store, which VMs
// that start, or were cut off, read before they serve.
package quarantines
