package route

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/upstream"
	"github.com/poplarshore/poplarshore/vm"
)

// SubsetOptions bound the upstreams that one VM deals with for one version.
type SubsetOptions struct {
	// Size is the number of upstreams kept.
	Size int
	// Local is the part of Size for the VM's own region, 0 to 1, as far as
	// the region has enough.
	Local float64
}

// Subset returns the upstreams that a VM deals with: the nearest in rendezvous
// order, taken from the failure domains in turn, so that the loss of one costs
// no VM more than its part. A change of one upstream moves few others. Upstreams
// that are leaving stay in, as they still have requests in flight.
func Subset(self vm.VM, all []*upstream.Upstream, region func(domain.ID) domain.Region, opts SubsetOptions) []*upstream.Upstream {
	if len(all) <= opts.Size {
		return all
	}
	var near, far []*upstream.Upstream
	for _, u := range all {
		if region(u.Domain) == self.Region {
			near = append(near, u)
		} else {
			far = append(far, u)
		}
	}
	nNear := min(int(opts.Local*float64(opts.Size)), len(near))
	nFar := min(opts.Size-nNear, len(far))
	nNear = min(opts.Size-nFar, len(near))
	kept := spread(self.ID, near, nNear)
	return append(kept, spread(self.ID, far, nFar)...)
}

type ranked struct {
	up *upstream.Upstream
	// turn is the rank within the failure domain.
	turn int
	hash uint64
}

// spread takes n upstreams from the failure domains in turn.
func spread(self vm.ID, all []*upstream.Upstream, n int) []*upstream.Upstream {
	order := rank(self, all)
	turns := make(map[domain.ID]int)
	for i := range order {
		d := order[i].up.Domain
		order[i].turn = turns[d]
		turns[d]++
	}
	slices.SortStableFunc(order, func(a, b ranked) int { return cmp.Compare(a.turn, b.turn) })
	kept := make([]*upstream.Upstream, 0, n)
	for _, r := range order[:n] {
		kept = append(kept, r.up)
	}
	return kept
}

// rank sorts by rendezvous hash.
func rank(self vm.ID, all []*upstream.Upstream) []ranked {
	seed := xxhash.Sum64String(string(self))
	order := make([]ranked, len(all))
	for i, u := range all {
		order[i] = ranked{up: u, hash: mix(seed ^ xxhash.Sum64String(string(u.ID)))}
	}
	slices.SortFunc(order, func(a, b ranked) int {
		if c := cmp.Compare(a.hash, b.hash); c != 0 {
			return c
		}
		return cmp.Compare(a.up.ID, b.up.ID)
	})
	return order
}

// Home returns the index of the upstream on which prompts with this prefix are
// gathered while no cache is known to hold it, by rendezvous hashing; -1 for an
// empty set.
func Home(prefix uint64, hashes []uint64) int {
	home := -1
	var best uint64
	for i, h := range hashes {
		if x := mix(prefix ^ h); home < 0 || x > best {
			home, best = i, x
		}
	}
	return home
}

// HashID returns the hash of an upstream for Home.
func HashID(id upstream.ID) uint64 { return xxhash.Sum64String(string(id)) }
