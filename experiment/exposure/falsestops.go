package exposure

import (
	"math"
	"math/rand/v2"

	"gonum.org/v1/gonum/stat/distuv"

	"github.com/poplarshore/poplarshore/experiment"
	"github.com/poplarshore/poplarshore/rollout"
)

// FalseStops counts how often good versions are stopped by mistake.
type FalseStops struct {
	Case string `json:"case"`
	// Months is the simulated time of all seeds together, in months of 30 days.
	Months float64 `json:"months"`
	// Tests is the number of roll-outs, or the number of months watched.
	Tests int `json:"tests"`
	// Stops is the number of false stops.
	Stops int `json:"stops"`
	// PerMonth is the number of false stops per month.
	PerMonth float64 `json:"per_month"`
	// ZTestStops is the number of roll-outs in which a one-sided z test with a
	// significance level of 0.001, repeated at each decision, would have stopped the
	// version.
	ZTestStops int `json:"naive"`
	// Minutes is the duration of a roll-out in minutes.
	Minutes experiment.Summary `json:"minutes"`
}

const (
	watchedMonthsPerSeed = 4
	rolloutsPerMonth     = 30
	rolloutMonthsPerSeed = 2
	// zTestThreshold is the one-sided critical value, in standard errors, for a
	// significance level of 0.001.
	zTestThreshold = 3.09
	// zTestMinRequests is the smallest sample of each version that is tested.
	zTestMinRequests = 30
)

// MeasureWatch counts the false alarms of a watch over a good version, for four months
// with each of the seeds 1 to seeds. The rates of errors, slow answers and low ratings
// vary slowly by a common factor; rateSigma is the standard deviation of its natural
// logarithm, and 0 means constant rates.
func MeasureWatch(name string, rateSigma float64, seeds int) FalseStops {
	stops := FalseStops{Case: name, Months: float64(seeds * watchedMonthsPerSeed), Tests: seeds * watchedMonthsPerSeed}
	for seed := uint64(1); seed <= uint64(seeds); seed++ {
		stops.Stops += countFalseAlarms(rateSigma, seed)
	}
	stops.PerMonth = float64(stops.Stops) / stops.Months
	return stops
}

// countFalseAlarms returns the number of alarms with one seed. The watch restarts after
// each alarm.
func countFalseAlarms(rateSigma float64, seed uint64) int {
	r := rand.New(rand.NewPCG(seed, 6))
	watch := rollout.NewWatch(rollout.WatchOptions{Threshold: watchThreshold})
	alarms, state := 0, 0.0
	for range watchedMonthsPerSeed * secondsPerMonth / watchPeriodSeconds {
		state = nextRateState(r, state)
		verdict := watch.Observe(drawGoodCounts(r, math.Exp(rateSigma*state)))
		if verdict.Bad {
			alarms++
			watch = rollout.NewWatch(rollout.WatchOptions{Threshold: watchThreshold})
		}
	}
	return alarms
}

// nextRateState returns the next value of a first-order autoregressive process with
// unit variance and a correlation time of one hour.
func nextRateState(r *rand.Rand, state float64) float64 {
	const correlation = 1 - float64(watchPeriodSeconds)/3600
	return correlation*state + math.Sqrt(1-correlation*correlation)*r.NormFloat64()
}

// drawGoodCounts draws the counts of a good version over watchPeriodSeconds. The rates
// of errors, slow answers and low ratings are multiplied by rateFactor.
func drawGoodCounts(r *rand.Rand, rateFactor float64) rollout.Counts {
	requests := drawPoissonLarge(r, requestsPerSecond*watchPeriodSeconds)
	counts := rollout.Counts{
		Requests: requests,
		Errors:   drawBinomial(r, requests, Good.ErrorRate*rateFactor),
		Slow:     drawBinomial(r, requests, Good.SlowRate*rateFactor),
		Rated:    drawBinomial(r, requests, ratedShare),
	}
	counts.Low = drawBinomial(r, counts.Rated, Good.LowRatingRate*rateFactor)
	counts.RatingSum = lowRatingMean*float64(counts.Low) + goodRatingMean*float64(counts.Rated-counts.Low)
	return counts
}

// drawPoissonLarge draws from the Poisson distribution, also with a large mean.
func drawPoissonLarge(r *rand.Rand, mean float64) int64 {
	return int64(distuv.Poisson{Lambda: mean, Src: r}.Rand())
}

func drawBinomial(r *rand.Rand, n int64, p float64) int64 {
	if n == 0 {
		return 0
	}
	return int64(distuv.Binomial{N: float64(n), P: min(1, p), Src: r}.Rand())
}

// MeasureRollouts counts the roll-outs of a new version, as good as the old one, that
// are stopped by mistake. It simulates 30 roll-outs per month, for two months with each
// of the seeds 1 to seeds.
func MeasureRollouts(seeds int) FalseStops {
	stops := FalseStops{Case: "roll-outs of an equally good version", Months: float64(seeds * rolloutMonthsPerSeed)}
	var minutes []float64
	for seed := uint64(1); seed <= uint64(seeds); seed++ {
		for i := range uint64(rolloutMonthsPerSeed * rolloutsPerMonth) {
			s := Scenario{Plan: stagedPlan, BadAtStep: len(stagedPlan.Steps)}
			sim := newSimulation(s, Good, seed<<16+i)
			sim.observationTime = 0
			sim.run()
			stops.Tests++
			stops.Stops += int(boolToInt64(sim.row.Phase != rollout.Done || len(sim.row.Stopped) > 0))
			stops.ZTestStops += int(boolToInt64(sim.zTestStopped))
			minutes = append(minutes, float64(sim.badAt)/60)
		}
	}
	stops.PerMonth = float64(stops.Stops) / stops.Months
	stops.Minutes = experiment.Summarise(minutes)
	return stops
}

// zTestFindsWorse reports whether a z test finds that the new version has more errors,
// slow answers or low ratings than the old one.
func zTestFindsWorse(newCounts, oldCounts rollout.Counts) bool {
	return shareIncreased(newCounts.Errors, newCounts.Requests, oldCounts.Errors, oldCounts.Requests) ||
		shareIncreased(newCounts.Slow, newCounts.Requests, oldCounts.Slow, oldCounts.Requests) ||
		shareIncreased(newCounts.Low, newCounts.Rated, oldCounts.Low, oldCounts.Rated)
}

// shareIncreased reports whether the new share of events is significantly higher than
// the old one. Samples that are too small are not tested.
func shareIncreased(newEvents, newTotal, oldEvents, oldTotal int64) bool {
	if newTotal < zTestMinRequests || oldTotal < zTestMinRequests {
		return false
	}
	pooledShare := float64(newEvents+oldEvents) / float64(newTotal+oldTotal)
	stdError := math.Sqrt(pooledShare * (1 - pooledShare) * (1/float64(newTotal) + 1/float64(oldTotal)))
	difference := float64(newEvents)/float64(newTotal) - float64(oldEvents)/float64(oldTotal)
	return stdError > 0 && difference > zTestThreshold*stdError
}
