package route

import (
	"time"

	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/money"
	"github.com/poplarshore/poplarshore/upstream"
)

// Load is the load that an upstream reports. It counts the requests of all
// senders, including those of an older router.
type Load struct {
	// Running is the number of requests being processed.
	Running int
	// Waiting is the number of queued requests.
	Waiting int
	// Capacity is the number of requests that run at once; zero means unknown.
	Capacity int
	// KVUsed is the fraction of the KV cache in use, 0 to 1.
	KVUsed float64
	// Draining reports that the upstream accepts no new work.
	Draining bool
	// Slowdown is how much longer than usual work takes on the upstream's machine at the moment
	// of the report: 1 as usual, 0 if unknown.
	Slowdown float64
}

// Candidate is the state of one upstream, as known to this VM, at the time of a
// decision.
type Candidate struct {
	Upstream *upstream.Upstream
	Ref      model.Ref
	// Region is the region of the upstream's failure domain; empty if unknown.
	Region domain.Region
	// LinkLatency is the one-way latency to the upstream's region.
	LinkLatency time.Duration
	// PricePerMB is the price of one million bytes on that link, in micros.
	PricePerMB money.PerMillion
	// Capacity is the number of requests that run at once; zero means unknown.
	Capacity int
	// InFlight counts the requests that this VM has in flight on the upstream.
	InFlight int
	// InFlightSinceReport is the change of InFlight since the last report was
	// taken; equal to InFlight without a report.
	InFlightSinceReport int
	// RemoteInFlight is the number of running and waiting requests of other senders
	// according to the last report.
	RemoteInFlight int
	// ReportAge is the age of the last report; negative if there is none.
	ReportAge time.Duration
	// FirstToken is the moving average of the time to first token, without link
	// latency and prefill; zero means unknown.
	FirstToken time.Duration
	// RequestDuration is the moving average of the time from the start to the end
	// of a request; zero means unknown.
	RequestDuration time.Duration
	// Loaded reports that the version is in the engine's memory.
	Loaded bool
	// Leaving reports that the upstream gets no new work.
	Leaving bool
	// Evacuated reports that operators evacuated the upstream's failure domain.
	Evacuated bool
	// Paused reports that the upstream asked this VM to send it nothing for a while.
	Paused bool
	// OverLimit reports that the upstream limits the requests of all VMs, and that this VM has
	// used its part of them.
	OverLimit bool
	// NoPlace reports that the upstream must not be filled, and that this VM has used its part
	// of the places.
	NoPlace bool
	// Cold reports that the upstream is cold and that this VM may send it no request now.
	Cold bool
	// BreakerOpen reports that a circuit breaker refuses requests to the upstream.
	BreakerOpen bool
	// EventGap is the expected time between two events of the answer on the upstream,
	// AnswerTime the expected time from its first event to its last, and AnswerEnd the time
	// from now to its expected end; zero means unknown.
	EventGap, AnswerTime, AnswerEnd time.Duration
	// MemoryUse is the part of the upstream's memory that is used with the request, by what
	// this VM knows, 1 if it is full; zero means unknown.
	MemoryUse float64
	// CachedBlocks is the number of leading prompt blocks that are probably in
	// the upstream's prefix cache.
	CachedBlocks int
}

// Source lists the candidates for one version or service. The order of the
// candidates must not change during a decision.
type Source interface {
	// Len returns the number of candidates.
	Len() int
	// Fill sets all fields of c except CachedBlocks to those of candidate i.
	Fill(i int, c *Candidate)
	// Find returns the index of an upstream, or false if it is not a candidate.
	Find(id upstream.ID) (int, bool)
}

// Slice is a Source backed by a slice.
type Slice []Candidate

// Len implements Source.
func (s Slice) Len() int { return len(s) }

// Fill implements Source.
func (s Slice) Fill(i int, c *Candidate) { *c = s[i] }

// Find implements Source with a linear search.
func (s Slice) Find(id upstream.ID) (int, bool) {
	for i := range s {
		if s[i].Upstream.ID == id {
			return i, true
		}
	}
	return 0, false
}
