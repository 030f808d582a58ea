package exposure

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/rollout"
)

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// late is a rating on its way.
type late struct {
	vm      int
	version model.VersionID
	score   float64
}

// simulation is one run of a scenario with one fault.
type simulation struct {
	scenario Scenario
	fault    Behaviour
	rand     *rand.Rand

	guards  []*rollout.Guard
	row     rollout.Progress
	pending [][]rollout.Progress // rows on their way, by the second they arrive
	targets [][]int              // the VMs that they reach
	ratings [][]late             // ratings on their way, by the second they arrive
	watch   *rollout.Watch
	deltas  *rollout.Deltas
	watched rollout.Verdict

	// observed is how long the run goes on after the version turned bad.
	observed time.Duration

	second  int
	keys    int
	badAt   int // second from which the version is bad, or -1
	exposed int
	naive   bool
	stopped int // second in which the last bad request was served
}

func newSimulation(s Scenario, fault Behaviour, seed uint64) *simulation {
	seconds := int(horizon.Seconds()) + ratingLagMin + ratingLagSpread + rowDelaySpread + 2
	sim := &simulation{
		scenario: s, fault: fault, rand: rand.New(rand.NewPCG(seed, 3)),
		row:     rollout.Begin(s.Plan, epoch).WithBaseline(history(seed)),
		pending: make([][]rollout.Progress, seconds), targets: make([][]int, seconds), ratings: make([][]late, seconds),
		watch: rollout.NewWatch(rollout.WatchOptions{Threshold: watchThreshold}), deltas: rollout.NewDeltas(), badAt: -1, observed: observed,
	}
	for _, p := range places {
		sim.guards = append(sim.guards, rollout.NewGuard(s.Plan, sim.row, p.vm, p.domain, rollout.GuardOptions{}))
	}
	return sim
}

// history is what was seen of the old version in the time before the roll-out.
func history(seed uint64) rollout.Counts {
	r := rand.New(rand.NewPCG(seed, 5))
	var counts rollout.Counts
	for range historyRequests {
		out := Good.draw(r)
		counts.Requests++
		counts.Errors += one(out.failed)
		counts.Slow += one(out.latency == slowLatency)
		if r.Float64() < ratedShare {
			counts.Rated++
			counts.RatingSum += out.score
			counts.Low += one(out.score < lowBelow)
		}
	}
	return counts
}

func one(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

// watchThreshold allows one false alarm in a hundred months for the one watch.
var watchThreshold = rollout.ThresholdFor(0.01, 1, secondsPerMonth/watchEvery)

const secondsPerMonth = 30 * 24 * 3600

func (s *simulation) now() time.Time {
	return epoch.Add(time.Duration(s.second) * time.Second)
}

// run returns the number of requests that the bad version served, and the
// seconds from its turning bad to the last of them.
func (s *simulation) run() (exposed int, took float64) {
	for s.second = 0; s.second < int(horizon.Seconds()); s.second++ {
		if s.badAt >= 0 && s.second > s.badAt+int(s.observed.Seconds()) {
			break
		}
		s.turn()
		s.deliver()
		s.serve()
		if s.second%decideEvery == 0 {
			s.decide()
		}
	}
	if s.badAt < 0 {
		return 0, 0
	}
	return s.exposed, float64(s.stopped - s.badAt)
}

// turn makes the version bad where the scenario says so.
func (s *simulation) turn() {
	if s.badAt >= 0 {
		return
	}
	last := len(s.scenario.Plan.Steps)
	switch {
	case s.scenario.BadAtStep < last && s.row.Step >= s.scenario.BadAtStep:
		s.badAt = s.second
	case s.row.Phase == rollout.Done && s.now().Sub(s.row.HeldSince) >= s.scenario.BadAfter:
		s.badAt = s.second
	}
}

func (s *simulation) deliver() {
	for i, row := range s.pending[s.second] {
		s.guards[s.targets[s.second][i]].Install(row)
	}
	for _, r := range s.ratings[s.second] {
		s.guards[r.vm].RecordRating(r.version, r.score)
	}
}

func (s *simulation) serve() {
	for range poisson(s.rand, requestsPerSecond) {
		s.keys++
		i := s.rand.IntN(len(places))
		version, err := s.guards[i].Assign(strconv.Itoa(s.keys), nil)
		if err != nil {
			continue
		}
		behaviour := Good
		if version == s.scenario.Plan.To && s.badAt >= 0 {
			behaviour = s.fault
			s.exposed++
			s.stopped = s.second
		}
		out := behaviour.draw(s.rand)
		s.guards[i].RecordAttempt(version, out.failed, out.latency)
		if !out.failed && s.rand.Float64() < ratedShare {
			at := s.second + ratingLagMin + s.rand.IntN(ratingLagSpread)
			s.ratings[at] = append(s.ratings[at], late{i, version, out.score})
		}
	}
}

func (s *simulation) decide() {
	reports := make([]rollout.Report, len(s.guards))
	for i, g := range s.guards {
		reports[i] = g.Report(s.now())
	}
	if s.second%watchEvery == 0 {
		s.watched = s.watch.Observe(s.deltas.Added(reports, func(r rollout.Report) rollout.Counts { return r.NewCounts }))
	}
	s.lookNaively(reports)
	decision := rollout.Decide(rollout.Input{
		Plan: s.scenario.Plan, Row: s.row, Domains: domains, Reports: reports, WatchVerdict: s.watched, Now: s.now(),
	}, rollout.Options{})
	if !decision.Changed {
		return
	}
	s.row = decision.Row
	for i := range s.guards {
		at := s.second + 1 + s.rand.IntN(rowDelaySpread)
		s.pending[at] = append(s.pending[at], s.row)
		s.targets[at] = append(s.targets[at], i)
	}
}

// lookNaively notes whether a repeated z test would have stopped the version.
func (s *simulation) lookNaively(reports []rollout.Report) {
	var fresh, old rollout.Counts
	for _, r := range reports {
		fresh, old = fresh.Add(r.NewCounts), old.Add(r.OldCounts)
	}
	s.naive = s.naive || naiveAlarm(fresh, old)
}

// poisson draws the number of arrivals in a second.
func poisson(r *rand.Rand, mean float64) int {
	n, left := 0, mean
	for {
		left -= -math.Log(1 - r.Float64())
		if left < 0 {
			return n
		}
		n++
	}
}
