package retry

import "time"

const (
	// startSpans is the number of spans after the start in which a VM has no share: what the process before it took is
	// not known, and other VMs may not know of this one yet.
	startSpans = 1.5
	// startSlack is what a VM may take meanwhile. With the ratio, it suffices for one repeat of a single request.
	startSlack = 0.2
)

// FleetShare is the share of one VM in what all VMs of a fleet may take together in any span of time. The shares add up to
// at most the whole, and startSlack for each start, also while VMs know a part of the others only. It is safe for concurrent
// use.
type FleetShare struct {
	size *FleetSize
	// sharedFrom is when the VM has a share.
	sharedFrom time.Time
}

// NewFleetShare returns the share of a VM that started at the given time, in what is taken in any time of length span.
func NewFleetShare(size *FleetSize, span time.Duration, startedAt time.Time) *FleetShare {
	return &FleetShare{size: size, sharedFrom: startedAt.Add(time.Duration(startSpans * float64(span)))}
}

// Of returns what this VM may take of a whole. That is little for some time after the start, and while no VMs were
// counted.
func (s *FleetShare) Of(whole float64, now time.Time) float64 {
	vms := s.size.VMs()
	share := whole / float64(max(vms, 1))
	if vms == 0 || now.Before(s.sharedFrom) {
		return min(share, startSlack)
	}
	return share
}
