package pace

import "time"

const (
	// A stream is judged from minMoveGaps gaps on, or once minMoveTime, or the time left
	// divided by moveTimeDivisor, has passed since its first event.
	minMoveGaps     = 4
	minMoveTime     = 1500 * time.Millisecond
	moveTimeDivisor = 8
	// hopelessFactor is the expected end of a stream that can't end in time, as a multiple of the
	// time left.
	hopelessFactor = 1.1
	// moveMargin is the latest expected end of a stream elsewhere, as a fraction of the time
	// left.
	moveMargin = 0.8
	// maxMoveUtilization is the utilization from which an upstream gets no moved streams.
	maxMoveUtilization = 0.9
)

// Stream is an answer in progress.
type Stream struct {
	// Events is the number of events of the attempt, Running the time since its first one, and
	// Silence that since its newest one.
	Events           int
	Running, Silence time.Duration
	// TimeLeft is the time to the deadline.
	TimeLeft time.Duration
	// Left is the expected length that is left.
	Left Length
}

// Gap returns the mean time between events, with the gap that is still open: the time since
// the first event divided by the events since.
func (s Stream) Gap() time.Duration {
	gaps := s.Events - 1
	if gaps <= 0 {
		return s.Silence
	}
	closed := (s.Running - s.Silence) / time.Duration(gaps)
	if s.Silence <= closed {
		return closed
	}
	return s.Running / time.Duration(gaps+1)
}

// Hopeless reports whether the stream is not expected to end before the deadline, and has run
// for long enough to tell.
func (s Stream) Hopeless() bool {
	if s.Events == 0 || s.Left.Median == 0 {
		return false
	}
	if s.Events <= minMoveGaps && s.Running < min(minMoveTime, s.TimeLeft/moveTimeDivisor) {
		return false
	}
	return s.Left.Median*s.Gap().Seconds() > hopelessFactor*s.TimeLeft.Seconds()
}

// Elsewhere is what is expected of a stream that goes on at another upstream.
type Elsewhere struct {
	// End is the time to the expected end; zero if unknown.
	End time.Duration
	// Utilization is that of the upstream.
	Utilization float64
}

// Pays reports whether the stream, which is hopeless where it is, is expected to end in time
// elsewhere.
func (s Stream) Pays(e Elsewhere) bool {
	return e.End > 0 && e.Utilization < maxMoveUtilization && e.End.Seconds() < moveMargin*s.TimeLeft.Seconds()
}
