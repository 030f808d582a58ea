package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/poplarshore/poplarshore/platform/standin"
)

// plannedStop is a planned stop of a VM, by SIGTERM.
type plannedStop struct {
	vm *VM
	at time.Time
	// acceptsFor is how long after the signal the VM still accepts requests.
	acceptsFor time.Duration
}

// exclusion is a set of upstreams that must not receive new requests once bound has
// passed after since. reason appears in the violation.
type exclusion struct {
	engines []*engine
	since   time.Time
	bound   time.Duration
	reason  string
}

// namedLimit is a limit that an upstream named for some time, in requests per second.
type namedLimit struct {
	engine       *engine
	perSecond    float64
	since, until time.Time
}

// injector injects faults. Its workers inject one fault at a time each, and run
// concurrently.
type injector struct {
	bed    *testbed
	bounds Bounds
	report *Report
	// kinds are the kinds of faults, drawn with equal probability.
	kinds []faultKind
	// floodPlaces restricts the places of floods; empty allows all.
	floodPlaces []string
	// replaceMu allows only one fault at a time to replace engines.
	replaceMu sync.Mutex
	// restoreMu allows only one restore of the store at a time.
	restoreMu sync.Mutex
	// crashMu allows only one culprit at a time, cutMu only one cut, and fragileMu only one time
	// of fragile engines, and evacuationMu one evacuation.
	crashMu, cutMu, fragileMu, evacuationMu sync.Mutex
	// rolloutCount is the number of roll-outs started; guarded by replaceMu.
	rolloutCount int
}

// faultKind is a kind of fault. name is its key in Report.Faults. inject returns when the
// fault has ended.
type faultKind struct {
	name   string
	inject func(f *injector, ctx context.Context, rng *rand.Rand)
}

// faultKinds are the kinds of faults in all runs.
var faultKinds = []faultKind{
	{"stop", (*injector).stopVM}, {"kill", (*injector).killVM}, {"pause", (*injector).pauseVM}, {"hangup", (*injector).hangup},
	{"kill_all", (*injector).killAllVMs}, {"link", (*injector).disturbStoreLink}, {"links_reset", (*injector).resetStoreLinks},
	{"store", (*injector).failStore}, {"store_forgets", (*injector).dropStoreHistory}, {"engine_link", (*injector).disturbEngineLink},
	{"engine_grey", (*injector).failEnginePartly}, {"engine_leaves", (*injector).replaceEngine}, {"configure", (*injector).configure},
	{"keys", (*injector).changeKeys}, {"rollout_good", (*injector).rollOutGood}, {"rollout_bad", (*injector).rollOutBad},
}

// restoreFault restores the store from an older copy. It is a kind of its own list,
// because the seeds of regressions depend on the number of faultKinds.
var restoreFault = faultKind{"store_restored", (*injector).restoreStore}

// limitFault lets an engine name a limit. It is a kind of its own list for the same reason.
var limitFault = faultKind{"engine_limit", (*injector).limitEngine}

// randomDuration returns the duration of a fault, 0.3 to 3 s.
func randomDuration(rng *rand.Rand) time.Duration {
	return time.Duration(300+rng.IntN(2700)) * time.Millisecond
}

// sleep waits for d or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (f *injector) pickVM(rng *rand.Rand) *VM { return f.bed.vms[rng.IntN(len(f.bed.vms))] }

// stopVM stops a VM by SIGTERM and restarts it, unless it is being stopped already. It is a
// violation if the process has not exited 9 s after the signal.
func (f *injector) stopVM(ctx context.Context, rng *rand.Rand) {
	v := f.pickVM(rng)
	if !v.stopMu.TryLock() {
		return
	}
	defer v.stopMu.Unlock()
	stop := plannedStop{vm: v, at: time.Now(), acceptsFor: time.Second}
	defer v.stopPeriods.begin()()
	v.signal(syscall.SIGTERM)
	f.report.addPlannedStop(stop)
	if !v.awaitExit(9 * time.Second) {
		v.signal(syscall.SIGKILL)
		f.report.addViolation("%s has not exited 9 s after SIGTERM", v.ID)
		v.awaitExit(time.Second)
	}
	sleep(ctx, 200*time.Millisecond)
	f.startVM(v)
}

// startVM starts a VM. A failure is a violation.
func (f *injector) startVM(v *VM) {
	if err := v.start(); err != nil {
		f.report.addViolation("%s could not be restarted: %v", v.ID, err)
	}
}

// killVM kills a VM and restarts it after up to 0.75 s.
func (f *injector) killVM(ctx context.Context, rng *rand.Rand) {
	v := f.pickVM(rng)
	defer v.disturbances.begin()()
	v.signal(syscall.SIGKILL)
	v.awaitExit(time.Second)
	sleep(ctx, randomDuration(rng)/4)
	f.startVM(v)
}

// killAllVMs kills all VMs at the same time and restarts them.
func (f *injector) killAllVMs(ctx context.Context, rng *rand.Rand) {
	for _, v := range f.bed.vms {
		defer v.disturbances.begin()()
		v.signal(syscall.SIGKILL)
	}
	sleep(ctx, randomDuration(rng)/4)
	for _, v := range f.bed.vms {
		v.awaitExit(time.Second)
		f.startVM(v)
	}
}

// pauseVM suspends a VM's process for a while, as a stalled host would.
func (f *injector) pauseVM(ctx context.Context, rng *rand.Rand) {
	v := f.pickVM(rng)
	defer v.disturbances.begin()()
	v.signal(syscall.SIGSTOP)
	sleep(ctx, randomDuration(rng))
	v.signal(syscall.SIGCONT)
}

// hangup sends SIGHUP to a VM, which must not disturb it.
func (f *injector) hangup(_ context.Context, rng *rand.Rand) { f.pickVM(rng).signal(syscall.SIGHUP) }

// disturbStoreLink puts the link of a VM to the store into a random faulty mode.
func (f *injector) disturbStoreLink(ctx context.Context, rng *rand.Rand) {
	v := f.pickVM(rng)
	defer v.disturbances.begin()()
	v.storeLink.SetMode(Mode(1 + rng.IntN(int(Refuse))))
	sleep(ctx, randomDuration(rng))
	v.storeLink.SetMode(Forward)
}

// resetStoreLinks resets the connections of all VMs to the store at the same time.
func (f *injector) resetStoreLinks(context.Context, *rand.Rand) {
	defer f.bed.storeDisturbances.begin()()
	for _, v := range f.bed.vms {
		v.storeLink.Reset()
	}
}

// failStore makes all calls of the store fail with a random fault.
func (f *injector) failStore(ctx context.Context, rng *rand.Rand) {
	defer f.bed.storeDisturbances.begin()()
	f.bed.storeFault.Store(int32(standin.FaultUnavailable) + rng.Int32N(int32(standin.FaultNoResponse)))
	sleep(ctx, randomDuration(rng))
	f.bed.storeFault.Store(int32(standin.FaultNone))
}

// dropStoreHistory drops the store's history of changes, so that VMs have to list the
// tables again.
func (f *injector) dropStoreHistory(context.Context, *rand.Rand) {
	defer f.bed.storeDisturbances.begin()()
	f.bed.store.DropHistory()
}

// restoreStore restores the store from a copy that is up to 3 s old, after a short outage.
// Operators and engines write what they lost again within a second.
func (f *injector) restoreStore(ctx context.Context, rng *rand.Rand) {
	if !f.restoreMu.TryLock() {
		return
	}
	defer f.restoreMu.Unlock()
	snapshot := f.bed.store.Snapshot()
	sleep(ctx, randomDuration(rng))
	defer f.bed.storeDisturbances.begin()()
	f.bed.storeFault.Store(int32(standin.FaultUnavailable))
	sleep(ctx, randomDuration(rng)/4)
	f.bed.store.Restore(snapshot)
	f.bed.storeFault.Store(int32(standin.FaultNone))
	sleep(ctx, randomDuration(rng)/3)
	f.bed.store.RewriteLost()
	sleep(ctx, f.bounds.HostAllowance)
}

// pickEngine returns a random registered upstream, with a model in two of three cases.
func (f *injector) pickEngine(rng *rand.Rand) *engine {
	candidates := f.bed.registered(modelService, "")
	if rng.IntN(3) == 0 || len(candidates) == 0 {
		candidates = f.bed.registered(orderService, "")
	}
	return candidates[rng.IntN(len(candidates))]
}

// disturbEngineLink puts the link of all VMs to an upstream into a random faulty mode. The
// reset at the end closes connections that have dropped data.
func (f *injector) disturbEngineLink(ctx context.Context, rng *rand.Rand) {
	e := f.pickEngine(rng)
	defer e.linkDisturbances.begin()()
	defer f.bed.upstreamDisturbances.begin()()
	e.link.SetMode(Mode(1 + rng.IntN(int(Refuse))))
	sleep(ctx, randomDuration(rng))
	e.link.SetMode(Forward)
	e.link.Reset()
}

// failEnginePartly makes an upstream fail 10 to 69 percent of its requests.
func (f *injector) failEnginePartly(ctx context.Context, rng *rand.Rand) {
	e := f.pickEngine(rng)
	defer f.bed.upstreamDisturbances.begin()()
	e.failurePercent.Store(10 + rng.Int32N(60))
	sleep(ctx, randomDuration(rng))
	e.failurePercent.Store(0)
}

// limitEngine lets an upstream name a limit of 1 to 5 requests per second, unless it names one already.
func (f *injector) limitEngine(ctx context.Context, rng *rand.Rand) {
	e := f.pickEngine(rng)
	perSecond := 1 + 4*rng.Float64()
	length := f.bounds.LimitDelay + f.bounds.LimitSpan + randomDuration(rng)
	if !e.limit.CompareAndSwap(nil, &perSecond) {
		return
	}
	since := time.Now()
	sleep(ctx, length)
	f.report.addLimit(namedLimit{engine: e, perSecond: perSecond, since: since, until: time.Now()})
	e.limit.Store(nil)
}

// startReplacement starts an upstream in place of a random one and returns that one. A failure is a violation, and false.
func (f *injector) startReplacement(rng *rand.Rand) (*engine, bool) {
	e := f.pickEngine(rng)
	if err := f.bed.addEngine(e.Service, e.Version, domains[rng.IntN(len(domains))]); err != nil {
		f.report.addViolation("no replacement of upstream %s could be started: %v", e.ID, err)
		return nil, false
	}
	return e, true
}

// replaceEngine starts a replacement of an upstream, marks the old one as draining and
// removes it after the drain bound, unless the run has ended by then.
func (f *injector) replaceEngine(ctx context.Context, rng *rand.Rand) {
	if !f.replaceMu.TryLock() {
		return
	}
	defer f.replaceMu.Unlock()
	e, ok := f.startReplacement(rng)
	if !ok {
		return
	}
	f.bed.register(e, "draining")
	f.report.addExclusion(exclusion{engines: []*engine{e}, since: time.Now(), bound: f.bounds.Drain, reason: "leaving"})
	sleep(ctx, f.bounds.Drain+f.bounds.HostAllowance)
	if ctx.Err() != nil {
		return
	}
	f.bed.removeEngine(e)
}

// configure writes a new configuration with the same keys.
func (f *injector) configure(context.Context, *rand.Rand) { f.bed.configure(nil) }

// changeKeys adds or removes a key.
func (f *injector) changeKeys(_ context.Context, rng *rand.Rand) {
	f.bed.configure(func(keys map[string]bool) {
		if key := changingKey(rng.IntN(len(keys) + 2)); keys[key] {
			delete(keys, key)
		} else {
			keys[key] = true
		}
	})
}

// rolloutSeconds is the planned duration of a roll-out.
const rolloutSeconds = 8

// rollOutGood rolls out a version without failures.
func (f *injector) rollOutGood(ctx context.Context, _ *rand.Rand) {
	f.rollOut(ctx, rolloutPlan{seconds: rolloutSeconds})
}

// rollOutBad rolls out a version that fails 70 percent of its requests.
func (f *injector) rollOutBad(ctx context.Context, _ *rand.Rand) {
	f.rollOut(ctx, rolloutPlan{failurePercent: 70, seconds: rolloutSeconds})
}

// rolloutPlan is what a roll-out brings in.
type rolloutPlan struct {
	// failurePercent of the new version's requests fail, and slowPercent are slow.
	failurePercent int32
	slowPercent    int
	// seconds is the duration of the order.
	seconds int
	// streamBurst is the number of streams that come with each request meanwhile.
	streamBurst int32
}

// isBad reports whether the version must not be completed.
func (p rolloutPlan) isBad() bool { return p.failurePercent > 0 || p.slowPercent > 0 }

// rollOut starts as many engines of a new version as there are model engines and requests
// a roll-out to it. When it has ended before the run, the engines of the version that is out of
// service are removed. It is a violation if a bad version is completed, or a good one reverted without a
// disturbance of the store or an upstream.
func (f *injector) rollOut(ctx context.Context, plan rolloutPlan) {
	if !f.replaceMu.TryLock() {
		return
	}
	defer f.replaceMu.Unlock()
	startedAt := time.Now()
	oldEngines := f.bed.registered(modelService, "")
	f.rolloutCount++
	version := fmt.Sprintf("v%d", 1+f.rolloutCount)
	for i := range oldEngines {
		if err := f.bed.addEngine(modelService, version, domains[i%len(domains)]); err != nil {
			f.report.addViolation("engine of version %s could not be started: %v", version, err)
			return
		}
	}
	newEngines := f.bed.registered(modelService, version)
	if plan.isBad() {
		defer f.bed.badRollouts.begin()()
	}
	for _, e := range newEngines {
		e.failurePercent.Store(plan.failurePercent)
		e.slowness.set(plan.slowPercent)
	}
	f.bed.streamBurst.Store(plan.streamBurst)
	defer f.bed.streamBurst.Store(0)
	f.bed.store.Put("op", "rollout/"+modelService, map[string]any{"Service": modelService, "To": version, "DurationS": plan.seconds})
	if plan.slowPercent > 0 {
		f.report.addSlowVersion(slowVersion{engines: newEngines, orderedAt: time.Now()})
	}
	phase := f.awaitPhase(ctx, version)
	if phase == "" {
		// The platform stops no engines before a roll-out has ended.
		return
	}
	switch {
	case phase == "complete" && plan.isBad():
		f.report.addViolation("roll-out of bad version %s was completed", version)
	case phase == "reverted" && !plan.isBad() && f.bed.calm(startedAt, time.Now()) && f.bed.crashes.noneOverlap(startedAt, time.Now()):
		f.report.addViolation("roll-out of good version %s was reverted", version)
	}
	retired := newEngines
	if phase == "complete" {
		retired = oldEngines
		for _, e := range oldEngines {
			e.stop()
		}
	} else {
		f.report.addExclusion(exclusion{engines: newEngines, since: time.Now(), bound: f.bounds.Rollback, reason: "found bad"})
		sleep(ctx, f.bounds.Rollback+f.bounds.HostAllowance)
		if ctx.Err() != nil {
			return
		}
	}
	for _, e := range retired {
		f.bed.removeEngine(e)
	}
}

const phasePollInterval = 50 * time.Millisecond

// awaitPhase waits until a roll-out is complete or reverted and returns its phase, or "" if
// it did not end before the context.
func (f *injector) awaitPhase(ctx context.Context, version string) string {
	for ctx.Err() == nil {
		if phase := f.bed.store.RolloutPhase(modelService, version); phase == "complete" || phase == "reverted" {
			return phase
		}
		sleep(ctx, phasePollInterval)
	}
	return ""
}
