package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/poplarshore/poplarshore/platform/standin"
)

// fragileTime is a time in which the model engines end if they have to reject requests.
type fragileTime struct {
	since, until time.Time
	// engines is the number of model engines.
	engines int
}

// fragileFault makes engines fragile. It is a kind of its own list, because the seeds of
// regressions depend on the number of faultKinds.
var fragileFault = faultKind{"fragile", (*injector).makeFragile}

const (
	// fragileCapacity is the number of requests that a model engine runs at once in runs with
	// fragile engines.
	fragileCapacity = 8
	// maxTolerated is the largest number of rejections in a second that they bear.
	maxTolerated = 4
	// burstFactor is the number of requests that come in place of one while engines are fragile.
	burstFactor = 3
	// allowedEnds and one in enginesPerEnd engines may end.
	allowedEnds   = 2
	enginesPerEnd = 10
)

// engineCapacity returns the capacity of model engines in a run; 0 means the default one.
func engineCapacity(o Options) int {
	if o.Fragile {
		return fragileCapacity
	}
	return 0
}

// makeFragile makes all model engines fragile, and lets a burst of requests come once the VMs
// must know it.
func (f *injector) makeFragile(ctx context.Context, rng *rand.Rand) {
	if !f.fragileMu.TryLock() {
		return
	}
	defer f.fragileMu.Unlock()
	defer f.bed.crashes.begin()()
	period := fragileTime{since: time.Now(), engines: len(f.bed.registered(modelService, ""))}
	f.bed.fragility.Store(&standin.Fragility{Tolerated: rng.IntN(maxTolerated + 1)})
	defer f.bed.fragility.Store(nil)
	sleep(ctx, f.bounds.SettleTime+f.bounds.HostAllowance)
	f.bed.burst.Store(burstFactor)
	sleep(ctx, randomDuration(rng))
	f.bed.burst.Store(0)
	sleep(ctx, restartTime)
	period.until = time.Now()
	f.report.addFragileTime(period)
}

func (r *Report) addFragileTime(b fragileTime) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fragileTimes = append(r.fragileTimes, b)
}

// checkFragileTimes checks that few fragile engines ended if no VM was disturbed.
func (c *checker) checkFragileTimes() {
	for _, period := range c.report.fragileTimes {
		calm := c.testbed.calm(period.since, period.until)
		for _, v := range c.testbed.vms {
			calm = calm && v.disturbances.noneOverlap(period.since, period.until) && v.stopPeriods.noneOverlap(period.since, period.until)
		}
		ends := c.testbed.endsBetween(period.since.Add(c.bounds.SettleTime+c.bounds.HostAllowance), period.until)
		if calm && ends > allowedEnds+period.engines/enginesPerEnd {
			c.addViolation("%d of %d fragile engines ended", ends, period.engines)
		}
	}
}

// endsBetween returns the number of engines that ended in a time.
func (b *testbed) endsBetween(from, until time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	ends := 0
	for _, at := range b.endedAt {
		if at.After(from) && at.Before(until) {
			ends++
		}
	}
	return ends
}
