package cascadecost

import (
	"slices"
	"time"

	"github.com/poplarshore/poplarshore/cascade"
	"github.com/poplarshore/poplarshore/experiment"
)

// windowRequests is the number of consecutive requests in a window of
// Row.LowestWindow.
const windowRequests = 2_000

// Row is the result of one policy in one setting.
type Row struct {
	Setting string `json:"setting"`
	Policy  string `json:"policy"`
	// Cost is the cost relative to serving every request with the strong model.
	Cost experiment.Summary `json:"cost"`
	// OverOracle is the cost relative to that of the oracle.
	OverOracle experiment.Summary `json:"over_oracle"`
	// Quality is the mean quality of delivered answers.
	Quality experiment.Summary `json:"quality"`
	// LowestWindow is the lowest mean quality of any window of 2,000 consecutive
	// requests. Windows do not overlap.
	LowestWindow experiment.Summary `json:"lowest_window"`
	// CheapShare is the share of requests that received the cheap answer.
	CheapShare experiment.Summary `json:"cheap_share"`
	// Unrated is the number of cheap answers delivered without a rating.
	Unrated experiment.Summary `json:"unrated"`
	// P99 is the 99th percentile of the latency in seconds.
	P99 experiment.Summary `json:"p99_seconds"`
	// Late is the share of answers that arrived after the deadline.
	Late experiment.Summary `json:"late"`
}

// Settings returns the settings of the experiment: the base setting, and variants
// that each change one part of it.
func Settings() []Setting {
	vary := func(name string, change func(*Setting)) Setting {
		s := Base()
		s.Name = name
		change(&s)
		return s
	}
	return []Setting{
		Base(),
		vary("target 0.85", func(s *Setting) { s.Target = 0.85 }),
		vary("target 0.90", func(s *Setting) { s.Target = 0.90 }),
		vary("cost ratio 5", func(s *Setting) { s.CostRatio = 5 }),
		vary("cost ratio 20", func(s *Setting) { s.CostRatio = 20 }),
		vary("noise 0.15", func(s *Setting) { s.RatingNoise = 0.15 }),
		vary("drift to half", func(s *Setting) { s.DriftStart, s.DriftFactor = 0.5, 0.5 }),
		vary("deadline 6 s", func(s *Setting) { s.Deadline = 6 * time.Second }),
		vary("rater 3 s, deadline 8 s", func(s *Setting) { s.RatingLatency, s.Deadline = 3*time.Second, 8*time.Second }),
		vary("rater partial 20%", func(s *Setting) { s.RatedShare = 0.2 }),
		vary("rater out for half", func(s *Setting) { s.OutageStart, s.OutageEnd = 0.25, 0.75 }),
	}
}

const (
	defaultPolicyName   = "poplarshore"
	classMeanPolicyName = "poplarshore, class mean"
)

func policies() []policy {
	return []policy{
		singleModel{strong},
		singleModel{cheap},
		fixedThreshold{"fixed 0.8", 0.8},
		tunedThreshold{},
		equalSlope{},
		adaptive{label: defaultPolicyName},
		adaptive{label: classMeanPolicyName, options: cascade.Options{Policy: cascade.ClassMean}},
		oracle{},
	}
}

// measures are the results of one policy, with one value for each seed.
type measures struct {
	cost, overOracle, quality, lowestWindow, cheapShare, unrated, p99Seconds, lateShare []float64
}

// Run runs every policy in the setting with the seeds 1 to seeds, and returns one
// row for each policy.
func Run(s Setting, seeds int) []Row {
	compared := policies()
	results := make([]measures, len(compared))
	for seed := uint64(1); seed <= uint64(seeds); seed++ {
		requests := drawWorkload(s, seed)
		strongCost := totalCost(singleModel{strong}.serve(s, requests, seed))
		oracleCost := totalCost(oracle{}.serve(s, requests, seed))
		for i, p := range compared {
			results[i].add(s, p.serve(s, requests, seed), strongCost, oracleCost)
		}
	}
	rows := make([]Row, len(compared))
	for i, p := range compared {
		rows[i] = results[i].row(s.Name, p.name())
	}
	return rows
}

func totalCost(outcomes []outcome) float64 {
	sum := 0.0
	for _, o := range outcomes {
		sum += o.cost
	}
	return sum
}

func (m *measures) add(s Setting, outcomes []outcome, strongCost, oracleCost float64) {
	cost := totalCost(outcomes)
	m.cost = append(m.cost, cost/strongCost)
	m.overOracle = append(m.overOracle, cost/oracleCost)
	m.quality = append(m.quality, meanQuality(outcomes))
	m.lowestWindow = append(m.lowestWindow, lowestWindow(outcomes))
	latencies := make([]time.Duration, len(outcomes))
	cheapCount, unratedCount, lateCount := 0, 0, 0
	for i, o := range outcomes {
		latencies[i] = o.latency
		cheapCount += boolToInt(o.cheap)
		unratedCount += boolToInt(o.unrated)
		lateCount += boolToInt(o.latency > s.Deadline)
	}
	slices.Sort(latencies)
	n := float64(len(outcomes))
	m.cheapShare = append(m.cheapShare, float64(cheapCount)/n)
	m.unrated = append(m.unrated, float64(unratedCount))
	m.lateShare = append(m.lateShare, float64(lateCount)/n)
	m.p99Seconds = append(m.p99Seconds, latencies[len(latencies)*99/100].Seconds())
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// lowestWindow returns the lowest mean quality of the windows.
func lowestWindow(outcomes []outcome) float64 {
	lowest := 1.0
	for i := 0; i+windowRequests <= len(outcomes); i += windowRequests {
		lowest = min(lowest, meanQuality(outcomes[i:i+windowRequests]))
	}
	return lowest
}

func (m measures) row(setting, policy string) Row {
	return Row{
		Setting: setting, Policy: policy,
		Cost:         experiment.Summarise(m.cost),
		OverOracle:   experiment.Summarise(m.overOracle),
		Quality:      experiment.Summarise(m.quality),
		LowestWindow: experiment.Summarise(m.lowestWindow),
		CheapShare:   experiment.Summarise(m.cheapShare),
		Unrated:      experiment.Summarise(m.unrated),
		P99:          experiment.Summarise(m.p99Seconds),
		Late:         experiment.Summarise(m.lateShare),
	}
}
