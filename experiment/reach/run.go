package reach

import (
	"time"

	"github.com/poplarshore/poplarshore/experiment"
)

// Rule is how a VM decides that its way is lost.
type Rule string

// The rules that are compared.
const (
	// Row3 takes the way for lost after three failures in a row.
	Row3 Rule = "three failures in a row"
	// Weighed decides by reachability.View.
	Weighed Rule = "view"
)

// Rules are the rules that are compared.
var Rules = []Rule{Row3, Weighed}

// Row holds the results of a rule in one scenario, over several seeds.
type Row struct {
	Scenario string `json:"scenario"`
	Rule     Rule   `json:"rule"`
	Runs     int    `json:"runs"`
	// Cut reports whether the VM is cut off in the scenario.
	Cut bool `json:"cut"`
	// Missed is the number of runs in which the way did not count as lost within contactBound.
	Missed int `json:"missed"`
	// LostMS is the mean time until it did, of the other runs, and RegainedMS the mean time
	// after the end of the trouble until it counted as back, in ms.
	LostMS     float64 `json:"lost_ms"`
	RegainedMS float64 `json:"regained_ms"`
	// WrongMS is the mean time in which the way counted as lost although it was not, in ms, and
	// MaxWrongMS the longest one of a run.
	WrongMS    float64 `json:"wrong_ms"`
	MaxWrongMS float64 `json:"max_wrong_ms"`
}

// contactBound is the time after which a VM that is cut off must serve as others do.
const contactBound = 4 * time.Second

// Run simulates all scenarios under all rules, with the seeds 1 to runs.
func Run(runs int) []Row {
	return experiment.Compare(Scenarios, Rules, func(scenario Scenario, rule Rule) Row { return measure(scenario, rule, runs) })
}

// measure simulates one scenario under one rule.
func measure(scenario Scenario, rule Rule, runs int) Row {
	row := Row{Scenario: scenario.Name, Rule: rule, Runs: runs, Cut: scenario.trouble.isCut()}
	for seed := range uint64(runs) {
		s := newSimulation(scenario, rule, seed+1)
		s.simulate()
		row.add(s)
	}
	row.LostMS /= float64(max(runs-row.Missed, 1))
	row.RegainedMS /= float64(runs)
	row.WrongMS /= float64(runs)
	return row
}

func (r *Row) add(s *simulation) {
	if s.lostAfter < 0 || s.lostAfter > contactBound {
		r.Missed++
	} else {
		r.LostMS += milliseconds(s.lostAfter)
	}
	r.RegainedMS += milliseconds(max(s.regainedAfter, 0))
	r.WrongMS += milliseconds(s.wrong)
	r.MaxWrongMS = max(r.MaxWrongMS, milliseconds(s.wrong))
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
