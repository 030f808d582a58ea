package deadline

import "github.com/poplarshore/poplarshore/rollout/shift"

// Row counts the results of a rule for one service and fault.
type Row struct {
	Rule    string `json:"rule"`
	Service string `json:"service"`
	Fault   string `json:"fault"`
	Runs    int    `json:"runs"`
	// Completed, Reverted and Undecided are the numbers of shifts that ended so, and Late
	// those of the first two that ended after the deadline.
	Completed int `json:"completed"`
	Reverted  int `json:"reverted"`
	Undecided int `json:"undecided"`
	Late      int `json:"late"`
	// MeanExposed and MaxExposed are the requests to the new version until the deadline, as a
	// fraction of the bound.
	MeanExposed float64 `json:"mean_exposed"`
	MaxExposed  float64 `json:"max_exposed"`
}

// Rules returns the rules that are compared.
func Rules() []Rule {
	plan := shift.PlanWithin(bound)
	return []Rule{TwoGoodAnswers{plan}, Proof{plan}}
}

// Run simulates each service and fault under both rules, with the seeds 1 to runs.
func Run(runs int) []Row {
	var rows []Row
	for _, service := range Services {
		for _, fault := range Faults {
			for _, rule := range Rules() {
				rows = append(rows, count(rule, service, fault, runs))
			}
		}
	}
	return rows
}

func count(rule Rule, service Service, fault Fault, runs int) Row {
	row := Row{Rule: rule.Name(), Service: service.Name, Fault: fault.Name, Runs: runs}
	for seed := uint64(1); seed <= uint64(runs); seed++ {
		row.add(simulate(rule, service, fault, seed))
	}
	row.MeanExposed /= float64(runs)
	return row
}

func (r *Row) add(o Outcome) {
	switch o.Phase {
	case shift.Complete:
		r.Completed++
	case shift.Reverted:
		r.Reverted++
	default:
		r.Undecided++
	}
	if !o.OnTime {
		r.Late++
	}
	r.MeanExposed += o.Exposed
	r.MaxExposed = max(r.MaxExposed, o.Exposed)
}
