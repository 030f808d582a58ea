package blame

import "github.com/poplarshore/poplarshore/experiment"

// Row holds the results of a rule in one scenario, over several seeds.
type Row struct {
	Scenario string `json:"scenario"`
	Rule     Rule   `json:"rule"`
	Runs     int    `json:"runs"`
	// Late is the mean number of arrivals after the bound, over all culprits of a run, MaxLate
	// the largest one of a single culprit, and Over the number of culprits with more than
	// three.
	Late    float64 `json:"late"`
	MaxLate int     `json:"max_late"`
	Over    int     `json:"over"`
	// Ends is the mean number of upstreams that ended.
	Ends float64 `json:"ends"`
	// KeptOut is the fraction of sound requests that were refused, 0 to 1, and MaxKeptOut the
	// largest one of a run.
	KeptOut    float64 `json:"kept_out"`
	MaxKeptOut float64 `json:"max_kept_out"`
}

// allowedLate is the number of arrivals of a culprit after the bound that are allowed.
const allowedLate = 3

// Rules are the rules that are compared.
var Rules = []Rule{None, Alone, Shared}

// Run simulates all scenarios under all rules, with the seeds 1 to runs.
func Run(runs int) []Row {
	return experiment.Compare(Scenarios, Rules, func(scenario Scenario, rule Rule) Row { return measure(scenario, rule, runs) })
}

// measure simulates one scenario under one rule.
func measure(scenario Scenario, rule Rule, runs int) Row {
	row := Row{Scenario: scenario.Name, Rule: rule, Runs: runs}
	for seed := uint64(1); seed <= uint64(runs); seed++ {
		s := newSimulation(scenario, rule, seed)
		s.simulate()
		row.add(s)
	}
	row.Late /= float64(runs)
	row.Ends /= float64(runs)
	row.KeptOut /= float64(runs)
	return row
}

func (r *Row) add(s *simulation) {
	for _, c := range s.culprits {
		r.Late += float64(c.late)
		r.MaxLate = max(r.MaxLate, c.late)
		if c.late > allowedLate {
			r.Over++
		}
	}
	keptOut := float64(s.keptOut) / float64(max(s.sound, 1))
	r.Ends += float64(s.ends)
	r.KeptOut += keptOut
	r.MaxKeptOut = max(r.MaxKeptOut, keptOut)
}
