package limit

import "time"

// series is a value over time: each sample holds until the next.
type series struct {
	samples []sample
}

type sample struct {
	at    time.Time
	value float64
}

// add records the value from now on and forgets what ended before the window.
func (s *series) add(now time.Time, value float64, window time.Duration) {
	s.samples = append(s.samples, sample{at: now, value: value})
	first := 0
	for first+1 < len(s.samples) && now.Sub(s.samples[first+1].at) > window {
		first++
	}
	s.samples = append(s.samples[:0], s.samples[first:]...)
}

// lowest returns the lowest value that held within the window. Before its first
// sample a series is zero.
func (s *series) lowest(now time.Time, window time.Duration) float64 {
	low := -1.0
	for i := len(s.samples) - 1; i >= 0; i-- {
		if low < 0 || s.samples[i].value < low {
			low = s.samples[i].value
		}
		if now.Sub(s.samples[i].at) > window {
			return low
		}
	}
	return 0
}
