// Package cold measures how VMs that divide a rate of requests to cold upstreams exceed the
// bound for any one second, and how much of the rate they leave unused while requests wait.
//
// Requests arrive at random at unevenly loaded VMs and wait for a moment for an upstream that
// their VM may send to. All upstreams stay cold. The simulation advances in ticks.
package cold

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/poplarshore/poplarshore/experiment"
	"github.com/poplarshore/poplarshore/limit"
)

// Way is a way to divide the rate among the VMs.
type Way string

// The ways: a grant for each request in turn, a token bucket with an even part of the rate on
// each VM, and one VM that alone sends to an upstream.
const (
	Turns       Way = "grants in turn"
	Buckets     Way = "even bucket"
	Responsible Way = "one VM for each upstream"
)

// Ways are all ways.
var Ways = []Way{Turns, Buckets, Responsible}

// Scenario is a fleet and its load.
type Scenario struct {
	Name           string
	VMs, Upstreams int
	// Load is the number of requests, as a multiple of what all upstreams may get.
	Load float64
	// Lagging is the share of the VMs whose list of VMs lacks the last Missing ones.
	Lagging float64
	Missing int
}

// Scenarios are the simulated scenarios.
var Scenarios = []Scenario{
	{Name: "1 VM, 1 upstream", VMs: 1, Upstreams: 1, Load: 2},
	{Name: "6 VMs, 1 upstream", VMs: 6, Upstreams: 1, Load: 2},
	{Name: "6 VMs, 10 upstreams", VMs: 6, Upstreams: 10, Load: 2},
	{Name: "82 VMs, 1 upstream", VMs: 82, Upstreams: 1, Load: 2},
	{Name: "82 VMs, 1 upstream, load 20", VMs: 82, Upstreams: 1, Load: 20},
	{Name: "82 VMs, 20 upstreams", VMs: 82, Upstreams: 20, Load: 2},
	{Name: "82 VMs, 20 upstreams, half of the lists lack 5", VMs: 82, Upstreams: 20, Load: 2, Lagging: 0.5, Missing: 5},
	{Name: "82 VMs, 20 upstreams, 1 in 10 lists lacks 5", VMs: 82, Upstreams: 20, Load: 2, Lagging: 0.1, Missing: 5},
	{Name: "300 VMs, 20 upstreams", VMs: 300, Upstreams: 20, Load: 2},
}

const (
	tick = 10 * time.Millisecond
	// runTime is the length of a run. Only its second half counts.
	runTime = 20 * time.Second
	// waitTime is how long a request waits for an upstream before it is refused.
	waitTime = 250 * time.Millisecond
	// rate is the requests per second granted for an upstream, and bound the number that it may get
	// in any second.
	rate, bound = 15.0, 27
	// span is the time for which a grant can be used.
	span = 500 * time.Millisecond
)

// Row holds the results of a way in one scenario, over several seeds.
type Row struct {
	Scenario string `json:"scenario"`
	Way      Way    `json:"way"`
	Runs     int    `json:"runs"`
	// Most is the largest number of requests that an upstream got in any second, and Beyond the
	// share of the upstreams that got more than the bound in some second, 0 to 1.
	Most   int     `json:"most"`
	Beyond float64 `json:"beyond"`
	// Unused is the share of the rate that was not used while requests were refused, 0 to 1.
	Unused float64 `json:"unused"`
}

// Run simulates all scenarios with all ways, with the seeds 1 to runs.
func Run(runs int) []Row {
	return experiment.Compare(Scenarios, Ways, func(scenario Scenario, way Way) Row { return measure(scenario, way, runs) })
}

func measure(scenario Scenario, way Way, runs int) Row {
	row := Row{Scenario: scenario.Name, Way: way, Runs: runs}
	for seed := range uint64(runs) {
		s := newSimulation(scenario, way, seed+1)
		s.simulate()
		for _, sent := range s.sent {
			most := mostInSecond(sent)
			row.Most = max(row.Most, most)
			if most > bound {
				row.Beyond += 1 / float64(runs*scenario.Upstreams)
			}
			row.Unused += max(1-float64(len(sent))/(rate*runTime.Seconds()/2), 0) / float64(runs*scenario.Upstreams)
		}
	}
	return row
}

// mostInSecond returns the largest number of times, which are in order, in any second.
func mostInSecond(times []time.Duration) int {
	most, oldest := 0, 0
	for i, at := range times {
		for at-times[oldest] >= time.Second {
			oldest++
		}
		most = max(most, i-oldest+1)
	}
	return most
}

// view is what a VM may send to one upstream.
type view struct {
	grants limit.Grants
	// recent holds when the VM sent requests within the span of a grant.
	recent []time.Duration
	// tokens and filledAt are the state of a token bucket that holds one request.
	tokens   float64
	filledAt time.Duration
	// perSecond is the rate of the bucket.
	perSecond float64
}

type simulation struct {
	Scenario
	way     Way
	rng     *rand.Rand
	now     time.Duration
	views   [][]view
	weights []float64
	// waiting holds the arrival times of waiting requests by VM.
	waiting [][]time.Duration
	// sent holds the times of the requests to each upstream in the second half of the run.
	sent [][]time.Duration
}

func newSimulation(s Scenario, way Way, seed uint64) *simulation {
	sim := &simulation{
		Scenario: s, way: way, rng: rand.New(rand.NewPCG(seed, 1)),
		waiting: make([][]time.Duration, s.VMs), sent: make([][]time.Duration, s.Upstreams),
	}
	// The shared clock may show any time.
	sim.now = time.Duration(sim.rng.Int64N(int64(24 * time.Hour)))
	offsets := make([]int, s.Upstreams)
	for i := range offsets {
		offsets[i] = sim.rng.IntN(1 << 20)
	}
	sum := 0.0
	for vm := range s.VMs {
		sum += math.Pow(sim.rng.Float64(), 2) + 0.05
		sim.weights = append(sim.weights, sum)
		known := s.VMs
		if vm < s.VMs-s.Missing && sim.rng.Float64() < s.Lagging {
			known -= s.Missing
		}
		views := make([]view, s.Upstreams)
		for u := range views {
			views[u] = newView(way, vm, known, offsets[u], sim.now)
		}
		sim.views = append(sim.views, views)
	}
	return sim
}

func newView(way Way, vm, known, offset int, now time.Duration) view {
	v := view{grants: limit.Grants{PerSecond: rate, VMs: known, Rank: (vm + offset) % known, Span: span}, tokens: 1, filledAt: now}
	switch way {
	case Buckets:
		v.perSecond = rate / float64(known)
	case Responsible:
		if offset%known == vm {
			v.perSecond = rate
		} else {
			v.tokens = 0
		}
	}
	return v
}

// take uses what the VM may send now, and reports whether it may.
func (v *view) take(way Way, now time.Duration) bool {
	if way == Turns {
		for len(v.recent) > 0 && now-v.recent[0] >= span {
			v.recent = v.recent[1:]
		}
		if len(v.recent) >= v.grants.Within(now) {
			return false
		}
		v.recent = append(v.recent, now)
		return true
	}
	v.tokens = min(v.tokens+(now-v.filledAt).Seconds()*v.perSecond, 1)
	v.filledAt = now
	if v.tokens < 1 {
		return false
	}
	v.tokens--
	return true
}

func (s *simulation) simulate() {
	begin := s.now
	perTick := s.Load * rate * float64(s.Upstreams) * tick.Seconds()
	for ; s.now < begin+runTime; s.now += tick {
		for range s.poisson(perTick) {
			vm := s.drawVM()
			s.waiting[vm] = append(s.waiting[vm], s.now)
		}
		for vm := range s.waiting {
			s.serve(vm, s.now >= begin+runTime/2)
		}
	}
}

// serve sends the waiting requests of a VM that may be sent, and refuses those that have waited
// for too long.
func (s *simulation) serve(vm int, counts bool) {
	waiting := s.waiting[vm]
	for len(waiting) > 0 && s.now-waiting[0] >= waitTime {
		waiting = waiting[1:]
	}
	first := s.rng.IntN(s.Upstreams)
	for i := range s.Upstreams {
		u := (first + i) % s.Upstreams
		for len(waiting) > 0 && s.views[vm][u].take(s.way, s.now) {
			waiting = waiting[1:]
			if counts {
				s.sent[u] = append(s.sent[u], s.now)
			}
		}
	}
	s.waiting[vm] = waiting
}

func (s *simulation) drawVM() int {
	draw := s.rng.Float64() * s.weights[len(s.weights)-1]
	for i, w := range s.weights {
		if draw < w {
			return i
		}
	}
	return 0
}

func (s *simulation) poisson(mean float64) int {
	n, p, least := 0, s.rng.Float64(), math.Exp(-mean)
	for p > least {
		n++
		p *= s.rng.Float64()
	}
	return n
}
