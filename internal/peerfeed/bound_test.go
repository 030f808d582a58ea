package peerfeed_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/internal/bubble"
	"github.com/poplarshore/poplarshore/internal/watch"
)

// TestChangeArrivesInTimeAlthoughReadersFallSilentAndLosePower guards against waits in a row, each of them a part of
// the bound: for a reader that the store no longer answers, for the next one, and for VMs without power.
func TestChangeArrivesInTimeAlthoughReadersFallSilentAndLosePower(t *testing.T) {
	for _, n := range []int{7, 24, 60} {
		for seed := range uint64(6) {
			t.Run(fmt.Sprintf("%d VMs, seed %d", n, seed), func(t *testing.T) {
				bubble.Test(t, func(t *testing.T) { playSilenceAndPowerLoss(t, n, seed) })
			})
		}
	}
}

// playSilenceAndPowerLoss makes the store silent to a third of the VMs and lets others lose power, each at a drawn time
// around three changes.
func playSilenceAndPowerLoss(t *testing.T, n int, seed uint64) {
	f, rng := startTimedFleet(t, n), rand.New(rand.NewPCG(seed, 1))
	within := func(longest time.Duration) time.Duration { return time.Duration(rng.Int64N(int64(longest))) }
	realClock.Sleep(settle + within(3*time.Second))
	f.silence(true, 0.35)
	realClock.Sleep(within(200 * time.Millisecond))
	type change struct {
		revision watch.Revision
		at       time.Time
	}
	var changes []change
	put := func() { changes = append(changes, change{f.store.put(), time.Now()}) }
	put()
	realClock.Sleep(within(changeBound))
	for i := range max(n/5, 1) {
		f.vms[(i*5+int(seed))%n].losePower()
	}
	put()
	realClock.Sleep(within(changeBound))
	put()
	realClock.Sleep(2 * changeBound)
	for _, c := range changes {
		f.expectInTime(c.revision, c.at)
	}
}

// Guards against readers that take the store for silent because the connections of their polls were lost, and against
// changes that wait for that.
func TestChangeArrivesInTimeAlthoughOpenPollsOfStoreAreLost(t *testing.T) {
	const vms = 24
	bubble.Test(t, func(t *testing.T) {
		f := startTimedFleet(t, vms)
		realClock.Sleep(settle)
		calm := f.readsIn(settle)
		f.store.loseConnections()
		realClock.Sleep(changeBound / 4)
		revision, changedAt := f.store.put(), time.Now()
		realClock.Sleep(2 * changeBound)
		f.expectInTime(revision, changedAt)
		f.Expect(f.readsIn(settle)).To(BeNumerically("<=", calm+regionCount), "reads are shared as before")
	})
}

// readsIn returns the number of reads of the store in a time that passes.
func (f *timedFleet) readsIn(d time.Duration) int {
	before := f.store.readCount()
	realClock.Sleep(d)
	return f.store.readCount() - before
}

// TestChangeArrivesInTimeAlthoughAllConnectionsAreLost guards against reads in a row over connections that were lost
// together, unused ones among them, each of which costs a timeout.
func TestChangeArrivesInTimeAlthoughAllConnectionsAreLost(t *testing.T) {
	for _, c := range []struct {
		name  string
		loses func(f *timedFleet)
	}{
		{"lost", func(*timedFleet) {}},
		{"lost beside a silence", func(f *timedFleet) { f.silence(true, 0.35) }},
		{"lost beside a dropped history", func(f *timedFleet) { f.store.dropHistory() }},
		{"lost beside a silence and a dropped history", func(f *timedFleet) { f.silence(true, 0.35); f.store.dropHistory() }},
	} {
		for _, n := range []int{3, 7, 24} {
			for seed := range uint64(4) {
				t.Run(fmt.Sprintf("%s, %d VMs, seed %d", c.name, n, seed), func(t *testing.T) {
					bubble.Test(t, func(t *testing.T) { playLosses(t, n, seed, c.loses) })
				})
			}
		}
	}
}

// playLosses loses all connections some times in a row, after some time in which many were opened, and makes a change
// after each loss.
func playLosses(t *testing.T, n int, seed uint64, besides func(*timedFleet)) {
	f, rng := startTimedFleet(t, n), rand.New(rand.NewPCG(seed, 2))
	realClock.Sleep(settle)
	f.openConnections()
	realClock.Sleep(time.Duration(rng.Int64N(int64(changeBound))))
	besides(f)
	for range 3 {
		f.loseConnections()
		realClock.Sleep(time.Duration(rng.Int64N(int64(changeBound / 4))))
		revision, changedAt := f.store.put(), time.Now()
		realClock.Sleep(changeBound + time.Duration(rng.Int64N(int64(changeBound/4))))
		f.expectInTime(revision, changedAt)
	}
}

// TestChangeArrivesInTimeAfterSilentOutage guards against VMs that wait, once the store is back, for reads which they sent in the
// last moments of a silent outage, and which it never answers: changes came late, and entries that were kept meanwhile.
func TestChangeArrivesInTimeAfterSilentOutage(t *testing.T) {
	for _, n := range []int{3, 7, 24} {
		for seed := range uint64(8) {
			t.Run(fmt.Sprintf("%d VMs, seed %d", n, seed), func(t *testing.T) {
				bubble.Test(t, func(t *testing.T) { playSilentOutage(t, n, seed) })
			})
		}
	}
}

// playSilentOutage makes the store silent to all VMs for a drawn time, and changes it during that, as it is back, and soon after.
func playSilentOutage(t *testing.T, n int, seed uint64) {
	const all = 1.0
	f, rng := startTimedFleet(t, n), rand.New(rand.NewPCG(seed, 3))
	within := func(longest time.Duration) time.Duration { return time.Duration(rng.Int64N(int64(longest))) }
	realClock.Sleep(settle + within(changeBound))
	f.silence(true, all)
	outage := changeBound/4 + within(2*changeBound)
	realClock.Sleep(outage / 2)
	during := f.store.put()
	realClock.Sleep(outage / 2)
	f.silence(false, all)
	backAt := time.Now()
	atOnce := f.store.put()
	realClock.Sleep(within(changeBound))
	soon, soonAt := f.store.put(), time.Now()
	realClock.Sleep(2 * changeBound)
	f.expectInTime(during, backAt)
	f.expectInTime(atOnce, backAt)
	f.expectInTime(soon, soonAt)
}
