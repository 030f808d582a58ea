// Package slowstart measures ways to limit requests to upstreams that have just started: how many
// answers such an upstream gives late or rejects, and how much of it stays idle while requests
// wait elsewhere.
//
// Requests arrive at random at VMs, which send each to the upstream that they know the least load
// of. An upstream runs a number of requests at once, more slowly the more it runs and while it
// warms up, queues some, and rejects the rest. The simulation advances in ticks.
package slowstart

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/poplarshore/poplarshore/experiment"
	"github.com/poplarshore/poplarshore/slowstart"
)

// Way is a way to limit requests to new upstreams.
type Way string

// The ways: no limit as before, a limit that rises with time, answers compared with those of
// peers, answers compared with the fastest of the same upstream, and the upstream's own reports.
const (
	None     Way = "none"
	ByTime   Way = "by time"
	ByPeers  Way = "by peers"
	Gradient Way = "latency gradient"
	Reports  Way = "own reports"
)

// Ways are all ways.
var Ways = []Way{None, ByTime, ByPeers, Gradient, Reports}

// Scenario is a fleet, its load and what starts.
type Scenario struct {
	Name           string
	VMs, Upstreams int
	// Load is the requests that run on average, as a share of all places.
	Load float64
	// Starts returns which upstreams start at a time.
	Starts func(now time.Duration) []int
	// Forget is when all VMs lose what they know; zero for never.
	Forget time.Duration
}

const (
	tick = 5 * time.Millisecond
	// runTime is the length of a run; upstreams start from startTime on.
	runTime, startTime = 14 * time.Second, 4 * time.Second
	// service is the usual time of a request, and first that of the first part of an answer.
	service, first = time.Second, 60 * time.Millisecond
	// places is the number of requests that an upstream runs at once, and queue the number that it
	// queues.
	places, queue = 32, 8
	// warmTime is how long an upstream is slow after its start, and warmFactor the multiple of the
	// usual time that its work takes at first.
	warmTime, warmFactor = 3 * time.Second, 4.0
	// newTime is how long after its start an upstream counts as new in the results, and lateFactor
	// the multiple of the usual first part from which an answer is late.
	newTime, lateFactor = 5 * time.Second, 5.0
	// delay is the one-way latency to an upstream.
	delay = 10 * time.Millisecond
)

// at returns the given upstreams at one time, in turn after each interval.
func at(interval time.Duration, groups ...[]int) func(time.Duration) []int {
	return func(now time.Duration) []int {
		for i, group := range groups {
			if now == startTime+time.Duration(i)*interval {
				return group
			}
		}
		return nil
	}
}

func upTo(n int) []int {
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	return all
}

// Scenarios are the simulated scenarios.
var Scenarios = []Scenario{
	{Name: "release, 1 VM", VMs: 1, Upstreams: 12, Load: 0.6, Starts: at(time.Second, []int{0}, []int{1}, []int{2}, []int{3})},
	{Name: "release, 6 VMs", VMs: 6, Upstreams: 12, Load: 0.6, Starts: at(time.Second, []int{0}, []int{1}, []int{2}, []int{3})},
	{Name: "scale-out into a burst, 6 VMs", VMs: 6, Upstreams: 12, Load: 0.95, Starts: at(time.Second, upTo(3))},
	{Name: "a third returns, 82 VMs", VMs: 82, Upstreams: 30, Load: 0.6, Starts: at(time.Second, upTo(10))},
	{Name: "down and up by turns, 6 VMs", VMs: 6, Upstreams: 12, Load: 0.6, Starts: at(2*time.Second, []int{0}, []int{0}, []int{0}, []int{0})},
	{Name: "all VMs start anew, 82 VMs", VMs: 82, Upstreams: 30, Load: 0.8, Starts: at(time.Second), Forget: startTime},
	{Name: "a third returns, 300 VMs", VMs: 300, Upstreams: 30, Load: 0.6, Starts: at(time.Second, upTo(10))},
}

// Row holds the results of a way in one scenario, over several seeds.
type Row struct {
	Scenario string `json:"scenario"`
	Way      Way    `json:"way"`
	Runs     int    `json:"runs"`
	// Flooded is the share of the requests to new upstreams that were answered late or rejected,
	// and Idle the share of the time of their places that was unused while others were full.
	Flooded float64 `json:"flooded"`
	Idle    float64 `json:"idle"`
	// Late is the share of all requests that were answered late or rejected, 0 to 1.
	Late float64 `json:"late"`
}

// Run simulates all scenarios with all ways, with the seeds 1 to runs.
func Run(runs int) []Row {
	return experiment.Compare(Scenarios, Ways, func(s Scenario, way Way) Row { return measure(s, way, runs) })
}

func measure(s Scenario, way Way, runs int) Row {
	row := Row{Scenario: s.Name, Way: way, Runs: runs}
	for seed := range uint64(runs) {
		sim := newSimulation(s, way, seed+1)
		sim.simulate()
		row.Flooded += float64(sim.newBad) / float64(max(sim.newSent, 1)) / float64(runs)
		row.Idle += sim.idle / max(sim.room, 1) / float64(runs)
		row.Late += float64(sim.bad) / float64(max(sim.sent, 1)) / float64(runs)
	}
	return row
}

// event is something that happens to a request at a time.
type event struct {
	at time.Duration
	do func()
}

// target is an upstream.
type target struct {
	running   int
	startedAt time.Duration
	life      int
}

// view is what a VM knows of an upstream.
type view struct {
	inFlight, reported int
	window             slowstart.Window
	beganAt            time.Duration
	fastest            float64
}

type simulation struct {
	Scenario
	way     Way
	rng     *rand.Rand
	now     time.Duration
	targets []target
	views   [][]view
	peers   []slowstart.Peers
	events  map[time.Duration][]event

	sent, bad, newSent, newBad int
	idle, room                 float64
}

func newSimulation(s Scenario, way Way, seed uint64) *simulation {
	sim := &simulation{
		Scenario: s, way: way, rng: rand.New(rand.NewPCG(seed, 1)), targets: make([]target, s.Upstreams),
		peers: make([]slowstart.Peers, s.VMs), events: make(map[time.Duration][]event),
	}
	for i := range sim.targets {
		sim.targets[i].startedAt = -time.Hour
	}
	for range s.VMs {
		sim.views = append(sim.views, make([]view, s.Upstreams))
	}
	return sim
}

// clock returns the time of the simulation as a point in time.
func clock(now time.Duration) time.Time { return time.Unix(1, 0).Add(now) }

func (s *simulation) simulate() {
	perTick := s.Load * float64(s.Upstreams*places) * tick.Seconds() / service.Seconds()
	for ; s.now < runTime; s.now += tick {
		for _, e := range s.events[s.now] {
			e.do()
		}
		delete(s.events, s.now)
		for _, u := range s.Starts(s.now) {
			s.start(u)
		}
		if s.Forget > 0 && s.now == s.Forget {
			for vm := range s.VMs {
				s.peers[vm] = slowstart.Peers{}
				clear(s.views[vm])
			}
		}
		for range s.poisson(perTick) {
			s.place(s.rng.IntN(s.VMs))
		}
		s.measureIdle()
	}
}

// start ends an upstream with all that it runs and starts it again.
func (s *simulation) start(u int) {
	s.targets[u] = target{startedAt: s.now, life: s.targets[u].life + 1}
	for vm := range s.VMs {
		v := &s.views[vm][u]
		*v = view{beganAt: s.now}
		v.window.Begin(clock(s.now))
	}
}

// measureIdle adds up the unused places of new upstreams while others are full.
func (s *simulation) measureIdle() {
	full := false
	for u := range s.targets {
		full = full || s.targets[u].running >= places
	}
	for u := range s.targets {
		if t := &s.targets[u]; s.isNew(u) {
			s.room += places
			if full {
				s.idle += float64(max(places-t.running, 0))
			}
		}
	}
}

func (s *simulation) isNew(u int) bool { return s.now-s.targets[u].startedAt < newTime }

// place sends a request to the upstream with the least known load.
func (s *simulation) place(vm int) {
	isNew := 0
	for u := range s.views[vm] {
		if s.views[vm][u].window.Active() {
			isNew++
		}
	}
	limited := !slowstart.MostAreNew(isNew, s.Upstreams)
	best, least := 0, math.Inf(1)
	begin := s.rng.IntN(s.Upstreams)
	for i := range s.Upstreams {
		u := (begin + i) % s.Upstreams
		v := &s.views[vm][u]
		cost := float64(max(v.reported, v.inFlight)) / places
		if limited {
			cost += s.excess(v)
		}
		if cost < least {
			best, least = u, cost
		}
	}
	s.send(vm, best)
}

// excess returns the cost of a further request to a new upstream, in service times.
func (s *simulation) excess(v *view) float64 {
	switch s.way {
	case ByPeers, Gradient:
		return v.window.Excess(v.inFlight)
	case ByTime:
		if allowed := 1 + float64(places)*(s.now-v.beganAt).Seconds()/newTime.Seconds(); v.window.Active() && float64(v.inFlight) >= allowed {
			return float64(v.inFlight) / allowed
		}
	case Reports:
		if v.window.Active() && v.reported == 0 && v.inFlight > 0 {
			return 1
		}
	}
	return 0
}

// send sends a request to an upstream, which runs, queues or rejects it.
func (s *simulation) send(vm, u int) {
	v, t := &s.views[vm][u], &s.targets[u]
	isNew, life, sentAt := s.isNew(u), t.life, s.now
	v.inFlight++
	s.sent++
	if isNew {
		s.newSent++
	}
	if t.running >= places+queue {
		s.count(isNew)
		s.after(2*delay, func() {
			if s.targets[u].life == life && v.inFlight > 0 {
				v.inFlight--
				v.window.Reject(clock(sentAt), clock(s.now))
				v.reported = places
			}
		})
		return
	}
	t.running++
	age := min((s.now-t.startedAt).Seconds()/warmTime.Seconds(), 1)
	warm := 1 + (warmFactor-1)*(1-age)
	slowness := warm * (0.7 + float64(t.running)/places/2) * (0.8 + 0.4*s.rng.Float64())
	if queued := t.running - places; queued > 0 {
		slowness += float64(queued) / places * service.Seconds() / first.Seconds()
	}
	if slowness > lateFactor {
		s.count(isNew)
	}
	s.after(2*delay+time.Duration(slowness*float64(first)), func() { s.answer(vm, u, life, slowness, sentAt) })
	s.after(2*delay+time.Duration(warm*(0.7+float64(min(t.running, places))/places/2)*float64(service)), func() {
		if s.targets[u].life == life {
			s.targets[u].running--
			v.inFlight = max(v.inFlight-1, 0)
		}
	})
}

func (s *simulation) count(isNew bool) {
	s.bad++
	if isNew {
		s.newBad++
	}
}

// answer tells a VM of the first part of an answer, with the upstream's report.
func (s *simulation) answer(vm, u, life int, slowness float64, sentAt time.Duration) {
	v, p := &s.views[vm][u], &s.peers[vm]
	if s.targets[u].life != life {
		return
	}
	v.reported = s.targets[u].running
	if !v.window.Active() {
		p.Observe(slowness, clock(s.now))
		return
	}
	slow := p.IsSlow(slowness, clock(s.now))
	if s.way == Gradient {
		if v.fastest == 0 || slowness < v.fastest {
			v.fastest = slowness
		}
		slow = slowness > slowstart.Tolerance*v.fastest
	}
	usual := int(s.Load*places)/s.VMs + 1
	v.window.Answer(slow, usual, clock(sentAt), clock(s.now))
}

func (s *simulation) after(d time.Duration, do func()) {
	due := s.now + (d/tick+1)*tick
	s.events[due] = append(s.events[due], event{due, do})
}

func (s *simulation) poisson(mean float64) int {
	n, p, least := 0, s.rng.Float64(), math.Exp(-mean)
	for p > least {
		n++
		p *= s.rng.Float64()
	}
	return n
}
