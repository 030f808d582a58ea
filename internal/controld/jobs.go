package controld

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/poplarshore/poplarshore/coord/lease"
	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/platform"
)

// jobs returns all jobs of the environment. Orders are divided by failure
// domain, so that one holder deals with the engines of one.
func (d *Daemon) jobs(members []platform.Member) map[string]lease.Func {
	jobs := map[string]lease.Func{"rollouts": d.rollouts, "settlement": d.settle}
	for _, m := range members {
		if m.Domain != "" {
			jobs["orders/"+m.Domain] = d.orders(domain.ID(m.Domain))
		}
	}
	return jobs
}

// picked tells whether a VM is among the contenders for a job, by rendezvous
// hashing.
func picked(job, self string, members []platform.Member) bool {
	type ranked struct {
		id   string
		hash uint64
	}
	ranks := make([]ranked, 0, len(members))
	for _, m := range members {
		ranks = append(ranks, ranked{m.ID, xxhash.Sum64String(job + "\x00" + m.ID)})
	}
	slices.SortFunc(ranks, func(a, b ranked) int {
		if c := cmp.Compare(a.hash, b.hash); c != 0 {
			return c
		}
		return cmp.Compare(a.id, b.id)
	})
	for i := 0; i < len(ranks) && i < contenders; i++ {
		if ranks[i].id == self {
			return true
		}
	}
	return false
}
