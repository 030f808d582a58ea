package shifts

import (
	"math"
	"math/bits"

	"github.com/poplarshore/poplarshore/rollout"
)

const (
	// slowFactor is the multiple of the usual time at the same load above which an answer counts as slow. The answers of
	// good versions exceed it now and then, too.
	slowFactor = 2
	// minLatencySamples is the minimum number of answers of other versions than the new one from which a usual time is
	// known, and minLoadSamples that at one load from which it says something about that load.
	minLatencySamples = 6
	minLoadSamples    = 3
	// ownWeight is the number of answers at one load that count as much for the usual time there as those at all loads
	// together.
	ownWeight = 8
	// loadLevels is the number of loads that are told apart, each up to twice that before it.
	loadLevels = 9
	// rounding is more than the relative error of a usual time, which is computed by its logarithm.
	rounding = 1e-9
	// maxLoadExponent bounds how the usual time grows with the load: as its power with this exponent.
	maxLoadExponent = 1
)

// loadLevel returns the level of a load, the number of requests at an upstream: 0 if it is unknown.
func loadLevel(requests int) int { return min(bits.Len(uint(max(requests, 0))), loadLevels-1) }

// speed is what a time says of an answer.
type speed int

// Speeds. It is unknown whether a time between that which is usual at a lighter load and that at a heavier one is slow, if
// the load itself was never seen.
const (
	speedUnknown speed = iota
	fast
	slow
)

// counts returns the counts of one answer; none if its speed is unknown.
func (s speed) counts() rollout.Counts {
	switch s {
	case fast:
		return rollout.Counts{Requests: 1}
	case slow:
		return rollout.Counts{Requests: 1, Slow: 1}
	}
	return rollout.Counts{}
}

// usualTime estimates the usual value of a time by the load of the upstream, from the answers of other versions than the new
// one. Engines work more slowly the more requests they run, so that answers are compared at the same load only.
type usualTime struct {
	samples int
	levels  [loadLevels]recentMedian
}

// add includes x at a load, unless it is 0 and therefore unknown.
func (u *usualTime) add(x float64, requests int) {
	if x <= 0 {
		return
	}
	u.samples++
	u.levels[loadLevel(requests)].add(x)
}

// known reports whether there is a usual time at all.
func (u *usualTime) known() bool { return u.samples >= minLatencySamples }

// judge returns what x says of an answer at a load; fast if no usual time is known.
func (u *usualTime) judge(x float64, requests int) speed {
	if !u.known() {
		return fast
	}
	fastUpTo, slowAbove := u.limits(loadLevel(requests))
	switch {
	case x > slowAbove:
		return slow
	case x <= fastUpTo:
		return fast
	}
	return speedUnknown
}

// limits returns the times up to which an answer at a level is fast, and above which it is slow. They differ only where no
// answers of the level, or none on one side of it, are known: the usual time does not fall as the load grows.
func (u *usualTime) limits(level int) (fastUpTo, slowAbove float64) {
	lowest, highest := u.seenLevels()
	usual := u.at(level)
	fastUpTo, slowAbove = usual, usual
	if level < lowest {
		slowAbove = max(u.at(lowest), usual)
	}
	if level > highest {
		fastUpTo = min(u.at(highest), usual)
	}
	const factor = slowFactor * (1 + rounding)
	return factor * fastUpTo, factor * slowAbove
}

// isSeen reports whether enough answers of a level are known.
func (u *usualTime) isSeen(level int) bool { return u.levels[level].samples >= minLoadSamples }

// seenLevels returns the lowest and the highest level of which enough answers are known; if there are none, all levels count.
func (u *usualTime) seenLevels() (lowest, highest int) {
	lowest, highest = loadLevels, -1
	for level := range loadLevels {
		if u.isSeen(level) {
			lowest, highest = min(lowest, level), level
		}
	}
	if highest < 0 {
		return 0, loadLevels - 1
	}
	return lowest, highest
}

// at returns the usual time at a level: that of its own answers, and of the power of the load that fits those of all levels,
// weighed by the number of its own.
func (u *usualTime) at(level int) float64 {
	fitted := u.fit().at(level)
	own := &u.levels[level]
	if own.samples == 0 {
		return math.Exp2(fitted)
	}
	weight := float64(min(own.samples, medianWindow))
	return math.Exp2((weight*math.Log2(own.value) + ownWeight*fitted) / (weight + ownWeight))
}

// powerLaw is a time as a power of the load: its logarithm is linear in the level.
type powerLaw struct{ meanLevel, meanLog, exponent float64 }

func (p powerLaw) at(level int) float64 {
	return p.meanLog + p.exponent*(float64(level)-p.meanLevel)
}

// fit returns the power law that fits the medians of the levels best, by weighted least squares.
func (u *usualTime) fit() powerLaw {
	var weights, levels, logs float64
	u.eachLevel(func(level, log, weight float64) {
		weights += weight
		levels += weight * level
		logs += weight * log
	})
	p := powerLaw{meanLevel: levels / weights, meanLog: logs / weights}
	var variance, covariance float64
	u.eachLevel(func(level, log, weight float64) {
		variance += weight * (level - p.meanLevel) * (level - p.meanLevel)
		covariance += weight * (level - p.meanLevel) * (log - p.meanLog)
	})
	if variance > 0 {
		p.exponent = min(max(covariance/variance, 0), maxLoadExponent)
	}
	return p
}

// eachLevel calls f with each level that has answers, the logarithm of their median, and their weight.
func (u *usualTime) eachLevel(f func(level, log, weight float64)) {
	for level := range u.levels {
		if m := &u.levels[level]; m.samples > 0 {
			f(float64(level), math.Log2(m.value), float64(min(m.samples, medianWindow)))
		}
	}
}
