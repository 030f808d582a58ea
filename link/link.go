// Package link describes the network links between regions: their one-way
// latency and the price of the traffic that crosses them.
package link

import (
	"time"

	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/money"
)

// Link joins two regions; it is the same in both directions.
type Link struct {
	From domain.Region `json:"from"`
	To   domain.Region `json:"to"`
	// LatencyMS is the one-way latency in milliseconds.
	LatencyMS float64 `json:"latency_ms"`
	// PricePerMB is the price in micros for one million bytes.
	PricePerMB money.PerMillion `json:"price_per_mb"`
}

// Latency returns the one-way latency.
func (l Link) Latency() time.Duration {
	return time.Duration(l.LatencyMS * float64(time.Millisecond))
}

// Map finds the link between two regions.
type Map map[[2]domain.Region]Link

// NewMap indexes links in both directions.
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
