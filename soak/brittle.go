package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/poplarshore/poplarshore/platform/standin"
)

// brittleTime is a time in which the model engines fall over if they have to reject requests.
type brittleTime struct {
	since, until time.Time
	// engines is the number of model engines.
	engines int
}

// brittleFault makes engines brittle. It is a kind of its own list, because the seeds of
// regressions depend on the number of faultKinds.
var brittleFault = faultKind{"brittle", (*injector).makeBrittle}

const (
	// brittleCapacity is the number of requests that a model engine runs at once in runs with
	// brittle engines.
	brittleCapacity = 8
	// maxTolerated is the largest number of rejections in a second that they bear.
	maxTolerated = 4
	// burstFactor is the number of requests that come in place of one while engines are brittle.
	burstFactor = 3
	// allowedFalls and one in enginesPerFall engines may fall over.
	allowedFalls   = 2
	enginesPerFall = 10
)

// engineCapacity returns the capacity of model engines in a run; 0 means the default one.
func engineCapacity(o Options) int {
	if o.Brittle {
		return brittleCapacity
	}
	return 0
}

// makeBrittle makes all model engines brittle, and lets a burst of requests come once the VMs
// must know it.
func (f *injector) makeBrittle(ctx context.Context, rng *rand.Rand) {
	if !f.brittleMu.TryLock() {
		return
	}
	defer f.brittleMu.Unlock()
	defer f.bed.crashes.begin()()
	period := brittleTime{since: time.Now(), engines: len(f.bed.registered(modelService, ""))}
	f.bed.brittleness.Store(&standin.Brittleness{Tolerated: rng.IntN(maxTolerated + 1)})
	defer f.bed.brittleness.Store(nil)
	sleep(ctx, f.bounds.SettleTime+f.bounds.HostAllowance)
	f.bed.burst.Store(burstFactor)
	sleep(ctx, randomDuration(rng))
	f.bed.burst.Store(0)
	sleep(ctx, restartTime)
	period.until = time.Now()
	f.report.addBrittleTime(period)
}

func (r *Report) addBrittleTime(b brittleTime) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.brittleTimes = append(r.brittleTimes, b)
}

// checkBrittleTimes checks that few brittle engines fell over if no VM was disturbed.
func (c *checker) checkBrittleTimes() {
	for _, period := range c.report.brittleTimes {
		calm := c.testbed.disturbances.noneOverlap(period.since, period.until)
		for _, v := range c.testbed.vms {
			calm = calm && v.disturbances.noneOverlap(period.since, period.until) && v.stopPeriods.noneOverlap(period.since, period.until)
		}
		falls := c.testbed.fallsBetween(period.since.Add(c.bounds.SettleTime+c.bounds.HostAllowance), period.until)
		if calm && falls > allowedFalls+period.engines/enginesPerFall {
			c.addViolation("%d of %d brittle engines fell over", falls, period.engines)
		}
	}
}

// fallsBetween returns the number of engines that fell over in a time.
func (b *testbed) fallsBetween(from, until time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	falls := 0
	for _, at := range b.fellAt {
		if at.After(from) && at.Before(until) {
			falls++
		}
	}
	return falls
}
