package route

// Reason is why a filter refused a candidate.
type Reason uint8

// The reasons, in the order in which filters run.
const (
	// NotAllowed: the upstream serves none of the request's versions.
	NotAllowed Reason = iota
	// Tried: an attempt of this request has already failed on the upstream.
	Tried
	// Leaving: the upstream gets no new work.
	Leaving
	// Paused: the upstream asked this VM to send it nothing for a while.
	Paused
	// OverLimit: this VM has used its part of the requests that the upstream takes.
	OverLimit
	// BreakerOpen: a circuit breaker refuses requests to the upstream.
	BreakerOpen
	// Full: the upstream's requests have reached the bound of FullFilter.
	Full
	// NoPlace: this VM has used its part of the places of an upstream that must not be filled.
	NoPlace
	// OutsideRegions: the upstream is in none of the regions in which the request may be served.
	OutsideRegions
	// Evacuated: the upstream's failure domain is evacuated.
	Evacuated
	// Cold: the upstream is cold and this VM has no grant for a request to it now.
	Cold
	// ReasonCount is the number of reasons.
	ReasonCount
)

var reasonNames = [ReasonCount]string{
	"not_allowed", "tried", "leaving", "paused", "over_limit", "breaker_open", "full", "no_place",
	"outside_regions", "evacuated", "cold",
}

// String returns the label of the reason in metrics.
func (r Reason) String() string { return reasonNames[r] }

// RefusalCounts counts refused candidates by reason.
type RefusalCounts [ReasonCount]int

// Filter refuses candidates for one reason.
type Filter interface {
	// Reason returns the reason for which the filter refuses candidates.
	Reason() Reason
	// Pass reports whether the request may be sent to the candidate.
	Pass(r *Request, c *Candidate) bool
}

// AllowedFilter passes upstreams that serve one of the request's versions, or the
// request's plain service.
type AllowedFilter struct{}

// Reason implements Filter.
func (AllowedFilter) Reason() Reason { return NotAllowed }

// Pass implements Filter.
func (AllowedFilter) Pass(r *Request, c *Candidate) bool {
	if r.Service != "" {
		return c.Upstream.Service == r.Service
	}
	return r.allows(c.Ref)
}

// TriedFilter passes upstreams on which no attempt of this request has failed.
type TriedFilter struct{}

// Reason implements Filter.
func (TriedFilter) Reason() Reason { return Tried }

// Pass implements Filter.
func (TriedFilter) Pass(r *Request, c *Candidate) bool {
	return len(r.Tried) == 0 || !r.hasTried(c.Upstream.ID)
}

// LeavingFilter passes upstreams that are not leaving.
type LeavingFilter struct{}

// Reason implements Filter.
func (LeavingFilter) Reason() Reason { return Leaving }

// Pass implements Filter.
func (LeavingFilter) Pass(_ *Request, c *Candidate) bool { return !c.Leaving }

// PausedFilter passes upstreams that have not asked this VM to send them nothing for a
// while.
type PausedFilter struct{}

// Reason implements Filter.
func (PausedFilter) Reason() Reason { return Paused }

// Pass implements Filter.
func (PausedFilter) Pass(_ *Request, c *Candidate) bool { return !c.Paused }

// LimitFilter passes upstreams of whose limit this VM has not used its part.
type LimitFilter struct{}

// Reason implements Filter.
func (LimitFilter) Reason() Reason { return OverLimit }

// Pass implements Filter.
func (LimitFilter) Pass(_ *Request, c *Candidate) bool { return !c.OverLimit }

// PlaceFilter passes upstreams that may be filled, or of whose places this VM has not used
// its part.
type PlaceFilter struct{}

// Reason implements Filter.
func (PlaceFilter) Reason() Reason { return NoPlace }

// Pass implements Filter.
func (PlaceFilter) Pass(_ *Request, c *Candidate) bool { return !c.NoPlace }

// ColdFilter passes upstreams that are not cold, or for which this VM has a grant.
type ColdFilter struct{}

// Reason implements Filter.
func (ColdFilter) Reason() Reason { return Cold }

// Pass implements Filter.
func (ColdFilter) Pass(_ *Request, c *Candidate) bool { return !c.Cold }

// BreakerFilter passes upstreams to which no circuit breaker refuses requests.
type BreakerFilter struct{}

// Reason implements Filter.
func (BreakerFilter) Reason() Reason { return BreakerOpen }

// Pass implements Filter.
func (BreakerFilter) Pass(_ *Request, c *Candidate) bool { return !c.BreakerOpen }

// RegionFilter passes upstreams in the regions in which the request may be served. An upstream
// whose region is unknown is in none of them.
type RegionFilter struct{}

// Reason implements Filter.
func (RegionFilter) Reason() Reason { return OutsideRegions }

// Pass implements Filter.
func (RegionFilter) Pass(r *Request, c *Candidate) bool { return r.Regions.Contains(c.Region) }

// EvacuatedFilter passes upstreams whose failure domain is not evacuated.
type EvacuatedFilter struct{}

// Reason implements Filter.
func (EvacuatedFilter) Reason() Reason { return Evacuated }

// Pass implements Filter.
func (EvacuatedFilter) Pass(_ *Request, c *Candidate) bool { return !c.Evacuated }

// FullFilter passes upstreams with fewer than QueueFactor × capacity requests.
// Requests without a raised priority may use only a share of that. Upstreams of
// unknown capacity pass.
type FullFilter struct {
	// QueueFactor is the bound on running and queued requests, as a multiple of
	// the capacity.
	QueueFactor float64
	// OrdinaryShare is the fraction of the bound, 0 to 1, that is open to requests
	// of priority zero or below.
	OrdinaryShare float64
}

// Reason implements Filter.
func (FullFilter) Reason() Reason { return Full }

// Pass implements Filter.
func (f FullFilter) Pass(r *Request, c *Candidate) bool {
	if c.Capacity == 0 {
		return true
	}
	bound := f.QueueFactor * float64(c.Capacity)
	if r.Priority <= 0 {
		bound *= f.OrdinaryShare
	}
	return float64(c.Requests()) < bound
}
