package slopes

import (
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

// steppedClock is a clock whose Now advances only by calls of advance, however
// long a round takes. Its timers use real time.
type steppedClock struct {
	clockwork.Clock
	now atomic.Int64
}

func newSteppedClock() *steppedClock {
	return &steppedClock{Clock: clockwork.NewRealClock()}
}

// Now implements clockwork.Clock.
func (c *steppedClock) Now() time.Time {
	return time.Unix(0, c.now.Load())
}

func (c *steppedClock) advance(d time.Duration) {
	c.now.Add(int64(d))
}
