package blame

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/poplarshore/poplarshore/internal/members"
	"github.com/poplarshore/poplarshore/internal/quarantines"
	"github.com/poplarshore/poplarshore/quarantine"
	"github.com/poplarshore/poplarshore/upstream"
	"github.com/poplarshore/poplarshore/vm"
)

const (
	tick     = 10 * time.Millisecond
	duration = 45 * time.Second
	// culpritsFrom is when requests that crash upstreams begin to come.
	culpritsFrom = 8 * time.Second
	// downTime is the time from the end of an upstream to the start of its successor.
	downTime = 3500 * time.Millisecond
	// crashAfter is the time from the begin of a run to the end of its upstream, meanWait the
	// mean time that a request waits before it runs, and meanRun that of a run.
	crashAfter = 80 * time.Millisecond
	meanWait   = 80 * time.Millisecond
	meanRun    = 700 * time.Millisecond
	// messageDelay is the longest delay of a message.
	messageDelay = 50 * time.Millisecond
	cutTime      = 5 * time.Second
	// tableDelay is the time until a change of the table is known to all VMs.
	tableDelay = time.Second
	// clientRetryDelay is the time after which a client repeats a request that failed.
	clientRetryDelay = 300 * time.Millisecond
	// maxSends bounds the attempts of an exchange, and maxLost those that end with their
	// upstream.
	maxSends, maxLost = 3, 2
	// weakShare is the fraction of answers that the cascade drops, 0 to 1.
	weakShare = 0.25
	// contact is the time after the crash that makes a culprit known from which arrivals count
	// as late. A part is known at the fifth crash, a whole request at the third.
	contact                   = 4 * time.Second
	partKnownAt, requestKnown = 5, 3
	// smallFleet is the number of VMs up to which each sends its evidence to all others, and
	// regions the number of regions of the VMs.
	smallFleet, regions = 32, 3
)

// run is an attempt on an engine.
type run struct {
	*request
	attempt *quarantines.Attempt
	beginAt time.Duration
	endAt   time.Duration
	begun   bool
	weak    bool
}

// engine is one life of an upstream.
type engine struct {
	of   quarantine.Incarnation
	runs []*run
	// upAt is when it is up; crashAt is when it ends, zero while it is not known to.
	upAt, crashAt time.Duration
}

// pending is something that happens at a time.
type pending struct {
	at time.Duration
	do func()
}

// simulation is one run of a scenario under a rule.
type simulation struct {
	Scenario
	rule     Rule
	rand     *rand.Rand
	clock    *clockwork.FakeClock
	now      time.Duration
	digester *quarantine.Digester
	table    *table
	guards   []*quarantines.Guard
	members  map[vm.ID]members.Member
	// cutUntil is until when each VM is cut off, and startedAt when it started.
	cutUntil, startedAt []time.Duration
	// behind holds which VMs don't know the newest row of the table.
	behind   []bool
	engines  []*engine
	culprits []*culprit
	events   []pending
	ids      int

	sound, keptOut, ends int
}

// Now implements quarantines.Clock.
func (s *simulation) Now() (time.Duration, bool) { return time.Hour + s.now, true }

func newSimulation(scenario Scenario, rule Rule, seed uint64) *simulation {
	s := &simulation{
		Scenario: scenario, rule: rule, rand: rand.New(rand.NewPCG(seed, 17)), clock: clockwork.NewFakeClock(),
		digester: quarantine.NewDigester("experiment"), table: &table{}, members: newMembers(scenario.VMs), cutUntil: make([]time.Duration, scenario.VMs),
		startedAt: make([]time.Duration, scenario.VMs), behind: make([]bool, scenario.VMs),
	}
	for i := range s.VMs {
		s.guards = append(s.guards, s.newGuard(i))
	}
	for range s.Engines {
		s.engines = append(s.engines, s.newEngine())
	}
	for i := range s.Parts {
		part := fmt.Sprint("culprit ", i)
		s.culprits = append(s.culprits, &culprit{key: s.digester.Part(part), part: part, known: partKnownAt})
	}
	for i := range s.Requests {
		path := fmt.Sprint("/culprit/", i)
		s.culprits = append(s.culprits, &culprit{key: s.requestKey(path), path: path, known: requestKnown})
	}
	return s
}

func (s *simulation) requestKey(path string) quarantine.Key {
	return s.digester.Request(quarantine.Request{Method: "POST", Target: path})
}

func (s *simulation) newEngine() *engine {
	s.ids++
	return &engine{of: quarantine.Incarnation{Upstream: upstream.ID(fmt.Sprint("e-", s.ids))}, upAt: s.now}
}

func (s *simulation) newGuard(index int) *quarantines.Guard {
	g := quarantines.New(quarantines.Options{
		VM: vmID(index), Table: "t", Blame: quarantine.DefaultOptions(), SharedClock: s, Writer: s.table,
		Broadcast: func(m quarantines.Message) { s.announce(index, m) },
		Report: func(m quarantines.Message) {
			m.ForAll = true
			s.announce(index, m)
		},
		Rank: func() (int, int) { return index, s.VMs }, Clock: s.clock,
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Registry: prometheus.NewRegistry(),
	})
	if s.rule == Shared {
		g.Replace(s.table.listing())
	}
	return g
}

func (s *simulation) after(d time.Duration, do func()) {
	s.events = append(s.events, pending{at: s.now + d, do: do})
}

// simulate runs the simulation to its end.
func (s *simulation) simulate() {
	for s.now < duration {
		s.now += tick
		s.clock.Advance(tick)
		s.handleEvents()
		s.disturb()
		s.arrive()
		s.advanceEngines()
		if s.rule != None {
			s.stepGuards()
		}
	}
}

func (s *simulation) handleEvents() {
	var due []pending
	s.events = slices.DeleteFunc(s.events, func(p pending) bool {
		if p.at <= s.now {
			due = append(due, p)
		}
		return p.at <= s.now
	})
	for _, p := range due {
		p.do()
	}
}

// stepGuards lets the guards work every other tick, as they do.
func (s *simulation) stepGuards() {
	if s.now/tick%2 != 0 {
		return
	}
	for i, g := range s.guards {
		g.Step()
		if s.rule == Shared && s.now/tick%10 == 0 && s.cutUntil[i] <= s.now {
			g.Sync(context.Background())
		}
	}
	if s.table.takeChange() {
		for i := range s.behind {
			s.behind[i] = true
		}
	}
	for i, behind := range s.behind {
		if behind && s.cutUntil[i] <= s.now {
			s.behind[i] = false
			s.after(tableDelay, func() { s.guards[i].Change(s.table.listing()) })
		}
	}
}

// advanceEngines begins and ends runs, and ends the engines that a run crashes.
func (s *simulation) advanceEngines() {
	for i := range s.engines {
		e := s.engines[i]
		for _, r := range slices.Clone(e.runs) {
			s.advanceRun(e, r)
		}
		if e.crashAt > 0 && e.crashAt <= s.now {
			s.end(e)
		}
	}
}

func (s *simulation) advanceRun(e *engine, r *run) {
	switch {
	case !r.begun && s.now >= r.beginAt:
		r.begun = true
		// A whole request crashes its upstream before the answer begins.
		if r.culprit == nil || r.culprit.part != "" {
			r.attempt.BeginAnswer()
		}
		if r.culprit != nil && e.crashAt == 0 {
			e.crashAt = s.now + crashAfter
			r.culprit.crashes = append(r.culprit.crashes, e.crashAt)
		}
		if r.weak && (r.culprit == nil || r.culprit.part != "") {
			r.attempt.End(quarantines.Abandoned)
			s.remove(e, r)
			s.send(r.request)
		}
	case r.begun && r.culprit == nil && s.now >= r.endAt && s.rand.Float64() < s.ResetShare:
		s.lose(e, r)
	case r.begun && r.culprit == nil && s.now >= r.endAt:
		r.attempt.End(quarantines.Answered)
		s.remove(e, r)
	case r.begun && r.culprit == nil:
		r.attempt.RecordEvent()
	}
}

func (s *simulation) remove(e *engine, r *run) {
	e.runs = slices.DeleteFunc(e.runs, func(o *run) bool { return o == r })
}
