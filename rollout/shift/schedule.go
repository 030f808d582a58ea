package shift

import "time"

// Exposure bounds the requests that a bad version may get between the order and the
// deadline.
type Exposure struct {
	// Share is a fraction of all requests for the service in that time, 0 to 1.
	Share float64
	// Slack is a number of requests beyond that.
	Slack float64
}

// DefaultExposure is the bound without other settings.
var DefaultExposure = Exposure{Share: 0.15}

const (
	// plannedShareFraction and plannedSlackFraction are the parts of the bound that a
	// schedule uses. The rest is reserved for bursts of traffic late in a shift, and for
	// sessions with more requests than others.
	plannedShareFraction = 0.85
	plannedSlackFraction = 0.6
	// maxPlanned is the most that a schedule uses of an order's duration, counted as time
	// with all requests, where the slack alone would allow more.
	maxPlanned = 0.4
	// firstStepFraction is the fraction of an order's duration after which
	// sessions begin to move.
	firstStepFraction = 0.505
	// lastPeriodFraction is the largest fraction of the planned exposure for the last
	// period, in which the new version may get all sessions. maxLastPeriod is its greatest
	// length.
	lastPeriodFraction = 0.62
	maxLastPeriod      = 1200 * time.Millisecond
)

// The last period of a shift, which ends at the deadline, is divided by these fractions
// of its length. VMs and operators take some time to see what was decided.
const (
	// completionFraction is how long before the deadline a shift completes at the
	// earliest, and minFullShareFraction how long all sessions use the new version before
	// that.
	completionFraction   = 0.7
	minFullShareFraction = 0.2
	// revertFraction is how long before the deadline a shift is reverted that is not
	// complete.
	revertFraction = 0.55
)

// lastStep is the number of steps after which all sessions use the new version.
const lastStep = 2

// schedule holds the times of a shift, on the shared clock, and its shares.
type schedule struct {
	// stepAfter is when each step may be made at the earliest, and shares the fraction of
	// sessions that it moves.
	stepAfter [lastStep]time.Duration
	shares    [lastStep]float64
	// completeAfter is when the shift may complete at the earliest, minFullShare for how
	// long all sessions must have used the new version then, and revertAfter when the shift
	// is reverted if it is not complete.
	completeAfter, minFullShare, revertAfter time.Duration
}

// schedule returns the schedule of the shift.
func (p Plan) schedule(s State, e Evidence) schedule {
	duration := s.Order.Duration
	planned := p.Exposure.planned(duration, e.RequestRate)
	lastPeriod := min(time.Duration(lastPeriodFraction*float64(planned)), maxLastPeriod)
	first := time.Duration(firstStepFraction * float64(duration))
	deadline := s.Started + duration
	part := func(fraction float64) time.Duration { return time.Duration(fraction * float64(lastPeriod)) }
	return schedule{
		stepAfter:     [lastStep]time.Duration{s.Started + first, deadline - lastPeriod},
		shares:        [lastStep]float64{float64(planned-lastPeriod) / float64(duration-lastPeriod-first), 1},
		completeAfter: deadline - part(completionFraction),
		minFullShare:  part(minFullShareFraction),
		revertAfter:   deadline - part(revertFraction),
	}
}

// planned returns how much of the bound a schedule uses, as the time in which all
// requests amount to it. The request rate is in requests per second; if it is not known,
// the slack is not used.
func (x Exposure) planned(duration time.Duration, requestRate float64) time.Duration {
	planned := plannedShareFraction * x.Share * duration.Seconds()
	if requestRate > 0 {
		planned += plannedSlackFraction * x.Slack / requestRate
	}
	return time.Duration(min(planned, maxPlanned*duration.Seconds()) * float64(time.Second))
}
