package deadline

import (
	"math/rand/v2"
	"time"

	"github.com/poplarshore/poplarshore/rollout"
	"github.com/poplarshore/poplarshore/rollout/shift"
)

const (
	vmCount = 6
	tick    = 100 * time.Millisecond
	// spread is the time until what a VM observed is known to the others.
	spread = 700 * time.Millisecond
	// turn is the longest time that a VM waits for its turn to write.
	turn = 100 * time.Millisecond
	// after is how long a shift is simulated after its deadline.
	after = 2 * time.Second
)

// bound is the bound on the requests to a bad version.
var bound = shift.Exposure{Share: 0.15, Slack: 30}

// answer is an answer whose result becomes known.
type answer struct {
	vm       int
	isNew    bool
	step     int
	known    time.Duration
	observed shift.Observations
}

// simulation is one roll-out.
type simulation struct {
	rand     *rand.Rand
	service  Service
	fault    Fault
	rule     Rule
	state    shift.State
	answers  []answer
	requests float64
	exposed  float64
	turns    [vmCount]time.Duration
	dueSince [vmCount]time.Duration
}

// Outcome is the result of one simulated roll-out.
type Outcome struct {
	Phase shift.Phase
	// OnTime reports whether the shift ended before its deadline.
	OnTime bool
	// Exposed is the number of requests to the new version until the deadline, as a
	// fraction of the bound.
	Exposed float64
}

// simulate runs one roll-out.
func simulate(rule Rule, service Service, fault Fault, seed uint64) Outcome {
	order := shift.Order{ID: 1, Service: service.Name, To: "new", Duration: service.Duration}
	s := &simulation{rand: rand.New(rand.NewPCG(seed, 11)), service: service, fault: fault, rule: rule, state: shift.Begin(order, 0)}
	for i := range s.turns {
		s.turns[i] = time.Duration(s.rand.Int64N(int64(turn)))
	}
	var endedAt time.Duration
	for now := tick; now < service.Duration+after && !s.state.Ended(); now += tick {
		s.arrive(now)
		s.decide(now)
		endedAt = now
	}
	return Outcome{
		Phase: s.state.Phase, OnTime: endedAt < service.Duration,
		Exposed: s.exposed / (bound.Share*s.service.Rate*service.Duration.Seconds() + bound.Slack),
	}
}

// arrive draws the requests of one tick.
func (s *simulation) arrive(now time.Duration) {
	expected := s.service.Rate * tick.Seconds()
	for expected > 0 && s.rand.Float64() < expected {
		s.request(now)
		expected--
	}
}

func (s *simulation) request(now time.Duration) {
	s.requests++
	isNew := s.rand.Float64() < s.rule.share(s.state)
	if isNew {
		s.exposed++
	}
	errorRate, slowRate, slowdown := s.service.ErrorRate, s.service.SlowRate, 1.0
	if isNew && (!s.fault.AtFullShare || s.state.Step == 2) {
		errorRate += s.fault.ErrorRate
		slowRate += s.fault.SlowRate
		slowdown = s.fault.Slowdown
	}
	a := answer{vm: s.rand.IntN(vmCount), isNew: isNew, step: s.state.Step, known: now + s.service.JudgedAfter}
	a.observed.Answers.Requests = 1
	switch {
	case s.rand.Float64() < errorRate:
		a.observed.Answers.Errors = 1
	case s.rand.Float64() < slowRate:
		a.observed.Paced = rollout.Counts{Requests: 1, Slow: 1}
		a.known = now + time.Duration(slowdown*float64(s.service.JudgedAfter))
	case s.rand.Float64() < s.service.JudgedFraction:
		a.observed.Paced.Requests = 1
	}
	s.answers = append(s.answers, a)
}

// evidence returns what a VM knows.
func (s *simulation) evidence(vm int, now time.Duration) shift.Evidence {
	e := shift.Evidence{RequestRate: s.requests / now.Seconds()}
	for _, a := range s.answers {
		known := a.known
		if a.vm != vm {
			known += spread
		}
		switch {
		case known > now:
		case a.isNew:
			e.New = e.New.Add(a.observed)
		case a.step == 0:
			e.Before = e.Before.Add(a.observed)
		default:
			e.Old = e.Old.Add(a.observed)
		}
	}
	return e
}

// ownGood returns the number of good answers of the new version that a VM saw itself.
func (s *simulation) ownGood(vm int, now time.Duration) int {
	good := 0
	for _, a := range s.answers {
		if a.vm == vm && a.isNew && a.known <= now && a.observed.Failures() == 0 && a.observed.Paced.Requests > 0 {
			good++
		}
	}
	return good
}

// decide lets the VMs whose turn it is write the next state.
func (s *simulation) decide(now time.Duration) {
	for vm := range vmCount {
		next, changed := s.rule.next(s, vm, now)
		switch {
		case !changed:
			s.dueSince[vm] = 0
		case s.dueSince[vm] == 0:
			s.dueSince[vm] = now
		}
		if changed && now-s.dueSince[vm] >= s.turns[vm] {
			s.state = next
			clear(s.dueSince[:])
			return
		}
	}
}
