package soak

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// slowVersionFaults roll out a slow version, and a good one, beside a burst of streams. They are kinds of their own list, because
// the seeds of regressions depend on the number of faultKinds.
var slowVersionFaults = []faultKind{{"rollout_slow", (*injector).rollOutSlow}, {"rollout_burst", (*injector).rollOutBesideBurst}}

const (
	// In runs with slow versions the time between events is loadedGap at an engine that runs one request, and grows with their
	// number as its power with loadExponent. slowPercent of the requests of a slow version take slowTimes as long.
	loadedGap    = 10 * time.Millisecond
	loadExponent = 0.7
	slowPercent  = 50
	slowTimes    = 4
	// streamBurst is the number of streams that come with each request of a burst.
	streamBurst = 1
	// slowRolloutSeconds is the planned duration of a roll-out beside a burst.
	slowRolloutSeconds = 12
	// badAnswers is the number of bad answers of a version from which it must get no more requests once Bounds.Rollback has
	// passed, and exposureShare and exposureSlack bound what it gets before its deadline.
	badAnswers    = 50
	exposureShare = 0.15
	exposureSlack = 30
)

// slowness makes the answers of an engine take longer. It is safe for concurrent use.
type slowness struct {
	mu sync.Mutex
	// percent of the answers are slow; ends holds when those ended, or will.
	percent int
	ends    []time.Time
}

func (s *slowness) set(percent int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.percent = percent
}

// gap returns the time between the events of an answer at an engine with the given number of requests.
func (s *slowness) gap(running int) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	gap := time.Duration(float64(loadedGap) * math.Pow(float64(max(running, 1)), loadExponent))
	if rand.IntN(100) >= s.percent {
		return gap
	}
	gap *= slowTimes
	s.ends = append(s.ends, time.Now().Add(streamEvents*gap))
	return gap
}

// slowEnds returns when the slow answers ended.
func (s *slowness) slowEnds() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.ends)
}

// slowVersion is a version with slow answers, which was ordered at a time.
type slowVersion struct {
	engines   []*engine
	orderedAt time.Time
}

// rollOutSlow rolls out a version that is slow for half of its requests, beside a burst of streams.
func (f *injector) rollOutSlow(ctx context.Context, _ *rand.Rand) {
	f.rollOut(ctx, rolloutPlan{slowPercent: slowPercent, seconds: slowRolloutSeconds, streamBurst: streamBurst})
}

// rollOutBesideBurst rolls out a good version beside a burst of streams.
func (f *injector) rollOutBesideBurst(ctx context.Context, _ *rand.Rand) {
	f.rollOut(ctx, rolloutPlan{seconds: slowRolloutSeconds, streamBurst: streamBurst})
}

func (r *Report) addSlowVersion(v slowVersion) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.slowVersions = append(r.slowVersions, v)
}

// checkSlowVersions checks that slow versions got few requests before their deadline, and none long after their 50th bad answer.
func (c *checker) checkSlowVersions() {
	for _, v := range c.report.slowVersions {
		c.checkExposure(v)
		var ends []time.Time
		for _, e := range v.engines {
			ends = append(ends, e.slowness.slowEnds()...)
		}
		if len(ends) < badAnswers {
			continue
		}
		slices.SortFunc(ends, time.Time.Compare)
		c.report.addExclusion(exclusion{engines: v.engines, since: ends[badAnswers-1], bound: c.bounds.Rollback, reason: "seen to be slow"})
	}
}

// checkExposure checks that a slow version got no more than its share of the requests for its service until its deadline.
func (c *checker) checkExposure(v slowVersion) {
	deadline := v.orderedAt.Add(slowRolloutSeconds * time.Second)
	if !c.testbed.calm(v.orderedAt, deadline) {
		return
	}
	exposed, all := 0, 0
	for _, e := range c.testbed.allEngines {
		if e.Service != modelService {
			continue
		}
		n := 0
		for _, run := range e.Runs() {
			if run.At.After(v.orderedAt) && run.At.Before(deadline) {
				n++
			}
		}
		all += n
		if slices.Contains(v.engines, e) {
			exposed += n
		}
	}
	if float64(exposed) > exposureShare*float64(all)+exposureSlack {
		c.addViolation("slow version got %d of %d requests until its deadline", exposed, all)
	}
}
