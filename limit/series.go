package limit

import "time"

// demandHistory is a step function over time: each sample is valid until the next
// one.
type demandHistory struct {
	samples []sample
}

type sample struct {
	at    time.Time
	value float64
}

// add appends the value that is valid from now on and drops samples whose validity
// ended before the window.
func (s *demandHistory) add(now time.Time, value float64, window time.Duration) {
	s.samples = append(s.samples, sample{at: now, value: value})
	first := 0
	for first+1 < len(s.samples) && now.Sub(s.samples[first+1].at) > window {
		first++
	}
	s.samples = append(s.samples[:0], s.samples[first:]...)
}

// lowest returns the lowest value that was valid within the window. The value
// before the first sample is zero.
func (s *demandHistory) lowest(now time.Time, window time.Duration) float64 {
	lowest := -1.0
	for i := len(s.samples) - 1; i >= 0; i-- {
		if lowest < 0 || s.samples[i].value < lowest {
			lowest = s.samples[i].value
		}
		if now.Sub(s.samples[i].at) > window {
			return lowest
		}
	}
	return 0
}
