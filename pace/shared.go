package pace

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/poplarshore/poplarshore/model"
)

const (
	// sharedHalfLife is the time in which the weight of evidence from other VMs halves.
	sharedHalfLife = 20 * time.Second
	// sharedPassing is the part of a weight that remains each time it is passed on, so that
	// evidence fades although VMs return it to each other.
	sharedPassing = 0.7
	// sharedMaxWeight bounds the weight of other VMs' evidence, in gaps. Evidence of own gaps
	// has up to 100.
	sharedMaxWeight = 40
	// sharedFloor is the weight, in gaps, up to which other VMs' evidence counts without own
	// gaps. With more own ones it counts up to as much as these.
	sharedFloor = 16
	// sharedStep is the largest part by which one message changes the estimate, and
	// sharedOutlier the largest ratio of a message's speed to the estimate that counts, so that
	// one VM that reports nonsense changes little.
	sharedStep, sharedOutlier = 0.25, 2
)

// Shared is what other VMs found of the speed of an upstream: how much longer than usual it
// takes for an event. The zero value knows nothing. It is not safe for concurrent use.
type Shared struct {
	mean, weight float64
	at           time.Time
}

// Merge adds what another VM knows: a speed and its weight in gaps. The weight becomes at most
// what remains of the other VM's, so that VMs that return the same evidence to each other don't
// increase its weight.
func (s *Shared) Merge(speed, weight float64, now time.Time) {
	if !(speed >= minFactor && speed <= maxFactor) || !(weight > 0) {
		return
	}
	weight = min(weight*sharedPassing, sharedMaxWeight)
	known := s.weightAt(now)
	s.at = now
	if known < 1 {
		s.mean, s.weight = speed, weight
		return
	}
	speed = min(max(speed, s.mean/sharedOutlier), s.mean*sharedOutlier)
	s.mean += min(weight/(known+weight), sharedStep) * (speed - s.mean)
	s.weight = max(known, weight)
}

func (s *Shared) weightAt(now time.Time) float64 {
	return s.weight * math.Exp2(-max(now.Sub(s.at), 0).Seconds()/sharedHalfLife.Seconds())
}

// Together returns the mean speed by own gaps and by what other VMs found, and its weight in
// gaps. Other VMs' evidence counts at most as much as many own gaps.
func (s *Shared) Together(own *Factor, now time.Time) (mean, weight float64) {
	mean, weight = own.Mean(now)
	others := min(s.weightAt(now), max(weight, sharedFloor))
	if weight+others <= 0 {
		return 0, 0
	}
	return (mean*weight + s.mean*others) / (weight + others), weight + others
}

// Lasting returns the lasting speed of an upstream by own gaps and by what other VMs found: 1 if
// nothing is known.
func (s *Shared) Lasting(own *Factor, now time.Time) float64 {
	mean, weight := s.Together(own, now)
	return (mean*weight + factorPrior) / (weight + factorPrior)
}

// ToPass returns the speed and the weight that are told to other VMs.
func (s *Shared) ToPass(own *Factor, now time.Time) (speed, weight float64) {
	speed, _ = s.Together(own, now)
	_, ownWeight := own.Mean(now)
	return speed, max(ownWeight, s.weightAt(now))
}

// Adopt sets the usual gap to that of another VM while it is unknown. Later gaps correct it.
func (u *Usual) Adopt(gap time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.samples < usualMinSamples {
		u.logGap, u.samples = math.Log(max(gap, minGap).Seconds()), usualMinSamples
	}
}

// Known returns the usual gaps that are known.
func (m *Models) Known() map[model.Name]time.Duration {
	m.mu.RLock()
	defer m.mu.RUnlock()
	known := make(map[model.Name]time.Duration, len(m.byModel))
	for name, u := range m.byModel {
		if gap, ok := u.Gap(); ok {
			known[name] = gap
		}
	}
	return known
}

// Names returns the models that this VM has seen.
func (m *Models) Names() []model.Name {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return slices.Collect(maps.Keys(m.byModel))
}
