package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/poplarshore/poplarshore/platform/standin"
)

// configurationFaults change more of the configuration than keys, and remove upstreams that don't say that they leave. They
// are a list of their own, because the seeds of regressions depend on the number of faultKinds.
var configurationFaults = []faultKind{
	{"configure_variant", (*injector).configureVariant}, {"configure_storm", (*injector).configureStorm},
	{"engine_vanishes", (*injector).removeEntry},
}

// stockService serves lookups in place of orderService by some configurations.
const stockService = "stock"

// variant is what a configuration changes besides keys and home regions. The zero value is the default configuration.
type variant struct {
	// lookups is the service of lookups; empty for orderService.
	lookups string
	// lookupTimeout is the timeout of lookups; 0 for callTimeout.
	lookupTimeout time.Duration
	// idleLimit is for how long callers may leave a connection unused; 0 for defaultIdleLimit.
	idleLimit time.Duration
	// extraRoutes is the number of routes that no request uses.
	extraRoutes int
}

const (
	// defaultIdleLimit is the idle limit of standin.Config.
	defaultIdleLimit = 15 * time.Second
	// Storms of minStorm configurations or more, and less than maxStorm, come with pauses of up to maxStormPause.
	minStorm, maxStorm = 4, 12
	maxStormPause      = 250 * time.Millisecond
)

// randomVariant draws a variant.
func randomVariant(rng *rand.Rand) variant {
	return variant{
		lookups:       []string{"", stockService}[rng.IntN(2)],
		lookupTimeout: []time.Duration{0, callTimeout + time.Second, 2 * callTimeout}[rng.IntN(3)],
		idleLimit:     []time.Duration{0, 2 * time.Second, 4 * time.Second, time.Minute}[rng.IntN(4)],
		extraRoutes:   []int{0, 0, 40, 400}[rng.IntN(4)],
	}
}

// apply returns the routes as the variant has them.
func (v variant) apply(routes []standin.Route) []standin.Route {
	for i := range routes {
		if routes[i].Name != string(lookupRequest) {
			continue
		}
		routes[i].Service = v.lookupService()
		if v.lookupTimeout > 0 {
			routes[i].TimeoutMS = v.lookupTimeout.Milliseconds()
		}
	}
	for i := range v.extraRoutes {
		extra := routes[len(routes)-1]
		extra.Name, extra.Prefix = fmt.Sprintf("extra-%d", i), fmt.Sprintf("/extra-%d/", i)
		routes = append(routes, extra)
	}
	return routes
}

// lookupService returns the service of lookups.
func (v variant) lookupService() string {
	if v.lookups == "" {
		return orderService
	}
	return v.lookups
}

// idleLimitOrDefault returns for how long callers may leave a connection unused.
func (v variant) idleLimitOrDefault() time.Duration {
	if v.idleLimit == 0 {
		return defaultIdleLimit
	}
	return v.idleLimit
}

// configureVariant writes a configuration that differs in more than its keys.
func (f *injector) configureVariant(ctx context.Context, rng *rand.Rand) {
	f.bed.setVariant(randomVariant(rng))
	f.changeKeys(ctx, rng)
}

// configureStorm writes configurations in quick succession.
func (f *injector) configureStorm(ctx context.Context, rng *rand.Rand) {
	for range minStorm + rng.IntN(maxStorm-minStorm) {
		f.configureVariant(ctx, rng)
		sleep(ctx, time.Duration(rng.Int64N(int64(maxStormPause))))
	}
}

func (b *testbed) setVariant(v variant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.variant = v
}

// removeEntry starts a replacement of an upstream and removes the entry of the old one, which goes on serving.
func (f *injector) removeEntry(ctx context.Context, rng *rand.Rand) {
	if !f.replaceMu.TryLock() {
		return
	}
	defer f.replaceMu.Unlock()
	e, ok := f.startReplacement(rng)
	if !ok {
		return
	}
	f.bed.unregister(e)
	f.report.addExclusion(exclusion{engines: []*engine{e}, since: time.Now(), bound: f.bounds.Drain, reason: "gone from the store"})
	sleep(ctx, f.bounds.Drain+randomDuration(rng))
	if ctx.Err() == nil {
		e.stop()
	}
}

// checkLookupServices checks that no lookup ran at a service to which no configuration that could be in force sends it.
func (c *checker) checkLookupServices(x exchange) {
	if x.kind != lookupRequest || !c.inTouch(x) {
		return
	}
	for _, e := range c.ranOn[x.id] {
		allowed := slices.ContainsFunc(c.possibleConfigurations(x), func(cfg configuration) bool { return cfg.variant.lookupService() == e.Service })
		if !allowed {
			c.addViolation("%s at %s: ran at %s, where no configuration that could be in force sends it", x.id, x.vm.ID, e.ID)
		}
	}
}

// idleShare is the share of the idle limit for which callers leave connections unused, at most.
const idleShare = 0.8

// idlePollInterval is the time between two looks at the idle limit by a caller that waits.
const idlePollInterval = 20 * time.Millisecond

// idleUntil waits from the last use of a connection until idleShare of the shortest idle limit that could have been in force
// meanwhile has nearly passed, at most maxIdle.
func (b *testbed) idleUntil(ctx context.Context, usedAt time.Time, maxIdle time.Duration, bound time.Duration) {
	for ctx.Err() == nil {
		limit := maxIdle
		for _, cfg := range slices.Backward(b.history()) {
			limit = min(limit, time.Duration(idleShare*float64(cfg.variant.idleLimitOrDefault())))
			if usedAt.Sub(cfg.acceptedAt) > bound {
				break
			}
		}
		if time.Since(usedAt) >= limit-2*idlePollInterval {
			return
		}
		sleep(ctx, idlePollInterval)
	}
}
