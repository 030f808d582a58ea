package controld

import (
	"github.com/poplarshore/poplarshore/coord/lease"
	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/platform"
)

// jobs returns all jobs of the environment. Orders are divided by failure
// domain, so that one holder deals with the engines of one.
func (d *Daemon) jobs(members []platform.Member) map[string]lease.Func {
	jobs := map[string]lease.Func{"rollouts": d.rollouts, "settlement": d.settle, "claims": d.sweepClaims}
	for _, m := range members {
		if m.Domain != "" {
			jobs["orders/"+m.Domain] = d.orders(domain.ID(m.Domain))
		}
	}
	return jobs
}
