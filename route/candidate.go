package route

import (
	"time"

	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/money"
	"github.com/poplarshore/poplarshore/upstream"
)

// Load is an upstream's own report of its load. It counts the work of every
// sender, also of an older router.
type Load struct {
	Running  int
	Waiting  int
	Capacity int
	// KVUsed is the used part of the KV cache, 0 to 1.
	KVUsed float64
	// Draining tells that the upstream takes no new work.
	Draining bool
}

// Candidate is one upstream as this VM sees it at the time of a decision.
type Candidate struct {
	Upstream *upstream.Upstream
	Ref      model.Ref
	// LinkLatency is the one-way latency to the upstream's region.
	LinkLatency time.Duration
	// PricePerMB is the price in micros of one million bytes on that link.
	PricePerMB money.PerMillion
	// Capacity is the number of requests that run at once; zero is unknown.
	Capacity int
	// InFlight counts this VM's own requests on the upstream.
	InFlight int
	// Recent counts own requests in flight which began after the report.
	Recent int
	// Others counts the requests of other senders by the last report.
	Others int
	// ReportAge is the age of the last report; negative without any report.
	ReportAge time.Duration
	// FirstToken is the smoothed time to the first token, without link and
	// prefill; zero is unknown.
	FirstToken time.Duration
	// Hold is the smoothed time that a request occupies the upstream; zero
	// is unknown.
	Hold time.Duration
	// Loaded tells that the version is in the engine's memory.
	Loaded bool
	// Leaving tells that the upstream gets no new work.
	Leaving bool
	// Open tells that a circuit breaker refuses the upstream.
	Open bool
	// Blocks is the number of the prompt's leading blocks believed cached.
	Blocks int
}

// Source holds the candidates for one version or service. Its order is fixed
// while a decision is made.
type Source interface {
	// Len returns the number of candidates.
	Len() int
	// Fill writes candidate i, all but Blocks.
	Fill(i int, c *Candidate)
	// Find returns the index of an upstream.
	Find(id upstream.ID) (int, bool)
}

// Slice is a Source over a slice.
type Slice []Candidate

// Len implements Source.
func (s Slice) Len() int { return len(s) }

// Fill implements Source.
func (s Slice) Fill(i int, c *Candidate) { *c = s[i] }

// Find implements Source by a linear search.
func (s Slice) Find(id upstream.ID) (int, bool) {
	for i := range s {
		if s[i].Upstream.ID == id {
			return i, true
		}
	}
	return 0, false
}
