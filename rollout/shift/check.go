package shift

import (
	"time"

	"github.com/joomcode/errorx"

	"github.com/poplarshore/poplarshore/rollout"
)

// ErrOutOfBounds reports a state or observations with values that no VM writes.
var ErrOutOfBounds = errorx.NewNamespace("shift").NewType("out_of_bounds")

const (
	// maxDuration bounds the duration of an order, and maxSharedTime times on the shared clock, so that
	// sums of them can be represented.
	maxDuration   = 1e6 * time.Second
	maxSharedTime = 200 * 365 * 24 * time.Hour
	// maxCount bounds each count of a VM's observations, so that the sums over all VMs can be
	// represented.
	maxCount = 1 << 40
)

// Check reports whether a state that was read has values within bounds. Errors: ErrOutOfBounds.
func (s State) Check() error {
	switch {
	case s.Phase != Active && s.Phase != Complete && s.Phase != Reverted:
		return ErrOutOfBounds.New("unknown phase %q", s.Phase)
	case s.Step < 0 || s.Step > lastStep:
		return ErrOutOfBounds.New("step %d is not one of 0 to %d", s.Step, lastStep)
	case !(s.Share >= 0 && s.Share <= 1):
		return ErrOutOfBounds.New("share %g is not between 0 and 1", s.Share)
	case s.Order.ID < 0 || s.Order.Era < 0 || s.Order.Duration < 0 || s.Order.Duration > maxDuration:
		return ErrOutOfBounds.New("order %d of era %d with duration %s", s.Order.ID, s.Order.Era, s.Order.Duration)
	case s.Started.Abs() > maxSharedTime || s.Stepped.Abs() > maxSharedTime:
		return ErrOutOfBounds.New("started at %s, stepped at %s", s.Started, s.Stepped)
	}
	return nil
}

// Check reports whether observations that were read have values within bounds. Errors: ErrOutOfBounds.
func (s Observations) Check() error {
	for _, c := range []rollout.Counts{s.Answers, s.Started, s.Paced} {
		for _, n := range []int64{c.Requests, c.Errors, c.Slow, c.Rated, c.Low} {
			if n < 0 || n > maxCount {
				return ErrOutOfBounds.New("count %d", n)
			}
		}
		if !(c.RatingSum >= 0 && c.RatingSum <= maxCount) {
			return ErrOutOfBounds.New("sum of ratings %g", c.RatingSum)
		}
	}
	return nil
}
