package cascadecost

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/poplarshore/poplarshore/cascade"
)

// Setting is one situation in which policies are compared.
type Setting struct {
	Name     string
	Requests int
	Target   float64
	// CostRatio is the strong model's price over the cheap one's.
	CostRatio float64
	// Noise is the standard deviation of a rating around the quality.
	Noise float64
	// RatedShare is the part of answers that the rating service rates.
	RatedShare float64
	// RatingLatency is the mean time to a rating.
	RatingLatency time.Duration
	// Deadline is the time for an answer.
	Deadline time.Duration
	// OutFrom and OutTo bound the outage of the rating service, as parts of
	// the run.
	OutFrom, OutTo float64
	// DriftAt is the part of the run at which the cheap model's pass rates
	// fall to DriftTo of what they were. Zero means no drift.
	DriftAt, DriftTo float64
}

// Base is the setting that the others vary.
func Base() Setting {
	return Setting{
		Name: "base", Requests: 40_000, Target: 0.88, CostRatio: 10, Noise: 0.05,
		RatedShare: 1, RatingLatency: 200 * time.Millisecond, Deadline: 30 * time.Second,
	}
}

// class is one kind of request.
type class struct {
	name       cascade.Class
	weight     float64
	cheapGood  float64 // probability that the cheap answer is good
	strongGood float64 // probability that the strong answer is good
}

var classes = []class{
	{"summary/0", 0.40, 0.85, 0.97},
	{"tag/0", 0.30, 0.70, 0.96},
	{"plan/1", 0.25, 0.45, 0.93},
	{"plan/3", 0.05, 0.05, 0.90},
}

const (
	goodQuality, goodSpread = 0.93, 0.04
	badQuality, badSpread   = 0.45, 0.15
	// togetherGood is the part of requests whose two answers are good or bad
	// by the same draw.
	togetherGood = 0.5
	// meanCheapCost is the mean price of a cheap answer in micros.
	meanCheapCost = 1_000
	costSpread    = 0.5
	latencySpread = 0.3
	arrivalGap    = 100 * time.Millisecond
)

var meanLatency = [2]time.Duration{time.Second, 4 * time.Second}

// item is one request with all that would come of it.
type item struct {
	class   cascade.Class
	at      time.Time
	quality [2]float64
	cost    [2]float64
	latency [2]time.Duration
	// gate and audit are two independent ratings of each answer.
	gate, audit   [2]float64
	rated         [2]bool // whether gate comes
	audited       [2]bool // whether audit comes
	ratingLatency time.Duration
}

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func workload(s Setting, seed uint64) []item {
	r := rand.New(rand.NewPCG(seed, 1))
	items := make([]item, s.Requests)
	for i := range items {
		part := float64(i) / float64(s.Requests)
		items[i] = draw(s, r, part)
		items[i].at = epoch.Add(time.Duration(i) * arrivalGap)
	}
	return items
}

func draw(s Setting, r *rand.Rand, part float64) item {
	c := pick(r)
	cheapGood := c.cheapGood
	if s.DriftAt > 0 && part >= s.DriftAt {
		cheapGood *= s.DriftTo
	}
	shared := r.Float64()
	length := math.Exp(costSpread * r.NormFloat64())
	out := s.OutTo > 0 && part >= s.OutFrom && part < s.OutTo
	it := item{class: c.name}
	it.ratingLatency = spread(r, s.RatingLatency)
	for m, good := range [2]float64{cheapGood, c.strongGood} {
		own := r.Float64()
		if r.Float64() < togetherGood {
			own = shared
		}
		it.quality[m] = quality(r, own < good)
		it.gate[m] = rating(r, it.quality[m], s.Noise)
		it.audit[m] = rating(r, it.quality[m], s.Noise)
		it.rated[m] = r.Float64() < s.RatedShare && !out
		it.audited[m] = r.Float64() < s.RatedShare && !out
		it.latency[m] = spread(r, meanLatency[m])
	}
	it.cost = [2]float64{meanCheapCost * length, meanCheapCost * length * s.CostRatio}
	return it
}

func pick(r *rand.Rand) class {
	u := r.Float64()
	for _, c := range classes {
		if u < c.weight {
			return c
		}
		u -= c.weight
	}
	return classes[0]
}

func quality(r *rand.Rand, good bool) float64 {
	if good {
		return clamp(goodQuality + goodSpread*r.NormFloat64())
	}
	return clamp(badQuality + badSpread*r.NormFloat64())
}

// rating returns the quality with noise that is cut off on both sides alike, so
// that the mean rating is the quality.
func rating(r *rand.Rand, quality, noise float64) float64 {
	room := min(quality, 1-quality)
	return quality + max(-room, min(room, noise*r.NormFloat64()))
}

func spread(r *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * math.Exp(latencySpread*r.NormFloat64()))
}

func clamp(x float64) float64 {
	return max(0, min(1, x))
}
