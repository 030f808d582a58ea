package exposure

import (
	"time"

	"github.com/poplarshore/poplarshore/experiment"
)

// ManualStopDelay is the time after which operators of the baseline stop a bad version
// manually.
const ManualStopDelay = 10 * time.Minute

// Row is the result of one scenario and fault.
type Row struct {
	Scenario string `json:"scenario"`
	// FigureLabel is the label of the scenario in figures. It is not encoded.
	FigureLabel string `json:"-"`
	Fault       string `json:"fault"`
	// Manual is the number of requests that the bad version serves in the baseline.
	Manual experiment.Summary `json:"manual"`
	// Exposed is that number with automatic stops by the roll-out.
	Exposed experiment.Summary `json:"exposed"`
	// SecondsToStop is the time from the version's turning bad to the last
	// request it serves, with automatic stops.
	SecondsToStop experiment.Summary `json:"seconds"`
	// Ratio is Manual divided by Exposed (at least 1), computed for each seed.
	Ratio experiment.Summary `json:"ratio"`
}

// Run runs every scenario with every fault and the seeds 1 to seeds. It returns one
// row for each scenario and fault.
func Run(seeds int) []Row {
	return experiment.Compare(Scenarios(), Faults, func(scenario Scenario, fault Behaviour) Row { return measureFault(scenario, fault, seeds) })
}

func measureFault(scenario Scenario, fault Behaviour, seeds int) Row {
	var manual, exposed, seconds, ratio []float64
	for seed := uint64(1); seed <= uint64(seeds); seed++ {
		manualCount := manualExposure(scenario, fault, seed)
		exposedCount, secondsToStop := newSimulation(scenario, fault, seed).run()
		manual = append(manual, manualCount)
		exposed = append(exposed, float64(exposedCount))
		seconds = append(seconds, secondsToStop)
		ratio = append(ratio, manualCount/max(1, float64(exposedCount)))
	}
	return Row{
		Scenario: scenario.Name, FigureLabel: scenario.FigureLabel, Fault: fault.Name,
		Manual:        experiment.Summarise(manual),
		Exposed:       experiment.Summarise(exposed),
		SecondsToStop: experiment.Summarise(seconds),
		Ratio:         experiment.Summarise(ratio),
	}
}
