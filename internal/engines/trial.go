package engines

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/poplarshore/poplarshore/upstream"
)

// trialLoad is the load of an upstream of a trial, as a fraction of what it has once the version gets all requests. The upstreams
// of a new version have no prompts cached, so that each request takes more of them.
const trialLoad = 0.5

// minTrialUpstreams is the least number of upstreams that a trial of a version uses, so that what is wrong with one of them shows
// as that.
const minTrialUpstreams = 2

// trialUpstreams returns the upstreams that take the requests of a version on trial: so few of them that each has trialLoad
// of what it has once the version gets all requests. All VMs choose the same ones as far as they know the same. It returns none
// if there is no trial.
func (d *Directory) trialUpstreams(req Requirements) []upstream.ID {
	if req.TrialShare <= 0 || req.TrialShare >= 1 || len(req.Only) > 0 {
		return nil
	}
	var all, free []*Engine
	for _, e := range d.usable(d.ForService(req.Service), req.Regions) {
		if req.Allowed != nil && !req.Allowed(e.Version()) {
			continue
		}
		all = append(all, e)
		if e.TakesRequests() && !e.IsSilent() && !slices.Contains(req.Tried, e.ID()) {
			free = append(free, e)
		}
	}
	n := max(int(math.Ceil(req.TrialShare*float64(len(all))/trialLoad)), minTrialUpstreams)
	slices.SortFunc(free, func(a, b *Engine) int { return cmp.Compare(trialRank(a), trialRank(b)) })
	var ids []upstream.ID
	for _, e := range free[:min(n, len(free))] {
		ids = append(ids, e.ID())
	}
	return ids
}

// trialRank is the place of an upstream in the order in which trials use them.
func trialRank(e *Engine) uint64 { return xxhash.Sum64String(string(e.ID())) }
