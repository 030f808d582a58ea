package fragile

import "github.com/poplarshore/poplarshore/experiment"

// Row holds the results of a rule in one scenario, over several seeds.
type Row struct {
	Scenario string `json:"scenario"`
	Rule     Rule   `json:"rule"`
	Runs     int    `json:"runs"`
	// Ends is the mean number of upstreams that ended by their rejections, MaxEnds the
	// largest one of a run, and Allowed the number from which it is too many.
	Ends    float64 `json:"ends"`
	MaxEnds int     `json:"max_ends"`
	Allowed int     `json:"allowed"`
	// Served is the share of all requests that were served, 0 to 1.
	Served float64 `json:"served"`
}

// Run simulates all scenarios under all rules, with the seeds 1 to runs.
func Run(runs int) []Row {
	return experiment.Compare(Scenarios, Rules, func(scenario Scenario, rule Rule) Row { return measure(scenario, rule, runs) })
}

// Allowed ends: allowedEnds, and one for every upstreamsPerEnd upstreams.
const (
	allowedEnds     = 2
	upstreamsPerEnd = 10
)

// measure simulates one scenario under one rule.
func measure(scenario Scenario, rule Rule, runs int) Row {
	row := Row{Scenario: scenario.Name, Rule: rule, Runs: runs, Allowed: allowedEnds + scenario.Upstreams/upstreamsPerEnd}
	for seed := range uint64(runs) {
		s := newSimulation(scenario, rule, seed+1)
		s.simulate()
		row.Ends += float64(s.ends) / float64(runs)
		row.MaxEnds = max(row.MaxEnds, s.ends)
		row.Served += float64(s.served) / float64(max(s.sent, 1)) / float64(runs)
	}
	return row
}
