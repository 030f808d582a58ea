package exposure

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/rollout"
)

// epoch is the start time of every run.
var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// pendingRating is a rating that has not arrived yet. Its vm is an index into
// placements.
type pendingRating struct {
	vm      int
	version model.VersionID
	score   float64
}

// simulation is one run of a scenario with one fault.
type simulation struct {
	scenario Scenario
	fault    Behaviour
	rand     *rand.Rand

	guards         []*rollout.Guard
	row            rollout.Progress
	pendingRows    [][]rollout.Progress // undelivered rows by second of arrival
	rowTargets     [][]int              // the VMs that receive pendingRows, same indices
	pendingRatings [][]pendingRating    // undelivered ratings by second of arrival
	watch          *rollout.Watch
	deltas         *rollout.Deltas
	watchVerdict   rollout.Verdict

	// observationTime is how long the run continues after the version turned bad.
	observationTime time.Duration

	second        int
	sessions      int
	badAt         int // second from which the version is bad, or -1 before that
	exposed       int
	zTestStopped  bool
	lastExposedAt int // second in which the bad version last served a request
}

func newSimulation(scenario Scenario, fault Behaviour, seed uint64) *simulation {
	seconds := int(maxRunTime.Seconds()) + minRatingDelaySeconds + ratingDelaySpreadSeconds + rowDelaySpreadSeconds + 2
	sim := &simulation{
		scenario: scenario, fault: fault, rand: rand.New(rand.NewPCG(seed, 3)),
		row:         rollout.Begin(scenario.Plan, epoch).WithBaseline(baselineCounts(seed)),
		pendingRows: make([][]rollout.Progress, seconds), rowTargets: make([][]int, seconds), pendingRatings: make([][]pendingRating, seconds),
		watch: rollout.NewWatch(rollout.WatchOptions{Threshold: watchThreshold}), deltas: rollout.NewDeltas(), badAt: -1, observationTime: observationTime,
	}
	for _, p := range placements {
		sim.guards = append(sim.guards, rollout.NewGuard(scenario.Plan, sim.row, p.vm, p.domain, rollout.GuardOptions{}))
	}
	return sim
}

// baselineCounts draws the counts of the old version from before the roll-out.
func baselineCounts(seed uint64) rollout.Counts {
	r := rand.New(rand.NewPCG(seed, 5))
	var counts rollout.Counts
	for range historyRequests {
		o := Good.drawOutcome(r)
		counts.Requests++
		counts.Errors += boolToInt64(o.failed)
		counts.Slow += boolToInt64(o.latency == slowLatency)
		if r.Float64() < ratedShare {
			counts.Rated++
			counts.RatingSum += o.score
			counts.Low += boolToInt64(o.score < lowRatingThreshold)
		}
	}
	return counts
}

func boolToInt64(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

// watchThreshold is the threshold of a single watch with at most one false alarm in a
// hundred months.
var watchThreshold = rollout.ThresholdFor(0.01, 1, secondsPerMonth/watchPeriodSeconds)

const secondsPerMonth = 30 * 24 * 3600

func (s *simulation) now() time.Time {
	return epoch.Add(time.Duration(s.second) * time.Second)
}

// run simulates the roll-out. It returns the number of requests that the bad version
// served, and the seconds from its turning bad to the last of them. Both are 0 if the
// version did not turn bad.
func (s *simulation) run() (exposed int, secondsToStop float64) {
	for s.second = 0; s.second < int(maxRunTime.Seconds()); s.second++ {
		if s.badAt >= 0 && s.second > s.badAt+int(s.observationTime.Seconds()) {
			break
		}
		s.activateFault()
		s.deliverPending()
		s.serveRequests()
		if s.second%decisionPeriodSeconds == 0 {
			s.decide()
		}
	}
	if s.badAt < 0 {
		return 0, 0
	}
	return s.exposed, float64(s.lastExposedAt - s.badAt)
}

// activateFault makes the version bad from this second on if the scenario requires it.
func (s *simulation) activateFault() {
	if s.badAt >= 0 {
		return
	}
	stepCount := len(s.scenario.Plan.Steps)
	switch {
	case s.scenario.BadAtStep < stepCount && s.row.Step >= s.scenario.BadAtStep:
		s.badAt = s.second
	case s.row.Phase == rollout.Done && s.now().Sub(s.row.HeldSince) >= s.scenario.BadAfter:
		s.badAt = s.second
	}
}

// deliverPending delivers the rows and ratings that arrive in this second.
func (s *simulation) deliverPending() {
	for i, row := range s.pendingRows[s.second] {
		s.guards[s.rowTargets[s.second][i]].Install(row)
	}
	for _, rating := range s.pendingRatings[s.second] {
		s.guards[rating.vm].RecordRating(rating.version, rating.score)
	}
}

// serveRequests draws and serves the requests of this second.
func (s *simulation) serveRequests() {
	for range drawPoisson(s.rand, requestsPerSecond) {
		s.sessions++
		vmIndex := s.rand.IntN(len(placements))
		version, err := s.guards[vmIndex].Assign(strconv.Itoa(s.sessions), nil)
		if err != nil {
			continue
		}
		behaviour := Good
		if version == s.scenario.Plan.To && s.badAt >= 0 {
			behaviour = s.fault
			s.exposed++
			s.lastExposedAt = s.second
		}
		o := behaviour.drawOutcome(s.rand)
		s.guards[vmIndex].RecordAttempt(version, o.failed, o.latency)
		if !o.failed && s.rand.Float64() < ratedShare {
			at := s.second + minRatingDelaySeconds + s.rand.IntN(ratingDelaySpreadSeconds)
			s.pendingRatings[at] = append(s.pendingRatings[at], pendingRating{vmIndex, version, o.score})
		}
	}
}

// decide runs the periodic decision of the job's holder and sends a changed row to all
// VMs.
func (s *simulation) decide() {
	reports := make([]rollout.Report, len(s.guards))
	for i, g := range s.guards {
		reports[i] = g.Report(s.now())
	}
	if s.second%watchPeriodSeconds == 0 {
		s.watchVerdict = s.watch.Observe(s.deltas.Added(reports, func(r rollout.Report) rollout.Counts { return r.NewCounts }))
	}
	s.applyZTest(reports)
	decision := rollout.Decide(rollout.Input{
		Plan: s.scenario.Plan, Row: s.row, Domains: domains, Reports: reports, WatchVerdict: s.watchVerdict, Now: s.now(),
	}, rollout.Options{})
	if !decision.Changed {
		return
	}
	s.row = decision.Row
	for i := range s.guards {
		at := s.second + 1 + s.rand.IntN(rowDelaySpreadSeconds)
		s.pendingRows[at] = append(s.pendingRows[at], s.row)
		s.rowTargets[at] = append(s.rowTargets[at], i)
	}
}

// applyZTest records whether a z test, repeated at each decision, would have stopped
// the version.
func (s *simulation) applyZTest(reports []rollout.Report) {
	var newCounts, oldCounts rollout.Counts
	for _, r := range reports {
		newCounts, oldCounts = newCounts.Add(r.NewCounts), oldCounts.Add(r.OldCounts)
	}
	s.zTestStopped = s.zTestStopped || zTestFindsWorse(newCounts, oldCounts)
}

// drawPoisson draws from the Poisson distribution by adding up exponential intervals.
// Its running time is proportional to the mean.
func drawPoisson(r *rand.Rand, mean float64) int {
	arrivals, remaining := 0, mean
	for {
		remaining -= -math.Log(1 - r.Float64())
		if remaining < 0 {
			return arrivals
		}
		arrivals++
	}
}
