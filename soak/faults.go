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

// stop is a planned stop of a VM.
type stop struct {
	vm *VM
	at time.Time
	// takes is how long after the signal requests are still taken.
	takes time.Duration
}

// left is a set of upstreams that may get nothing new.
type left struct {
	engines []*engine
	at      time.Time
	bound   time.Duration
	why     string
}

// trouble injects faults, one kind after the other, some at the same time.
type trouble struct {
	site   *site
	bounds Bounds
	report *Report
	// replacing holds who changes the set of engines.
	replacing sync.Mutex
	// rollouts counts the roll-outs; it is guarded by replacing.
	rollouts int
}

// step is one kind of fault. It returns when the fault is over.
type step struct {
	name string
	run  func(t *trouble, ctx context.Context, rng *rand.Rand)
}

var steps = []step{
	{"stop", (*trouble).planned}, {"kill", (*trouble).kill}, {"pause", (*trouble).pause}, {"hangup", (*trouble).hangup},
	{"kill_all", (*trouble).killAll}, {"link", (*trouble).link}, {"links_reset", (*trouble).linksReset},
	{"store", (*trouble).storeFault}, {"store_forgets", (*trouble).storeForgets}, {"engine_link", (*trouble).engineLink},
	{"engine_grey", (*trouble).engineGrey}, {"engine_leaves", (*trouble).engineLeaves}, {"configure", (*trouble).configure},
	{"keys", (*trouble).keys}, {"rollout_good", (*trouble).rolloutGood}, {"rollout_bad", (*trouble).rolloutBad},
}

// lasts draws how long a fault lasts.
func lasts(rng *rand.Rand) time.Duration {
	return time.Duration(300+rng.IntN(2700)) * time.Millisecond
}

func rest(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (t *trouble) vm(rng *rand.Rand) *VM { return t.site.vms[rng.IntN(len(t.site.vms))] }

func (t *trouble) planned(ctx context.Context, rng *rand.Rand) {
	v := t.vm(rng)
	s := stop{vm: v, at: time.Now(), takes: time.Second}
	defer v.stopping.begin()()
	v.signal(syscall.SIGTERM)
	t.report.addStop(s)
	if !v.ended(9 * time.Second) {
		v.signal(syscall.SIGKILL)
		t.report.violate("%s still runs 9 s after SIGTERM", v.ID)
		v.ended(time.Second)
	}
	rest(ctx, 200*time.Millisecond)
	t.restart(v)
}

func (t *trouble) restart(v *VM) {
	if err := v.start(); err != nil {
		t.report.violate("%s does not start: %v", v.ID, err)
	}
}

func (t *trouble) kill(ctx context.Context, rng *rand.Rand) {
	v := t.vm(rng)
	defer v.disturbed.begin()()
	v.signal(syscall.SIGKILL)
	v.ended(time.Second)
	rest(ctx, lasts(rng)/4)
	t.restart(v)
}

func (t *trouble) killAll(ctx context.Context, rng *rand.Rand) {
	for _, v := range t.site.vms {
		defer v.disturbed.begin()()
		v.signal(syscall.SIGKILL)
	}
	rest(ctx, lasts(rng)/4)
	for _, v := range t.site.vms {
		v.ended(time.Second)
		t.restart(v)
	}
}

func (t *trouble) pause(ctx context.Context, rng *rand.Rand) {
	v := t.vm(rng)
	defer v.disturbed.begin()()
	v.signal(syscall.SIGSTOP)
	rest(ctx, lasts(rng))
	v.signal(syscall.SIGCONT)
}

func (t *trouble) hangup(_ context.Context, rng *rand.Rand) { t.vm(rng).signal(syscall.SIGHUP) }

// link harms a VM's way to the store.
func (t *trouble) link(ctx context.Context, rng *rand.Rand) {
	v := t.vm(rng)
	defer v.disturbed.begin()()
	v.store.Set(Mode(1 + rng.IntN(int(Refusing))))
	rest(ctx, lasts(rng))
	v.store.Set(Open)
}

// linksReset breaks all connections to the store at once.
func (t *trouble) linksReset(context.Context, *rand.Rand) {
	defer t.site.disturbed.begin()()
	for _, v := range t.site.vms {
		v.store.Reset()
	}
}

func (t *trouble) storeFault(ctx context.Context, rng *rand.Rand) {
	defer t.site.disturbed.begin()()
	t.site.storeFault.Store(int32(standin.FaultUnavailable) + rng.Int32N(int32(standin.FaultNoResponse)))
	rest(ctx, lasts(rng))
	t.site.storeFault.Store(int32(standin.FaultNone))
}

func (t *trouble) storeForgets(context.Context, *rand.Rand) {
	defer t.site.disturbed.begin()()
	t.site.store.DropHistory()
}

func (t *trouble) engine(rng *rand.Rand) *engine {
	all := t.site.of(models, "")
	if rng.IntN(3) == 0 || len(all) == 0 {
		all = t.site.of(orders, "")
	}
	return all[rng.IntN(len(all))]
}

// engineLink harms the way of all VMs to an upstream.
func (t *trouble) engineLink(ctx context.Context, rng *rand.Rand) {
	e := t.engine(rng)
	defer t.site.disturbed.begin()()
	e.link.Set(Mode(1 + rng.IntN(int(Refusing))))
	rest(ctx, lasts(rng))
	e.link.Set(Open)
	e.link.Reset()
}

func (t *trouble) engineGrey(ctx context.Context, rng *rand.Rand) {
	e := t.engine(rng)
	defer t.site.disturbed.begin()()
	e.failing.Store(10 + rng.Int32N(60))
	rest(ctx, lasts(rng))
	e.failing.Store(0)
}

// engineLeaves replaces an upstream: the new one starts first.
func (t *trouble) engineLeaves(ctx context.Context, rng *rand.Rand) {
	if !t.replacing.TryLock() {
		return
	}
	defer t.replacing.Unlock()
	e := t.engine(rng)
	if err := t.site.add(e.Service, e.Version, domains[rng.IntN(len(domains))]); err != nil {
		t.report.violate("no upstream to replace %s: %v", e.ID, err)
		return
	}
	t.site.register(e, "draining")
	t.report.addLeft(left{engines: []*engine{e}, at: time.Now(), bound: t.bounds.Drain, why: "leaving"})
	rest(ctx, t.bounds.Drain+t.bounds.Host)
	t.site.remove(e)
}

func (t *trouble) configure(context.Context, *rand.Rand) { t.site.configure(nil) }

// keys adds a key, or takes one away.
func (t *trouble) keys(_ context.Context, rng *rand.Rand) {
	t.site.configure(func(keys map[string]bool) {
		if key := keyOf(rng.IntN(len(keys) + 2)); keys[key] {
			delete(keys, key)
		} else {
			keys[key] = true
		}
	})
}

const rolloutS = 8

func (t *trouble) rolloutGood(ctx context.Context, rng *rand.Rand) { t.rollout(ctx, rng, 0) }

func (t *trouble) rolloutBad(ctx context.Context, rng *rand.Rand) { t.rollout(ctx, rng, 70) }

// rollout starts engines of a new version beside the old ones and asks for the
// traffic to be moved to them. When it has ended, the losers stop.
func (t *trouble) rollout(ctx context.Context, _ *rand.Rand, failing int32) {
	if !t.replacing.TryLock() {
		return
	}
	defer t.replacing.Unlock()
	began := time.Now()
	old := t.site.of(models, "")
	t.rollouts++
	version := fmt.Sprintf("v%d", 1+t.rollouts)
	for i := range old {
		if err := t.site.add(models, version, domains[i%len(domains)]); err != nil {
			t.report.violate("no engine of %s: %v", version, err)
			return
		}
	}
	fresh := t.site.of(models, version)
	for _, e := range fresh {
		e.failing.Store(failing)
	}
	t.site.store.Put("op", "rollout/"+models, map[string]any{"Service": models, "To": version, "DurationS": rolloutS})
	phase := t.awaitPhase(ctx, version)
	switch {
	case phase == "complete" && failing > 0:
		t.report.violate("bad version %s was completed", version)
	case phase == "reverted" && failing == 0 && t.site.disturbed.calm(began, time.Now()):
		t.report.violate("good version %s was reverted", version)
	}
	losers := fresh
	if phase == "complete" {
		losers = old
		for _, e := range old {
			e.link.Set(Refusing)
		}
	} else {
		t.report.addLeft(left{engines: fresh, at: time.Now(), bound: t.bounds.Rollback, why: "found bad"})
		rest(ctx, t.bounds.Rollback+t.bounds.Host)
	}
	for _, e := range losers {
		t.site.remove(e)
	}
}

const phasePoll = 50 * time.Millisecond

// awaitPhase waits for the end of a roll-out; "" means that it did not end.
func (t *trouble) awaitPhase(ctx context.Context, version string) string {
	for ctx.Err() == nil {
		if phase := t.site.store.RolloutPhase(models, version); phase == "complete" || phase == "reverted" {
			return phase
		}
		rest(ctx, phasePoll)
	}
	return ""
}
