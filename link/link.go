// Package link describes the network links between regions: their one-way latency
// and the price of traffic.
package link

import (
	"time"

	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/money"
)

// MaxLatencyMS is the maximum of Link.LatencyMS, one hour. Latency treats higher values as
// this one.
const MaxLatencyMS = 60 * 60 * 1000

// Link is a network link between two regions, with the same latency and price in
// both directions.
type Link struct {
	From domain.Region `json:"from"`
	To   domain.Region `json:"to"`
	// LatencyMS is the one-way latency in milliseconds.
	LatencyMS float64 `json:"latency_ms"`
	// PricePerMB is the price of one million bytes, in micros.
	PricePerMB money.PerMillion `json:"price_per_mb"`
}

// Latency returns the one-way latency.
func (l Link) Latency() time.Duration {
	return time.Duration(min(max(l.LatencyMS, 0), MaxLatencyMS) * float64(time.Millisecond))
}

// Map is an index of links by pair of regions, in both orders.
type Map map[[2]domain.Region]Link

// NewMap returns the index of the links. For duplicate pairs the last one counts.
func NewMap(links []Link) Map {
	m := make(Map, 2*len(links))
	for _, l := range links {
		m[[2]domain.Region{l.From, l.To}] = l
		m[[2]domain.Region{l.To, l.From}] = l
	}
	return m
}

// Between returns the link between two regions. Within one region, and between
// regions without a declared link, it is the zero Link.
func (m Map) Between(a, b domain.Region) Link {
	return m[[2]domain.Region{a, b}]
}
