package brittle

// Row holds the results of a rule in one scenario, over several seeds.
type Row struct {
	Scenario string `json:"scenario"`
	Rule     Rule   `json:"rule"`
	Runs     int    `json:"runs"`
	// Falls is the mean number of upstreams that ended by their rejections, MaxFalls the
	// largest one of a run, and Allowed the number from which it is too many.
	Falls    float64 `json:"falls"`
	MaxFalls int     `json:"max_falls"`
	Allowed  int     `json:"allowed"`
	// Served is the share of all requests that were served, 0 to 1.
	Served float64 `json:"served"`
}

// Run simulates all scenarios under all rules, with the seeds 1 to runs.
func Run(runs int) []Row {
	var rows []Row
	for _, scenario := range Scenarios {
		for _, rule := range Rules {
			rows = append(rows, measure(scenario, rule, runs))
		}
	}
	return rows
}

// Allowed falls: allowedFalls, and one for every upstreamsPerFall upstreams.
const (
	allowedFalls     = 2
	upstreamsPerFall = 10
)

// measure simulates one scenario under one rule.
func measure(scenario Scenario, rule Rule, runs int) Row {
	row := Row{Scenario: scenario.Name, Rule: rule, Runs: runs, Allowed: allowedFalls + scenario.Upstreams/upstreamsPerFall}
	for seed := range uint64(runs) {
		s := newSimulation(scenario, rule, seed+1)
		s.simulate()
		row.Falls += float64(s.falls) / float64(runs)
		row.MaxFalls = max(row.MaxFalls, s.falls)
		row.Served += float64(s.served) / float64(max(s.sent, 1)) / float64(runs)
	}
	return row
}
