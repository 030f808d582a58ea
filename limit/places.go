package limit

import (
	"math"
	"time"
)

const (
	// usedShare is the share of an upstream's places that all VMs together use. The rest covers
	// requests that the VMs don't know of, such as those of a VM that has just been replaced.
	usedShare = 0.9
	// turnBreak is the time at the beginning of a turn in which nothing is sent: requests of the
	// turn before end.
	turnBreak = 200 * time.Millisecond
	// The VMs take short turns if a VM has no place at any upstream with more than the first
	// probability, long ones with more than the second, and none otherwise.
	shortTurn, shortTurnFrom = time.Second, 0.02
	longTurn, longTurnFrom   = 10 * time.Second, 0.0001
)

// Places divides the places of an upstream among the VMs, where all of them together must
// not send it more requests than it runs at once. A VM knows only its own requests, and
// what the upstream last reported.
//
// It answers a burst at many VMs at once, an upstream that has just started and whose load no
// VM knows, and prompts that all prefer the same upstream. Each VM has its own part of the
// places, whatever the others do: by a report they could divide what was free, but many act
// on reports of the same moment. Where a part is no whole number, some VMs have one place more,
// others at each upstream, and by turns if there are few places.
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
	case whole >= 1:
		return p.isAmong(share-whole, 0)
	}
	return p.hasTurn(share, now)
}

// hasTurn reports whether this VM is among the given share of the VMs that have the only
// place that they may have, now.
func (p Places) hasTurn(share float64, now time.Duration) bool {
	turn := p.turnLength(share)
	if turn == 0 {
		return p.isAmong(share, 0)
	}
	return now%turn >= turnBreak && p.isAmong(share, int(now/turn))
}

// isAmong reports whether this VM is among the given share of the VMs, which differ from one
// number to the next and among upstreams.
func (p Places) isAmong(share float64, number int) bool {
	vms := max(p.VMs, 1)
	chosen := int(share * float64(vms))
	return (p.Rank+(p.Offset+number)*max(chosen, 1))%vms < chosen
}

// turnLength returns how long a VM has the turn, where the given share of the VMs have a
// place at each upstream; zero if they take no turns.
func (p Places) turnLength(share float64) time.Duration {
	none := math.Pow(1-share, float64(p.Upstreams))
	switch {
	case none > shortTurnFrom:
		return shortTurn
	case none > longTurnFrom:
		return longTurn
	}
	return 0
}
