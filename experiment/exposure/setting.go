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
	// Ratings come after ratingLagMin and up to ratingLagSpread more, in seconds.
	ratingLagMin    = 2
	ratingLagSpread = 8
	// decideEvery is the period of the holder, in seconds.
	decideEvery = 2
	// Rows reach a VM after 1 s and up to rowDelaySpread more, in seconds.
	rowDelaySpread = 3
	// watchEvery is the period of the watch, in seconds.
	watchEvery = 10
	// horizon bounds a run; a run ends observed after the version turned bad.
	horizon  = 24 * time.Hour
	observed = 40 * time.Minute
)

const (
	lowBelow = 0.5
	// historyRequests were served by the old version before the roll-out.
	historyRequests = 10_000
)

// place is a VM and its failure domain.
type place struct {
	vm     vm.ID
	domain domain.ID
}

var places = []place{
	{"vm1", "a"}, {"vm2", "a"}, {"vm3", "b"}, {"vm4", "b"}, {"vm5", "b"}, {"vm6", "c"}, {"vm7", "c"},
}

var domains = []domain.ID{"a", "b", "c"}

// Behaviour is how a version does.
type Behaviour struct {
	Name string
	// Errors and Slow are parts of the requests.
	Errors, Slow float64
	// Low is the part of answers that are of low quality.
	Low float64
}

// Good is a version that does well.
var Good = Behaviour{Name: "good", Errors: 0.002, Slow: 0.02, Low: 0.04}

// Faults are the ways in which versions are bad.
var Faults = []Behaviour{
	{Name: "crash", Errors: 1},
	{Name: "error 5%", Errors: 0.05, Slow: 0.02, Low: 0.04},
	{Name: "slow 40%", Errors: 0.002, Slow: 0.4, Low: 0.04},
	{Name: "quality, 30% low", Errors: 0.002, Slow: 0.02, Low: 0.3},
}

const (
	goodRating, goodSpread = 0.92, 0.05
	lowRating, lowSpread   = 0.35, 0.08
	fastLatency            = time.Second
	slowLatency            = 20 * time.Second
)

// result is what became of one request.
type result struct {
	failed  bool
	latency time.Duration
	score   float64
}

func (b Behaviour) draw(r *rand.Rand) result {
	out := result{failed: r.Float64() < b.Errors, latency: fastLatency}
	if r.Float64() < b.Slow {
		out.latency = slowLatency
	}
	mean, spread := goodRating, goodSpread
	if r.Float64() < b.Low {
		mean, spread = lowRating, lowSpread
	}
	out.score = max(0, min(1, mean+spread*r.NormFloat64()))
	return out
}

// Scenario says when the new version turns bad.
type Scenario struct {
	Name string
	// Short names the scenario in figures.
	Short string
	Plan  rollout.Plan
	// BadAtStep is the step from whose start on the version is bad;
	// len(Plan.Steps) means BadAfter after the end of the roll-out.
	BadAtStep int
	BadAfter  time.Duration
}

func plan(steps ...rollout.Step) rollout.Plan {
	return rollout.Plan{ID: "r", Model: "draft", From: "old", To: "new", Steps: steps}
}

const dwell = 10 * 60 // seconds

var staged = plan(
	rollout.Step{Share: 0.05, DwellSeconds: dwell, Domains: domains[:1]},
	rollout.Step{Share: 0.05, DwellSeconds: dwell},
	rollout.Step{Share: 0.25, DwellSeconds: dwell},
	rollout.Step{Share: 1, DwellSeconds: dwell},
)

var flat = plan(rollout.Step{Share: 0.05, DwellSeconds: dwell}, rollout.Step{Share: 1, DwellSeconds: dwell})

// Scenarios are those of the experiment.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "bad from the start, 5% everywhere", Short: "from the start, everywhere", Plan: flat},
		{Name: "bad from the start, one domain first", Short: "from the start, one domain", Plan: staged},
		{Name: "turns bad at 25%", Short: "from 25% on", Plan: staged, BadAtStep: 2},
		{Name: "turns bad an hour after", Short: "an hour after", Plan: staged, BadAtStep: len(staged.Steps), BadAfter: time.Hour},
	}
}
