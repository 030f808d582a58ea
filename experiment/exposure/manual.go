package exposure

import "math/rand/v2"

// manualExposure returns the number of requests that the bad version serves during
// ManualStopDelay in the baseline: the same share on all VMs, namely that of the step in
// which the version turns bad, or all requests after the roll-out.
func manualExposure(scenario Scenario, _ Behaviour, seed uint64) float64 {
	share := 1.0
	if scenario.BadAtStep < len(scenario.Plan.Steps) {
		share = scenario.Plan.Steps[scenario.BadAtStep].Share
	}
	r := rand.New(rand.NewPCG(seed, 4))
	served := 0
	for range int(ManualStopDelay.Seconds()) {
		served += drawPoisson(r, requestsPerSecond*share)
	}
	return float64(served)
}
