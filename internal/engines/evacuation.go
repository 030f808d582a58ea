package engines

import "github.com/poplarshore/poplarshore/domain"

// SetEvacuated sets the evacuated failure domains. Their upstreams get no new requests; what
// runs there goes on. The upstreams of a failure domain that is not evacuated any more may be
// cold: they may have been restarted meanwhile or have lost what they had cached. It must not be
// called by two goroutines at once.
func (d *Directory) SetEvacuated(evacuated map[domain.ID]bool) {
	current := make(map[domain.ID]bool, len(evacuated))
	for id, set := range evacuated {
		if set {
			current[id] = true
		}
	}
	previous := *d.evacuated.Load()
	for id := range previous {
		if !current[id] {
			// Before they get requests again, so that none is sent beyond the rate of cold ones.
			d.MarkDomainCold(id)
		}
	}
	d.mu.Lock()
	d.evacuated.Store(&current)
	concerned := make(map[domain.ID][]*Engine)
	for _, e := range d.byID {
		failureDomain := e.entry().Domain
		if previous[failureDomain] != current[failureDomain] {
			concerned[failureDomain] = append(concerned[failureDomain], e)
		}
	}
	d.mu.Unlock()
	for id := range current {
		if !previous[id] {
			d.log.Warn("evacuation of failure domain began", "domain", id, "region", d.opts.RegionOf(id), "upstreams", len(concerned[id]))
		}
	}
	for id := range previous {
		if !current[id] {
			d.log.Info("evacuation of failure domain ended", "domain", id, "region", d.opts.RegionOf(id), "upstreams", len(concerned[id]))
		}
	}
}

// Evacuated reports whether the failure domain of the upstream is evacuated.
func (e *Engine) Evacuated() bool { return (*e.directory.evacuated.Load())[e.entry().Domain] }

// EvacuatedCounts returns the number of upstreams in evacuated failure domains by service.
// Services without any have a count of 0.
func (d *Directory) EvacuatedCounts() map[string]int {
	d.mu.RLock()
	defer d.mu.RUnlock()
	counts := make(map[string]int, len(d.byService))
	for service, all := range d.byService {
		counts[service] = 0
		for _, e := range all {
			if e.Evacuated() {
				counts[service]++
			}
		}
	}
	return counts
}

// usable returns the upstreams that are not evacuated and lie in one of the regions.
func (d *Directory) usable(all []*Engine, regions domain.RegionSet) []*Engine {
	if !regions.Restricted() && len(*d.evacuated.Load()) == 0 {
		return all
	}
	kept := make([]*Engine, 0, len(all))
	for _, e := range all {
		if !e.Evacuated() && regions.Contains(d.opts.RegionOf(e.entry().Domain)) {
			kept = append(kept, e)
		}
	}
	return kept
}
