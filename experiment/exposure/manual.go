package exposure

import "math/rand/v2"

// manualExposure returns what the bad version serves in ManualStop at the share
// that is in force when it turns bad, of a canary that is the same everywhere.
func manualExposure(s Scenario, _ Behaviour, seed uint64) float64 {
	share := 1.0
	if s.BadAtStep < len(s.Plan.Steps) {
		share = s.Plan.Steps[s.BadAtStep].Share
	}
	r := rand.New(rand.NewPCG(seed, 4))
	served := 0
	for range int(ManualStop.Seconds()) {
		served += poisson(r, requestsPerSecond*share)
	}
	return float64(served)
}
