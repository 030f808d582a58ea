package engines

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/pace"
)

// poolInterval is the time between two divisions of a service's upstreams between small and
// large models.
const poolInterval = time.Second

// pacePool is the division of a service's upstreams by their speed, by region.
type pacePool struct {
	mu        sync.Mutex
	dividedAt time.Time
	byRegion  map[domain.Region]*pace.Division
	// size is the number of the service's upstreams at dividedAt, slow holds the slow ones of the
	// regions that are divided, and small is the pool if all upstreams are usable. The maps are
	// replaced and never changed.
	size  int
	slow  map[domain.Region]map[*Engine]bool
	small map[*Engine]bool
}

// modelPool returns the upstreams that are preferred for small models: the slow ones where the
// upstreams of a region differ clearly, and those of smallModelPool otherwise.
func (d *Directory) modelPool(service string, usable []*Engine, now time.Time) map[*Engine]bool {
	if !d.opts.AnswerEnd || !d.opts.Placement.PoolBySpeed {
		return d.smallModelPool(usable)
	}
	p := &d.paceOf(service).pool
	p.mu.Lock()
	defer p.mu.Unlock()
	all := d.ForService(service)
	d.refreshPool(p, all, now)
	if len(usable) == len(all) {
		return p.small
	}
	return d.mergePools(p.slow, usable)
}

// mergePools returns the preferred upstreams of the regions that are divided by speed and those of
// smallModelPool in the others.
func (d *Directory) mergePools(slow map[domain.Region]map[*Engine]bool, usable []*Engine) map[*Engine]bool {
	undivided := make([]*Engine, 0, len(usable))
	for _, e := range usable {
		if slow[d.opts.RegionOf(e.entry().Domain)] == nil {
			undivided = append(undivided, e)
		}
	}
	small := d.smallModelPool(undivided)
	for _, engines := range slow {
		for e := range engines {
			small[e] = true
		}
	}
	return small
}

// homePool returns the pool by which the homes of prompts are chosen: those of a small model's
// prompts are in it, those of a large model's are not. It is small, the result of modelPool, if the
// router selects the model. Otherwise it holds the slow upstreams, which then aren't homes: the
// costs by the end of an answer would keep long answers away from them.
func (d *Directory) homePool(req *Requirements, small map[*Engine]bool, now time.Time) map[*Engine]bool {
	if req.RouterPicksModel || !d.opts.AnswerEnd || req.PrefixHash == 0 || req.Answer.Events <= 0 {
		return small
	}
	p := &d.paceOf(req.Service).pool
	p.mu.Lock()
	defer p.mu.Unlock()
	d.refreshPool(p, d.ForService(req.Service), now)
	all := make(map[*Engine]bool)
	for _, engines := range p.slow {
		maps.Copy(all, engines)
	}
	return all
}

// refreshPool divides the upstreams anew if it is time to. The caller holds the mutex of p.
func (d *Directory) refreshPool(p *pacePool, all []*Engine, now time.Time) {
	if now.Sub(p.dividedAt) < poolInterval && p.size == len(all) {
		return
	}
	p.dividedAt, p.size = now, len(all)
	d.divideAll(p, all, now)
	p.small = d.mergePools(p.slow, all)
}

// divideAll divides the upstreams of all regions anew. The caller holds the mutex of p.
func (d *Directory) divideAll(p *pacePool, all []*Engine, now time.Time) {
	if p.byRegion == nil {
		p.byRegion = make(map[domain.Region]*pace.Division)
	}
	engines := make(map[domain.Region][]*Engine)
	for _, e := range all {
		if !e.Leaving() {
			r := d.opts.RegionOf(e.entry().Domain)
			engines[r] = append(engines[r], e)
		}
	}
	p.slow = make(map[domain.Region]map[*Engine]bool)
	for region, members := range engines {
		if slow := p.divide(region, members, d.opts.Placement.SmallModelShare, now); len(slow) > 0 {
			p.slow[region] = slow
		}
	}
}

// divide divides the upstreams of a region anew and returns those for small models, nil if they
// are not divided. The caller holds mu.
func (p *pacePool) divide(region domain.Region, members []*Engine, share float64, now time.Time) map[*Engine]bool {
	division := p.byRegion[region]
	if division == nil {
		division = &pace.Division{}
		p.byRegion[region] = division
	}
	speeds := make([]pace.Speed, len(members))
	for i, e := range members {
		speeds[i].Upstream = e.ID()
		speeds[i].Factor, speeds[i].Weight = e.lastingEvidence(now)
	}
	division.Update(speeds, share)
	slow := make(map[*Engine]bool, len(division.Slow))
	if len(division.Slow) == 0 {
		return nil
	}
	slices.SortFunc(members, func(a, b *Engine) int { return cmp.Compare(a.hash, b.hash) })
	extra := division.Extra
	for _, e := range members {
		if division.Slow[e.ID()] {
			slow[e] = true
		} else if extra > 0 {
			slow[e] = true
			extra--
		}
	}
	return slow
}

// lastingEvidence returns how much longer than usual the upstream takes over a longer time, and the number
// of gaps by which that is known.
func (e *Engine) lastingEvidence(now time.Time) (factor, weight float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.pace.shared.Together(&e.pace.lasting, now)
}
