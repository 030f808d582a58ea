package limit

import (
	"math"
	"time"
)

const (
	// usedShare is the share of an upstream's places that all VMs together use. The rest covers
	// requests that the VMs don't know of, such as those of a VM that has just been replaced.
	usedShare = 0.9
	// turnLength is how long a VM has the turn for a place, if there are fewer places than VMs.
	turnLength = 500 * time.Millisecond
)

// Places divides the places of an upstream among the VMs, where all of them together must
// not send it more requests than it runs at once. A VM knows only its own requests, and
// what the upstream last reported.
//
// It answers a burst at many VMs at once, an upstream that has just started and whose load no
// VM knows, and prompts that all prefer the same upstream. Each VM has its own part of the
// places, whatever the others do: by a report they could divide what was free, but many act
// on reports of the same moment. Where a part is no whole number, some VMs have one place more,
// others at each upstream.
type Places struct {
	// Capacity is the number of requests that the upstream runs at once, and Upstreams the
	// number of upstreams like it.
	Capacity, Upstreams int
	// VMs is the number of VMs, and Rank the position of this one among them, from 0. Offset
	// differs among upstreams.
	VMs, Rank, Offset int
	// Reported tells whether there is a recent report. By it, Others requests of other VMs were
	// at the upstream.
	Reported bool
	Others   int
}

// Allow reports whether this VM, which has inFlight requests at the upstream, may send one
// more at a time on the shared clock.
func (p Places) Allow(inFlight int, now time.Duration) bool {
	usable := usedShare * float64(p.Capacity)
	if p.Reported && float64(p.Others+inFlight+1) > math.Ceil(usable) {
		return false
	}
	share := usable / float64(max(p.VMs, 1))
	whole := math.Floor(share)
	switch {
	case float64(inFlight) < whole:
		return true
	case float64(inFlight) >= whole+1:
		return false
	}
	return p.hasTurn(share-whole, now)
}

// hasTurn reports whether this VM is among the given share of the VMs that have one place
// more. If there are fewer places than VMs, they take turns.
func (p Places) hasTurn(share float64, now time.Duration) bool {
	vms := max(p.VMs, 1)
	more := int(share * float64(vms))
	position := p.Rank + p.Offset*max(more, 1)
	if usedShare*float64(p.Capacity*p.Upstreams) < float64(vms) {
		position += int(now/turnLength) * max(more, 1)
	}
	return position%vms < more
}
