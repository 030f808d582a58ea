package exposure

import (
	"math/rand/v2"
	"time"

	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/rollout"
	"github.com/poplarshore/poplarshore/vm"
)

const (
	requestsPerSecond = 40
	ratedShare        = 0.2
	// A rating arrives minRatingDelaySeconds after the answer, plus a uniformly
	// distributed delay below ratingDelaySpreadSeconds.
	minRatingDelaySeconds    = 2
	ratingDelaySpreadSeconds = 8
	// decisionPeriodSeconds is the interval between decisions of the job's holder.
	decisionPeriodSeconds = 2
	// A changed row reaches a VM after 1 s plus a uniformly distributed delay below
	// rowDelaySpreadSeconds.
	rowDelaySpreadSeconds = 3
	// watchPeriodSeconds is the interval between observations of the watch.
	watchPeriodSeconds = 10
	// maxRunTime bounds a run. A run ends earlier, observationTime after the version
	// turned bad.
	maxRunTime      = 24 * time.Hour
	observationTime = 40 * time.Minute
)

const (
	// lowRatingThreshold is the rating below which an answer counts as low.
	lowRatingThreshold = 0.5
	// historyRequests is the number of requests that the old version served before
	// the roll-out.
	historyRequests = 10_000
)

// placement is a VM and its failure domain.
type placement struct {
	vm     vm.ID
	domain domain.ID
}

var placements = []placement{
	{"vm1", "a"}, {"vm2", "a"}, {"vm3", "b"}, {"vm4", "b"}, {"vm5", "b"}, {"vm6", "c"}, {"vm7", "c"},
}

var domains = []domain.ID{"a", "b", "c"}

// Behaviour describes the error rate, speed and quality of a version.
type Behaviour struct {
	Name string
	// ErrorRate and SlowRate are shares of requests, from 0 to 1.
	ErrorRate, SlowRate float64
	// LowRatingRate is the share of answers of low quality, from 0 to 1.
	LowRatingRate float64
}

// Good is the behaviour of a good version.
var Good = Behaviour{Name: "good", ErrorRate: 0.002, SlowRate: 0.02, LowRatingRate: 0.04}

// Faults are the behaviours of bad versions.
var Faults = []Behaviour{
	{Name: "crash", ErrorRate: 1},
	{Name: "error 5%", ErrorRate: 0.05, SlowRate: 0.02, LowRatingRate: 0.04},
	{Name: "slow 40%", ErrorRate: 0.002, SlowRate: 0.4, LowRatingRate: 0.04},
	{Name: "quality, 30% low", ErrorRate: 0.002, SlowRate: 0.02, LowRatingRate: 0.3},
}

// Means and standard deviations of the ratings of good and of low answers, and the
// latencies of fast and of slow ones.
const (
	goodRatingMean, goodRatingStdDev = 0.92, 0.05
	lowRatingMean, lowRatingStdDev   = 0.35, 0.08
	fastLatency                      = time.Second
	slowLatency                      = 20 * time.Second
)

// outcome is the result of one request. Score is its rating, from 0 to 1.
type outcome struct {
	failed  bool
	latency time.Duration
	score   float64
}

func (b Behaviour) drawOutcome(r *rand.Rand) outcome {
	o := outcome{failed: r.Float64() < b.ErrorRate, latency: fastLatency}
	if r.Float64() < b.SlowRate {
		o.latency = slowLatency
	}
	mean, stdDev := goodRatingMean, goodRatingStdDev
	if r.Float64() < b.LowRatingRate {
		mean, stdDev = lowRatingMean, lowRatingStdDev
	}
	o.score = max(0, min(1, mean+stdDev*r.NormFloat64()))
	return o
}

// Scenario is a roll-out and the time at which its new version turns bad.
type Scenario struct {
	Name string
	// FigureLabel names the scenario in figures.
	FigureLabel string
	Plan        rollout.Plan
	// BadAtStep is the index of the step from whose start on the version is bad.
	// len(Plan.Steps) means that it turns bad BadAfter after the end of the
	// roll-out.
	BadAtStep int
	BadAfter  time.Duration
}

func newPlan(steps ...rollout.Step) rollout.Plan {
	return rollout.Plan{ID: "r", Model: "draft", From: "old", To: "new", Steps: steps}
}

// dwellSeconds is the minimum duration of a step.
const dwellSeconds = 10 * 60

// stagedPlan starts in one failure domain and then increases the share on all VMs.
var stagedPlan = newPlan(
	rollout.Step{Share: 0.05, DwellSeconds: dwellSeconds, Domains: domains[:1]},
	rollout.Step{Share: 0.05, DwellSeconds: dwellSeconds},
	rollout.Step{Share: 0.25, DwellSeconds: dwellSeconds},
	rollout.Step{Share: 1, DwellSeconds: dwellSeconds},
)

// twoStepPlan starts with 5% on all VMs and then goes to all requests.
var twoStepPlan = newPlan(rollout.Step{Share: 0.05, DwellSeconds: dwellSeconds}, rollout.Step{Share: 1, DwellSeconds: dwellSeconds})

// Scenarios returns the scenarios of the experiment.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "bad from the start, 5% everywhere", FigureLabel: "from the start, everywhere", Plan: twoStepPlan},
		{Name: "bad from the start, one domain first", FigureLabel: "from the start, one domain", Plan: stagedPlan},
		{Name: "turns bad at 25%", FigureLabel: "from 25% on", Plan: stagedPlan, BadAtStep: 2},
		{Name: "turns bad an hour after", FigureLabel: "an hour after", Plan: stagedPlan, BadAtStep: len(stagedPlan.Steps), BadAfter: time.Hour},
	}
}
