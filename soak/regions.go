package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/poplarshore/poplarshore/domain"
)

// regionFaults are the evacuation of a failure domain and other home regions of a route. They are
// a list of their own, because the seeds of regressions depend on the number of faultKinds.
var regionFaults = []faultKind{{"evacuation", (*injector).evacuate}, {"home_regions", (*injector).changeHomes}}

// evacuation is an evacuation of a failure domain; until is when its end was ordered.
type evacuation struct {
	domain       domain.ID
	since, until time.Time
}

// evacuationTail is how long an evacuation lasts beyond the bound, so that requests are sent while
// it must hold.
const evacuationTail = 2 * time.Second

// evacuate evacuates a failure domain until some time after the bound. There is one evacuation at a
// time, so that upstreams are left.
func (f *injector) evacuate(ctx context.Context, rng *rand.Rand) {
	if !f.evacuationMu.TryLock() {
		return
	}
	defer f.evacuationMu.Unlock()
	e := evacuation{domain: domains[rng.IntN(len(domains))]}
	f.bed.store.Put("op", "evacuate/"+string(e.domain), struct{}{})
	e.since = time.Now()
	sleep(ctx, f.bounds.Evacuate+f.bounds.HostAllowance+evacuationTail)
	e.until = time.Now()
	f.bed.store.Remove("op", "evacuate/"+string(e.domain))
	f.report.addEvacuation(e)
}

// changeHomes lets a configuration restrict the lookups to one or two regions, or to none.
func (f *injector) changeHomes(_ context.Context, rng *rand.Rand) {
	var names []string
	for _, i := range rng.Perm(len(domains))[:rng.IntN(len(domains))] {
		names = append(names, string(regions()[domains[i]]))
	}
	f.bed.setHomes(names)
}

// setHomes writes a configuration in which lookups may be served in the given regions only; none
// stands for all.
func (b *testbed) setHomes(names []string) {
	b.mu.Lock()
	b.homes = names
	b.mu.Unlock()
	b.configure(nil)
}

func (r *Report) addEvacuation(e evacuation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evacuations = append(r.evacuations, e)
}

// checkRegions checks that no undisturbed request reached an evacuated upstream after the bound,
// or an upstream outside the home regions of each configuration that could be in force.
func (c *checker) checkRegions() {
	byID := make(map[string]exchange, len(c.exchanges))
	for _, x := range c.exchanges {
		byID[x.id] = x
	}
	for _, e := range c.testbed.allEngines {
		zone := domain.ID(e.Zone)
		for _, run := range e.Runs() {
			x := byID[run.ID]
			if x.vm == nil || !c.undisturbed(x) {
				continue
			}
			if slices.ContainsFunc(c.report.evacuations, func(v evacuation) bool {
				return v.domain == zone && run.At.After(v.since.Add(c.bounds.Evacuate+c.bounds.HostAllowance)) && run.At.Before(v.until)
			}) {
				c.addViolation("%s: sent to %s in %s, which was evacuated", run.ID, e.ID, zone)
			}
			if x.kind == lookupRequest && !c.mayBeHome(x, zone) {
				c.addViolation("%s: sent to %s in %s, outside its home regions", run.ID, e.ID, zone)
			}
		}
	}
}

// mayBeHome reports whether a configuration that could be in force during a lookup allows a
// failure domain.
func (c *checker) mayBeHome(x exchange, zone domain.ID) bool {
	region := string(regions()[zone])
	return slices.ContainsFunc(c.possibleConfigurations(x), func(cfg configuration) bool {
		return len(cfg.homes) == 0 || slices.Contains(cfg.homes, region)
	})
}
