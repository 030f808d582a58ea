package cascadecost

import (
	"slices"
	"time"

	"github.com/poplarshore/poplarshore/cascade"
	"github.com/poplarshore/poplarshore/experiment"
)

// window is the number of requests over which the lowest mean quality is taken.
const window = 2_000

// Row is the result of one policy in one setting.
type Row struct {
	Setting string `json:"setting"`
	Policy  string `json:"policy"`
	// Cost is the price over that of always strong.
	Cost experiment.Summary `json:"cost"`
	// OverOracle is the price over that of the oracle.
	OverOracle experiment.Summary `json:"over_oracle"`
	// Quality is the mean quality of delivered answers.
	Quality experiment.Summary `json:"quality"`
	// LowestWindow is the lowest mean quality of window requests in a row.
	LowestWindow experiment.Summary `json:"lowest_window"`
	// CheapShare is the part of requests that got the cheap answer.
	CheapShare experiment.Summary `json:"cheap_share"`
	// Unrated is the number of cheap answers delivered without a rating.
	Unrated experiment.Summary `json:"unrated"`
	// P99 is the latency in seconds.
	P99 experiment.Summary `json:"p99_seconds"`
	// Late is the part of answers after the deadline.
	Late experiment.Summary `json:"late"`
}

// Settings are those of the experiment.
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
		vary("noise 0.15", func(s *Setting) { s.Noise = 0.15 }),
		vary("drift to half", func(s *Setting) { s.DriftAt, s.DriftTo = 0.5, 0.5 }),
		vary("deadline 6 s", func(s *Setting) { s.Deadline = 6 * time.Second }),
		vary("rater 3 s, deadline 8 s", func(s *Setting) { s.RatingLatency, s.Deadline = 3*time.Second, 8*time.Second }),
		vary("rater partial 20%", func(s *Setting) { s.RatedShare = 0.2 }),
		vary("rater out for half", func(s *Setting) { s.OutFrom, s.OutTo = 0.25, 0.75 }),
	}
}

const (
	strictName = "poplarshore"
	lenient    = "poplarshore, class mean"
)

func policies() []policy {
	return []policy{
		always{strong},
		always{cheap},
		fixed{"fixed 0.8", 0.8},
		tuned{},
		slope{},
		adaptive{label: strictName},
		adaptive{label: lenient, options: cascade.Options{Policy: cascade.ClassMean}},
		oracle{},
	}
}

// measures are the values of one policy, one for each seed.
type measures struct {
	cost, overOracle, quality, lowest, cheap, unrated, p99, late []float64
}

// Run measures every policy in the setting, with seeds 1 to seeds.
func Run(s Setting, seeds int) []Row {
	all := policies()
	results := make([]measures, len(all))
	for seed := uint64(1); seed <= uint64(seeds); seed++ {
		items := workload(s, seed)
		strongCost := totalCost(always{strong}.answer(s, items, seed))
		oracleCost := totalCost(oracle{}.answer(s, items, seed))
		for i, p := range all {
			results[i].add(s, p.answer(s, items, seed), strongCost, oracleCost)
		}
	}
	rows := make([]Row, len(all))
	for i, p := range all {
		rows[i] = results[i].row(s.Name, p.name())
	}
	return rows
}

func totalCost(answers []answer) float64 {
	sum := 0.0
	for _, a := range answers {
		sum += a.cost
	}
	return sum
}

func (m *measures) add(s Setting, answers []answer, strongCost, oracleCost float64) {
	cost := totalCost(answers)
	m.cost = append(m.cost, cost/strongCost)
	m.overOracle = append(m.overOracle, cost/oracleCost)
	m.quality = append(m.quality, meanQuality(answers))
	m.lowest = append(m.lowest, lowestWindow(answers))
	latencies := make([]time.Duration, len(answers))
	cheapCount, unrated, late := 0, 0, 0
	for i, a := range answers {
		latencies[i] = a.latency
		cheapCount += count(a.cheap)
		unrated += count(a.unrated)
		late += count(a.latency > s.Deadline)
	}
	slices.Sort(latencies)
	n := float64(len(answers))
	m.cheap = append(m.cheap, float64(cheapCount)/n)
	m.unrated = append(m.unrated, float64(unrated))
	m.late = append(m.late, float64(late)/n)
	m.p99 = append(m.p99, latencies[len(latencies)*99/100].Seconds())
}

func count(b bool) int {
	if b {
		return 1
	}
	return 0
}

func lowestWindow(answers []answer) float64 {
	lowest := 1.0
	for i := 0; i+window <= len(answers); i += window {
		lowest = min(lowest, meanQuality(answers[i:i+window]))
	}
	return lowest
}

func (m measures) row(setting, policy string) Row {
	return Row{
		Setting: setting, Policy: policy,
		Cost:         experiment.Summarise(m.cost),
		OverOracle:   experiment.Summarise(m.overOracle),
		Quality:      experiment.Summarise(m.quality),
		LowestWindow: experiment.Summarise(m.lowest),
		CheapShare:   experiment.Summarise(m.cheap),
		Unrated:      experiment.Summarise(m.unrated),
		P99:          experiment.Summarise(m.p99),
		Late:         experiment.Summarise(m.late),
	}
}
