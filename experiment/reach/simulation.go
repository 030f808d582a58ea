package reach

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/poplarshore/poplarshore/internal/reach"
	"github.com/poplarshore/poplarshore/reachability"
	"github.com/poplarshore/poplarshore/upstream"
)

const (
	tick      = 10 * time.Millisecond
	troubleAt = 5 * time.Second
	runTime   = 25 * time.Second
	// roundTrip is the time between the VM and an upstream and back, connectTimeout how long a
	// connection may take, and eventGap the time between two events of an answer.
	roundTrip      = 30 * time.Millisecond
	connectTimeout = 500 * time.Millisecond
	eventGap       = 50 * time.Millisecond
	// keptShare is the share of requests that find a kept connection.
	keptShare = 0.7
)

// contact is a contact that the VM learns of later.
type contact struct {
	of   upstream.ID
	kind reachability.Contact
}

// simulation is a run.
type simulation struct {
	Scenario
	rule   Rule
	rng    *rand.Rand
	now    time.Duration
	usable []upstream.ID
	// concerned is the number of upstreams, from the first one, that the trouble concerns.
	concerned int
	view      *reachability.View
	failures  int
	probedAt  time.Duration
	// contacts holds what the VM learns at each tick.
	contacts map[time.Duration][]contact

	// lostAfter is when the way first counted as lost after the trouble began, and regainedAfter
	// when it counted as back after its end; negative before. wrong is the time in which it counted
	// as lost although the VM was not cut off.
	lostAfter, regainedAfter, wrong time.Duration
}

func newSimulation(s Scenario, rule Rule, seed uint64) *simulation {
	sim := &simulation{
		Scenario: s, rule: rule, rng: rand.New(rand.NewPCG(seed, 3)), view: reachability.NewView(reachability.DefaultOptions()),
		concerned: int(s.share*float64(s.Upstreams) + 0.5), contacts: make(map[time.Duration][]contact), lostAfter: -1, regainedAfter: -1,
	}
	for i := range s.Upstreams {
		sim.usable = append(sim.usable, upstream.ID(fmt.Sprint(i)))
	}
	return sim
}

func (s *simulation) simulate() {
	end := troubleAt + s.lasts
	for ; s.now < runTime; s.now += tick {
		s.learn()
		lost := s.isLost()
		switch inTrouble := s.now >= troubleAt && s.now < end; {
		case lost && !(inTrouble && s.trouble.isCut()) && !(s.trouble.isCut() && s.now >= end):
			s.wrong += tick
		case lost && inTrouble && s.lostAfter < 0:
			s.lostAfter = s.now - troubleAt
		case !lost && s.now >= end && s.regainedAfter < 0:
			s.regainedAfter = s.now - end
		}
		s.act(lost)
	}
}

// learn records the contacts that the VM learns of now.
func (s *simulation) learn() {
	at := time.Time{}.Add(s.now)
	for _, c := range s.contacts[s.now] {
		s.view.Record(c.of, c.kind, at)
		switch c.kind {
		case reachability.NotConnected, reachability.Lost, reachability.Silent:
			s.failures++
			continue
		case reachability.Connected:
			// The next probe follows at once.
			s.probedAt = 0
		}
		s.failures = 0
	}
	delete(s.contacts, s.now)
}

func (s *simulation) isLost() bool {
	if s.rule == Row3 {
		return s.failures >= 3
	}
	return s.status().CutOff
}

// status returns what the VM knows of its way.
func (s *simulation) status() reachability.Status {
	return s.view.Status(s.usable, false, time.Time{}.Add(s.now))
}

// probeSilent opens connections to silent upstreams if these leave in doubt whether the way is lost.
func (s *simulation) probeSilent() {
	if s.rule == Row3 || s.now-s.probedAt < reach.ProbeInterval || !s.status().InDoubt {
		return
	}
	s.probedAt = s.now
	for _, u := range s.view.SilentAmong(s.usable, time.Time{}.Add(s.now)) {
		s.connect(u, false)
	}
}

// act sends a request now and then, and probes while the way counts as lost or may be.
func (s *simulation) act(lost bool) {
	s.probeSilent()
	switch {
	case lost && s.now-s.probedAt >= reach.ProbeInterval:
		s.probedAt = s.now
		if u, ok := s.view.Probe(s.usable, s.rng.Float64()); ok {
			s.connect(u, false)
		}
	case !lost && s.rng.Float64() < s.PerSecond*tick.Seconds():
		u := s.usable[s.rng.IntN(len(s.usable))]
		if s.rng.Float64() < keptShare {
			s.answer(u, s.now)
			return
		}
		s.connect(u, true)
	}
}

// add lets the VM learn of a contact at a time.
func (s *simulation) add(at time.Duration, of upstream.ID, kind reachability.Contact) {
	at = at.Truncate(tick) + tick
	s.contacts[at] = append(s.contacts[at], contact{of, kind})
}

// isConcerned reports whether the trouble concerns an upstream at a time.
func (s *simulation) isConcerned(u upstream.ID, at time.Duration) bool {
	var number int
	_, _ = fmt.Sscan(string(u), &number)
	return number < s.concerned && at >= troubleAt && at < troubleAt+s.lasts
}

// connect opens a connection, for a request or a probe.
func (s *simulation) connect(u upstream.ID, request bool) {
	switch {
	case s.isConcerned(u, s.now) && (s.trouble == silence || s.trouble == dark):
		s.add(s.now+connectTimeout, u, reachability.NotConnected)
	case s.isConcerned(u, s.now) && s.trouble != pauses:
		s.add(s.now+roundTrip, u, reachability.NotConnected)
	default:
		s.add(s.now+roundTrip, u, reachability.Connected)
		if request {
			s.answer(u, s.now+roundTrip)
		}
	}
}

// answer lets an answer come over an open connection, as far as the trouble allows.
func (s *simulation) answer(u upstream.ID, from time.Duration) {
	for at := from + roundTrip; at <= from+roundTrip+s.Takes; at += eventGap {
		if !s.isConcerned(u, at) || s.trouble == refusesNew {
			s.add(at, u, reachability.Received)
			continue
		}
		switch s.trouble {
		case resets, crashes:
			s.add(max(at, troubleAt), u, reachability.Lost)
			return
		case silence, dark:
			s.add(at+s.HeaderWait, u, reachability.Silent)
			return
		case pauses:
			if s.HeaderWait < s.lasts {
				s.add(at+s.HeaderWait, u, reachability.Silent)
			}
			s.add(troubleAt+s.lasts, u, reachability.Received)
			return
		}
	}
}
