package exposure

import (
	"time"

	"github.com/poplarshore/poplarshore/experiment"
)

// ManualStop is the time after which operators stop a bad version by hand in
// the baseline.
const ManualStop = 10 * time.Minute

// Row is the result of one scenario and fault.
type Row struct {
	Scenario string `json:"scenario"`
	// Short names the scenario in figures.
	Short string `json:"-"`
	Fault string `json:"fault"`
	// Manual is the number of requests served by the bad version in the
	// baseline.
	Manual experiment.Summary `json:"manual"`
	// Exposed is the same number with the roll-out's own stop.
	Exposed experiment.Summary `json:"exposed"`
	// Seconds is the time from turning bad to the last such request.
	Seconds experiment.Summary `json:"seconds"`
	// Ratio is Manual over Exposed, by seed.
	Ratio experiment.Summary `json:"ratio"`
}

// Run measures all scenarios and faults with seeds 1 to seeds.
func Run(seeds int) []Row {
	var rows []Row
	for _, s := range Scenarios() {
		for _, fault := range Faults {
			rows = append(rows, measure(s, fault, seeds))
		}
	}
	return rows
}

func measure(s Scenario, fault Behaviour, seeds int) Row {
	var manual, exposed, seconds, ratio []float64
	for seed := uint64(1); seed <= uint64(seeds); seed++ {
		m := manualExposure(s, fault, seed)
		n, took := newSimulation(s, fault, seed).run()
		manual = append(manual, m)
		exposed = append(exposed, float64(n))
		seconds = append(seconds, took)
		ratio = append(ratio, m/max(1, float64(n)))
	}
	return Row{
		Scenario: s.Name, Short: s.Short, Fault: fault.Name,
		Manual:  experiment.Summarise(manual),
		Exposed: experiment.Summarise(exposed),
		Seconds: experiment.Summarise(seconds),
		Ratio:   experiment.Summarise(ratio),
	}
}
