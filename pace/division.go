package pace

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/poplarshore/poplarshore/upstream"
)

const (
	// minKnownWeight is the weight, in gaps, from which the speed of an upstream counts as
	// known.
	minKnownWeight = 8
	// enterKnown and stayKnown are the shares of upstreams, 0 to 1, whose speed must be known to
	// begin, and to go on, dividing them by speed.
	enterKnown, stayKnown = 0.75, 0.5
	// enterRatio and stayRatio are the least ratios between the median factors of both parts to
	// begin, and to go on, dividing the upstreams by speed.
	enterRatio, stayRatio = 1.4, 1.15
	// maxShareFactor is the largest part of slow upstreams as a multiple of the wanted share.
	maxShareFactor = 2
	// incumbentBonus is the ratio by which another upstream must be slower than a member to take
	// its place, so that the parts don't change with each sample.
	incumbentBonus = 1.25
)

// Speed is what is known of the speed of an upstream.
type Speed struct {
	Upstream upstream.ID
	// Factor is how much longer than usual it takes, and Weight the number of gaps by which
	// that is known.
	Factor, Weight float64
}

// Division divides upstreams by speed: the slow ones for small models and the others, but for some
// extra ones, for large ones. The zero value divides none. It is not safe for concurrent use.
type Division struct {
	// Slow holds the slow upstreams; empty while the upstreams don't differ clearly, or too
	// little is known of them.
	Slow map[upstream.ID]bool
	// Extra is the number of other upstreams that belong to the part of the small models as
	// well, so that this has the wanted share of the speed of all. It changes with Slow only.
	Extra int
}

// Update divides the upstreams anew, with about the given share of slow ones: from half of it
// to twice as many. It sorts speeds.
func (d *Division) Update(speeds []Speed, share float64) {
	active := len(d.Slow) > 0
	known := 0
	for i := range speeds {
		if speeds[i].Weight >= minKnownWeight {
			known++
		} else {
			speeds[i].Factor = 1
		}
	}
	n := int(float64(len(speeds)) * share)
	needKnown, needRatio := enterKnown, enterRatio
	if active {
		needKnown, needRatio = stayKnown, stayRatio
	}
	if n == 0 || float64(known) < needKnown*float64(len(speeds)) {
		d.Slow = nil
		return
	}
	slices.SortFunc(speeds, func(a, b Speed) int {
		return cmp.Or(-cmp.Compare(d.rank(a), d.rank(b)), cmp.Compare(a.Upstream, b.Upstream))
	})
	n = d.widestStep(speeds, max(n/2, 1), min(maxShareFactor*n, len(speeds)-1))
	if n == 0 || medianFactor(speeds[:n]) < needRatio*medianFactor(speeds[n:]) {
		d.Slow = nil
		return
	}
	slow := make(map[upstream.ID]bool, n)
	for _, s := range speeds[:n] {
		slow[s.Upstream] = true
	}
	if !maps.Equal(d.Slow, slow) {
		d.Slow, d.Extra = slow, extra(speeds, n, share)
	}
}

// extra returns how many of the upstreams after the first n are needed for the share of the speed
// of all.
func extra(speeds []Speed, n int, share float64) int {
	slowSpeed := float64(n) / medianFactor(speeds[:n])
	fastSpeed := 1 / medianFactor(speeds[n:])
	missing := share*(slowSpeed+fastSpeed*float64(len(speeds)-n)) - slowSpeed
	return max(int(math.Round(missing/fastSpeed)), 0)
}

// widestStep returns the number of upstreams, from least to most, before the widest step of the
// sorted speeds: VMs that measure a little differently then find the same parts. It is 0 if most is
// below least.
func (d *Division) widestStep(speeds []Speed, least, most int) int {
	best, widest := 0, 0.0
	for n := least; n <= most; n++ {
		if step := d.rank(speeds[n-1]) / d.rank(speeds[n]); step > widest {
			best, widest = n, step
		}
	}
	return best
}

// rank returns the factor by which an upstream is ordered.
func (d *Division) rank(s Speed) float64 {
	if d.Slow[s.Upstream] {
		return s.Factor * incumbentBonus
	}
	return s.Factor
}

// medianFactor returns the median factor; 1 for none.
func medianFactor(speeds []Speed) float64 {
	if len(speeds) == 0 {
		return 1
	}
	factors := make([]float64, len(speeds))
	for i, s := range speeds {
		factors[i] = s.Factor
	}
	slices.Sort(factors)
	return factors[len(factors)/2]
}
