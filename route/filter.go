package route

// Reason tells why a filter refused a candidate.
type Reason uint8

// The reasons, in the order in which filters run.
const (
	// NotAllowed: the upstream serves none of the request's versions.
	NotAllowed Reason = iota
	// Tried: the upstream has failed this request.
	Tried
	// Leaving: the upstream gets no new work.
	Leaving
	// BreakerOpen: a circuit breaker refuses the upstream.
	BreakerOpen
	// Full: the upstream's queue is longer than the bound.
	Full
	// ReasonCount is the number of reasons.
	ReasonCount
)

var reasonNames = [ReasonCount]string{
	"not_allowed", "tried", "leaving", "breaker_open", "full",
}

// String returns the reason's label in metrics.
func (r Reason) String() string { return reasonNames[r] }

// Refused counts refused candidates by reason.
type Refused [ReasonCount]int

// Filter refuses candidates for one reason.
type Filter interface {
	Reason() Reason
	Pass(r *Request, c *Candidate) bool
}

// AllowedFilter passes upstreams that serve an allowed version, or the service.
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

// TriedFilter passes upstreams that have not failed this request.
type TriedFilter struct{}

// Reason implements Filter.
func (TriedFilter) Reason() Reason { return Tried }

// Pass implements Filter.
func (TriedFilter) Pass(r *Request, c *Candidate) bool {
	return len(r.Tried) == 0 || !r.tried(c.Upstream.ID)
}

// LeavingFilter passes upstreams that stay.
type LeavingFilter struct{}

// Reason implements Filter.
func (LeavingFilter) Reason() Reason { return Leaving }

// Pass implements Filter.
func (LeavingFilter) Pass(_ *Request, c *Candidate) bool { return !c.Leaving }

// BreakerFilter passes upstreams that no circuit breaker refuses.
type BreakerFilter struct{}

// Reason implements Filter.
func (BreakerFilter) Reason() Reason { return BreakerOpen }

// Pass implements Filter.
func (BreakerFilter) Pass(_ *Request, c *Candidate) bool { return !c.Open }

// FullFilter passes upstreams with fewer than Factor × capacity requests. Requests
// without a raised priority may only use the part Ordinary of that.
type FullFilter struct {
	Factor   float64
	Ordinary float64
}

// Reason implements Filter.
func (FullFilter) Reason() Reason { return Full }

// Pass implements Filter.
func (f FullFilter) Pass(r *Request, c *Candidate) bool {
	if c.Capacity == 0 {
		return true
	}
	bound := f.Factor * float64(c.Capacity)
	if r.Priority <= 0 {
		bound *= f.Ordinary
	}
	return float64(c.Requests()) < bound
}
