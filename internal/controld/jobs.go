package controld

import (
	"github.com/poplarshore/poplarshore/coord/lease"
	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/platform"
)

// jobs returns the work of all jobs of the environment by name. Orders have one job per
// failure domain of the members, whose holder handles the engines of that domain.
func (d *Daemon) jobs(members []platform.Member) map[string]lease.Func {
	jobs := map[string]lease.Func{"rollouts": d.runRollouts, "settlement": d.settleLedger, "claims": d.sweepClaims}
	for _, m := range members {
		if m.Domain != "" {
			jobs["orders/"+m.Domain] = d.ordersJob(domain.ID(m.Domain))
		}
	}
	return jobs
}
