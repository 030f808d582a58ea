package shifts

import "slices"

// medianWindow is the number of newest samples of a recentMedian.
const medianWindow = 31

// recentMedian is the median of the newest samples. Unlike a mean it does not depend on
// how long the slowest ones took.
type recentMedian struct {
	// value is the median; 0 without samples.
	value float64
	// samples is the number of samples so far.
	samples int
	window  [medianWindow]float64
}

// add includes x, unless it is 0 and therefore unknown.
func (m *recentMedian) add(x float64) {
	if x <= 0 {
		return
	}
	m.window[m.samples%medianWindow] = x
	m.samples++
	sorted := m.window
	known := sorted[:min(m.samples, medianWindow)]
	slices.Sort(known)
	m.value = known[len(known)/2]
}
