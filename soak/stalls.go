package soak

import (
	"context"
	"time"
)

const (
	// wakeUpInterval is the time between two wake-ups by which stalls of the host are found.
	wakeUpInterval = 10 * time.Millisecond
	// maxWakeUpDelay is by how much a wake-up may be late before the host counts as stalled.
	maxWakeUpDelay = 25 * time.Millisecond
)

// watchStalls records the intervals in which the host did not let the soak run, until ctx ends.
func (b *testbed) watchStalls(ctx context.Context) {
	for ctx.Err() == nil {
		due := time.Now().Add(wakeUpInterval)
		sleep(ctx, wakeUpInterval)
		if now := time.Now(); now.Sub(due) > maxWakeUpDelay {
			b.hostStalls.add(interval{from: due, until: now})
		}
	}
}

// exceeds reports whether more than the bound lies between two times, without the stalls of the host.
func (c *checker) exceeds(bound time.Duration, from, to time.Time) bool {
	took := to.Sub(from)
	return took > bound && took-c.testbed.hostStalls.overlap(from, to) > bound
}
