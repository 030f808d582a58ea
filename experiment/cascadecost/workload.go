package cascadecost

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/poplarshore/poplarshore/cascade"
)

// Setting describes a workload and a rating service with which policies are compared.
// Shares and qualities are between 0 and 1.
type Setting struct {
	Name     string
	Requests int
	// Target is the mean quality to reach.
	Target float64
	// CostRatio is the cost of a strong answer relative to a cheap one.
	CostRatio float64
	// RatingNoise is the standard deviation of a rating from the quality.
	RatingNoise float64
	// RatedShare is the share of answers that the rating service rates.
	RatedShare float64
	// RatingLatency is the median latency of a rating.
	RatingLatency time.Duration
	// Deadline is the time from arrival within which a request has to be answered.
	Deadline time.Duration
	// OutageStart and OutageEnd bound an outage of the rating service, as
	// fractions of the run. A zero OutageEnd means no outage.
	OutageStart, OutageEnd float64
	// DriftStart is the fraction of the run from which the cheap model's
	// probability of a good answer is multiplied by DriftFactor. Zero means no
	// drift.
	DriftStart, DriftFactor float64
}

// Base returns the setting of which the others are variants.
func Base() Setting {
	return Setting{
		Name: "base", Requests: 40_000, Target: 0.88, CostRatio: 10, RatingNoise: 0.05,
		RatedShare: 1, RatingLatency: 200 * time.Millisecond, Deadline: 30 * time.Second,
	}
}

// class is one class of requests. The weights of all classes add up to 1.
type class struct {
	name                  cascade.Class
	weight                float64
	cheapGoodProbability  float64
	strongGoodProbability float64
}

var classes = []class{
	{"summary/0", 0.40, 0.85, 0.97},
	{"tag/0", 0.30, 0.70, 0.96},
	{"plan/1", 0.25, 0.45, 0.93},
	{"plan/3", 0.05, 0.05, 0.90},
}

const (
	goodQualityMean, goodQualityStdDev = 0.93, 0.04
	badQualityMean, badQualityStdDev   = 0.45, 0.15
	// sharedDrawShare is the probability that a model's answer uses the request's
	// shared random draw, which correlates the quality of both answers.
	sharedDrawShare = 0.5
	// medianCheapCost is the median cost of a cheap answer in micros.
	medianCheapCost = 1_000
	// Costs and latencies are log-normal; each sigma is the standard deviation of the
	// logarithm.
	costSigma       = 0.5
	latencySigma    = 0.3
	arrivalInterval = 100 * time.Millisecond
)

// medianLatency is the median latency of the cheap and of the strong model.
var medianLatency = [2]time.Duration{time.Second, 4 * time.Second}

// request is one request with the drawn results of both models, by model index. Costs
// are in micros.
type request struct {
	class     cascade.Class
	arrivedAt time.Time
	quality   [2]float64
	cost      [2]float64
	latency   [2]time.Duration
	// gateRating and auditRating are independent ratings of each answer. The first
	// decides on acceptance, the second is the answer to an audit.
	gateRating, auditRating [2]float64
	gateRated               [2]bool // whether the rating service returns gateRating
	auditRated              [2]bool // whether the rating service returns auditRating
	ratingLatency           time.Duration
}

// epoch is the arrival time of the first request.
var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// drawWorkload draws all requests of a run. They arrive at a fixed interval.
func drawWorkload(s Setting, seed uint64) []request {
	r := rand.New(rand.NewPCG(seed, 1))
	requests := make([]request, s.Requests)
	for i := range requests {
		progress := float64(i) / float64(s.Requests)
		requests[i] = drawRequest(s, r, progress)
		requests[i].arrivedAt = epoch.Add(time.Duration(i) * arrivalInterval)
	}
	return requests
}

// drawRequest draws a request at the given fraction of the run.
func drawRequest(s Setting, r *rand.Rand, progress float64) request {
	c := drawClass(r)
	cheapGoodProbability := c.cheapGoodProbability
	if s.DriftStart > 0 && progress >= s.DriftStart {
		cheapGoodProbability *= s.DriftFactor
	}
	sharedDraw := r.Float64()
	lengthFactor := math.Exp(costSigma * r.NormFloat64())
	outage := s.OutageEnd > 0 && progress >= s.OutageStart && progress < s.OutageEnd
	req := request{class: c.name}
	req.ratingLatency = drawLatency(r, s.RatingLatency)
	for model, goodProbability := range [2]float64{cheapGoodProbability, c.strongGoodProbability} {
		draw := r.Float64()
		if r.Float64() < sharedDrawShare {
			draw = sharedDraw
		}
		req.quality[model] = drawQuality(r, draw < goodProbability)
		req.gateRating[model] = drawRating(r, req.quality[model], s.RatingNoise)
		req.auditRating[model] = drawRating(r, req.quality[model], s.RatingNoise)
		req.gateRated[model] = r.Float64() < s.RatedShare && !outage
		req.auditRated[model] = r.Float64() < s.RatedShare && !outage
		req.latency[model] = drawLatency(r, medianLatency[model])
	}
	req.cost = [2]float64{medianCheapCost * lengthFactor, medianCheapCost * lengthFactor * s.CostRatio}
	return req
}

func drawClass(r *rand.Rand) class {
	u := r.Float64()
	for _, c := range classes {
		if u < c.weight {
			return c
		}
		u -= c.weight
	}
	return classes[0]
}

func drawQuality(r *rand.Rand, good bool) float64 {
	if good {
		return clamp(goodQualityMean + goodQualityStdDev*r.NormFloat64())
	}
	return clamp(badQualityMean + badQualityStdDev*r.NormFloat64())
}

// drawRating returns the quality plus noise. The noise is truncated symmetrically, so
// that ratings stay between 0 and 1 and their mean is the quality.
func drawRating(r *rand.Rand, quality, stdDev float64) float64 {
	maxDeviation := min(quality, 1-quality)
	return quality + max(-maxDeviation, min(maxDeviation, stdDev*r.NormFloat64()))
}

// drawLatency draws from the log-normal distribution with the given median.
func drawLatency(r *rand.Rand, median time.Duration) time.Duration {
	return time.Duration(float64(median) * math.Exp(latencySigma*r.NormFloat64()))
}

func clamp(x float64) float64 {
	return max(0, min(1, x))
}
