package engines

import (
	"maps"
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
	// slow holds the slow upstreams of the regions that are divided. Its maps are replaced and
	// never changed.
	slow map[domain.Region]map[*Engine]bool
}

// modelPool returns the upstreams that are preferred for small models: the slow ones where the
// upstreams of a region differ clearly, and those of smallModelPool otherwise.
func (d *Directory) modelPool(service string, allowed []*Engine, now time.Time) map[*Engine]bool {
	if !d.opts.AnswerEnd {
		return d.smallModelPool(allowed)
	}
	slow := d.slowUpstreams(service, now)
	if len(slow) == 0 {
		return d.smallModelPool(allowed)
	}
	undivided := make([]*Engine, 0, len(allowed))
	for _, e := range allowed {
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

// homePool returns the upstreams that are not considered as homes of a large model's prompts, or
// the only ones for a small model's. small is the pool of modelPool; empty if the router doesn't
// select the model. In that case the slow upstreams aren't homes: long answers would leave them.
func (d *Directory) homePool(req *Requirements, small map[*Engine]bool, now time.Time) map[*Engine]bool {
	if req.RouterPicksModel || !d.opts.AnswerEnd || req.PrefixHash == 0 || req.Answer.Events <= 0 {
		return small
	}
	all := make(map[*Engine]bool)
	for _, engines := range d.slowUpstreams(req.Service, now) {
		maps.Copy(all, engines)
	}
	return all
}

// slowUpstreams returns the slow upstreams of the regions whose upstreams differ clearly.
func (d *Directory) slowUpstreams(service string, now time.Time) map[domain.Region]map[*Engine]bool {
	p := &d.paceOf(service).pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.dividedAt) < poolInterval {
		return p.slow
	}
	p.dividedAt = now
	if p.byRegion == nil {
		p.byRegion = make(map[domain.Region]*pace.Division)
	}
	engines := make(map[domain.Region][]*Engine)
	for _, e := range d.ForService(service) {
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
	return p.slow
}

// divide divides the upstreams of a region anew and returns the slow ones. The caller holds mu.
func (p *pacePool) divide(region domain.Region, members []*Engine, share float64, now time.Time) map[*Engine]bool {
	division := p.byRegion[region]
	if division == nil {
		division = &pace.Division{}
		p.byRegion[region] = division
	}
	speeds := make([]pace.Speed, len(members))
	for i, e := range members {
		speeds[i].Upstream = e.ID()
		speeds[i].Factor, speeds[i].Weight = e.kind(now)
	}
	division.Update(speeds, share)
	slow := make(map[*Engine]bool, len(division.Slow))
	for _, e := range members {
		if division.Slow[e.ID()] {
			slow[e] = true
		}
	}
	return slow
}

// kind returns how much longer than usual the upstream takes over a longer time, and the number
// of gaps by which that is known.
func (e *Engine) kind(now time.Time) (factor, weight float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.pace.shared.Together(&e.pace.kind, now)
}
