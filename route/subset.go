package route

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/upstream"
	"github.com/poplarshore/poplarshore/vm"
)

// SubsetOptions bounds the upstreams that one VM uses for one model version or
// plain service.
type SubsetOptions struct {
	// Size is the largest number of upstreams in the subset.
	Size int
	// LocalShare is the fraction of Size, 0 to 1, taken from the VM's own region. If
	// the region has too few upstreams, the rest come from other regions, and the
	// other way round.
	LocalShare float64
}

// Subset returns the upstreams that a VM uses, or all of them if there are at most
// opts.Size. It ranks upstreams by rendezvous hash and takes them from the failure
// domains in turn, so that a VM loses no more than a proportional share of its
// upstreams when a domain fails. Adding or removing one upstream changes few other
// members of a subset. Leaving upstreams are included, because they may still have
// requests in flight.
func Subset(self vm.VM, all []*upstream.Upstream, region func(domain.ID) domain.Region, opts SubsetOptions) []*upstream.Upstream {
	if len(all) <= opts.Size {
		return all
	}
	var local, remote []*upstream.Upstream
	for _, u := range all {
		if region(u.Domain) == self.Region {
			local = append(local, u)
		} else {
			remote = append(remote, u)
		}
	}
	localCount := min(int(opts.LocalShare*float64(opts.Size)), len(local))
	remoteCount := min(opts.Size-localCount, len(remote))
	localCount = min(opts.Size-remoteCount, len(local))
	kept := spreadOverDomains(self.ID, local, localCount)
	return append(kept, spreadOverDomains(self.ID, remote, remoteCount)...)
}

// rankedUpstream is an upstream with its position in rendezvous order.
type rankedUpstream struct {
	up *upstream.Upstream
	// domainRank is the rank within the failure domain, from 0.
	domainRank int
	hash       uint64
}

// spreadOverDomains returns n upstreams, taken from the failure domains in turn.
func spreadOverDomains(self vm.ID, all []*upstream.Upstream, n int) []*upstream.Upstream {
	order := rankByHash(self, all)
	perDomain := make(map[domain.ID]int)
	for i := range order {
		d := order[i].up.Domain
		order[i].domainRank = perDomain[d]
		perDomain[d]++
	}
	slices.SortStableFunc(order, func(a, b rankedUpstream) int { return cmp.Compare(a.domainRank, b.domainRank) })
	kept := make([]*upstream.Upstream, 0, n)
	for _, r := range order[:n] {
		kept = append(kept, r.up)
	}
	return kept
}

// rankByHash sorts upstreams by rendezvous hash, and by ID for equal hashes.
func rankByHash(self vm.ID, all []*upstream.Upstream) []rankedUpstream {
	seed := xxhash.Sum64String(string(self))
	order := make([]rankedUpstream, len(all))
	for i, u := range all {
		order[i] = rankedUpstream{up: u, hash: mix(seed ^ xxhash.Sum64String(string(u.ID)))}
	}
	slices.SortFunc(order, func(a, b rankedUpstream) int {
		if c := cmp.Compare(a.hash, b.hash); c != 0 {
			return c
		}
		return cmp.Compare(a.up.ID, b.up.ID)
	})
	return order
}

// Home returns the index of the upstream on which prompts with this prefix are
// concentrated while no cache is known to have it. hashes are the upstreams'
// hashes from HashID; the one with the highest rendezvous hash is the home. It
// returns -1 if there are no upstreams.
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

// HashID returns the hash of an upstream ID for use with Home.
func HashID(id upstream.ID) uint64 { return xxhash.Sum64String(string(id)) }
