package slopes

import (
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

// steppedClock tells a time that moves in steps, however long a round takes;
// its timers are the machine's.
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

func (c *steppedClock) step(d time.Duration) {
	c.now.Add(int64(d))
}
