package exposure

import (
	"math"
	"math/rand/v2"

	"gonum.org/v1/gonum/stat/distuv"

	"github.com/poplarshore/poplarshore/experiment"
	"github.com/poplarshore/poplarshore/rollout"
)

// FalseStops is how often good versions are stopped.
type FalseStops struct {
	Case string `json:"case"`
	// Months is the simulated time of all seeds together, in months of 30 days.
	Months float64 `json:"months"`
	// Tests is the number of roll-outs, or of months watched.
	Tests int `json:"tests"`
	// Stops is the number of false stops, PerMonth their rate.
	Stops    int     `json:"stops"`
	PerMonth float64 `json:"per_month"`
	// Naive is the number of tests in which a z test at one in a thousand,
	// repeated at each look, would have stopped the version.
	Naive int `json:"naive"`
	// Minutes is the time that a roll-out took.
	Minutes experiment.Summary `json:"minutes"`
}

const (
	watchedMonths   = 4
	rolloutsAMonth  = 30
	rolloutMonths   = 2
	naiveDeviations = 3.09
	naiveLeast      = 30
)

// MeasureWatch watches a good version for watchedMonths for each seed. Burst is
// the standard deviation, as a natural logarithm, of a slow change of its rates
// of errors, slow answers and low ratings.
func MeasureWatch(name string, burst float64, seeds int) FalseStops {
	out := FalseStops{Case: name, Months: float64(seeds * watchedMonths), Tests: seeds * watchedMonths}
	for seed := uint64(1); seed <= uint64(seeds); seed++ {
		out.Stops += watchMonths(burst, seed)
	}
	out.PerMonth = float64(out.Stops) / out.Months
	return out
}

// watchMonths returns the number of alarms; after each the watch begins anew.
func watchMonths(burst float64, seed uint64) int {
	r := rand.New(rand.NewPCG(seed, 6))
	watch := rollout.NewWatch(rollout.WatchOptions{Threshold: watchThreshold})
	alarms, state := 0, 0.0
	for range watchedMonths * secondsPerMonth / watchEvery {
		state = slowChange(r, state)
		verdict := watch.Observe(steadyCounts(r, math.Exp(burst*state)))
		if verdict.Bad {
			alarms++
			watch = rollout.NewWatch(rollout.WatchOptions{Threshold: watchThreshold})
		}
	}
	return alarms
}

// slowChange is a first-order autoregression of unit variance that forgets over
// an hour.
func slowChange(r *rand.Rand, state float64) float64 {
	const keep = 1 - float64(watchEvery)/3600
	return keep*state + math.Sqrt(1-keep*keep)*r.NormFloat64()
}

// steadyCounts draws what a good version shows in watchEvery seconds.
func steadyCounts(r *rand.Rand, factor float64) rollout.Counts {
	requests := poissonMany(r, requestsPerSecond*watchEvery)
	counts := rollout.Counts{
		Requests: requests,
		Errors:   binomial(r, requests, Good.Errors*factor),
		Slow:     binomial(r, requests, Good.Slow*factor),
		Rated:    binomial(r, requests, ratedShare),
	}
	counts.Low = binomial(r, counts.Rated, Good.Low*factor)
	counts.RatingSum = lowRating*float64(counts.Low) + goodRating*float64(counts.Rated-counts.Low)
	return counts
}

func poissonMany(r *rand.Rand, mean float64) int64 {
	return int64(distuv.Poisson{Lambda: mean, Src: r}.Rand())
}

func binomial(r *rand.Rand, n int64, p float64) int64 {
	if n == 0 {
		return 0
	}
	return int64(distuv.Binomial{N: float64(n), P: min(1, p), Src: r}.Rand())
}

// MeasureRollouts rolls out equally good versions, rolloutsAMonth a month.
func MeasureRollouts(seeds int) FalseStops {
	out := FalseStops{Case: "roll-outs of an equally good version", Months: float64(seeds * rolloutMonths)}
	var minutes []float64
	for seed := uint64(1); seed <= uint64(seeds); seed++ {
		for i := range uint64(rolloutMonths * rolloutsAMonth) {
			s := Scenario{Plan: staged, BadAtStep: len(staged.Steps)}
			sim := newSimulation(s, Good, seed<<16+i)
			sim.observed = 0
			sim.run()
			out.Tests++
			out.Stops += int(one(sim.row.Phase != rollout.Done || len(sim.row.Stopped) > 0))
			out.Naive += int(one(sim.naive))
			minutes = append(minutes, float64(sim.badAt)/60)
		}
	}
	out.PerMonth = float64(out.Stops) / out.Months
	out.Minutes = experiment.Summarise(minutes)
	return out
}

// naiveAlarm tells whether a z test of two shares finds the new version worse.
func naiveAlarm(fresh, old rollout.Counts) bool {
	return zAlarm(fresh.Errors, fresh.Requests, old.Errors, old.Requests) ||
		zAlarm(fresh.Slow, fresh.Requests, old.Slow, old.Requests) ||
		zAlarm(fresh.Low, fresh.Rated, old.Low, old.Rated)
}

func zAlarm(k1, n1, k2, n2 int64) bool {
	if n1 < naiveLeast || n2 < naiveLeast {
		return false
	}
	p := float64(k1+k2) / float64(n1+n2)
	deviation := math.Sqrt(p * (1 - p) * (1/float64(n1) + 1/float64(n2)))
	difference := float64(k1)/float64(n1) - float64(k2)/float64(n2)
	return deviation > 0 && difference > naiveDeviations*deviation
}
