package limit_test

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/account"
	"github.com/poplarshore/poplarshore/limit"
	"github.com/poplarshore/poplarshore/refusal"
)

func half() float64 { return 0.5 }

func newTestAdmission() *limit.WindowAdmission {
	return limit.NewWindowAdmission(limit.DefaultWindowAdmissionOptions(), half)
}

func windowWork(id account.ID, priority int, now time.Time) limit.Work {
	return limit.Work{Account: id, Priority: priority, Deadline: now.Add(8 * time.Second), Cost: 100, Bytes: 100}
}

// Guards against a limit without overload: any number of requests starts at once.
func TestWindowSetsNoLimitWithoutOverload(t *testing.T) {
	g := NewWithT(t)
	a := newTestAdmission()
	for range 500 {
		waiter, _, err := a.Offer(windowWork("a", 0, start), start)
		g.Expect(waiter).To(BeNil())
		g.Expect(err).NotTo(HaveOccurred())
		a.Observe(limit.Accepted, start)
	}
	a.Observe(limit.Congested, start)
	g.Expect(a.Stats().Limit).To(BeZero())
}

// Guards against a limit that does not begin at a rejection, stays when it no longer binds, or
// falls below one request.
func TestWindowBeginsShrinksAndEnds(t *testing.T) {
	g := NewWithT(t)
	now := start
	w := limit.NewWindow(limit.DefaultWindowOptions(), half)
	w.Observe(limit.Rejected, 20, now)
	g.Expect(w.Limit()).To(BeNumerically("~", 15, 0.01))
	g.Expect(w.Allow(20, 0, now)).To(BeFalse())
	for range 100 {
		now = now.Add(time.Second)
		w.Observe(limit.Rejected, 1, now)
		w.Allow(5000, 0, now)
	}
	g.Expect(w.Limit()).To(Equal(1.0))
	g.Expect(w.Allow(0, 0, now)).To(BeTrue())
	now = now.Add(4 * time.Second)
	g.Expect(w.Allow(0, 0, now)).To(BeTrue())
	g.Expect(w.Active()).To(BeFalse())
}

// Guards against VMs with few places that lose the fraction of one.
func TestWindowUsesFractionsOfPlaces(t *testing.T) {
	g := NewWithT(t)
	draws, n := []float64{0.1, 0.3, 0.5, 0.7, 0.9}, 0
	w := limit.NewWindow(limit.DefaultWindowOptions(), func() float64 { n++; return draws[n%len(draws)] })
	w.Begin(2.4, start)
	open := 0
	for i := range 1000 {
		now := start.Add(time.Duration(i) * 250 * time.Millisecond)
		if w.Allow(2, 0, now) {
			open++
		}
		w.Allow(5000, 0, now)
	}
	g.Expect(open).To(BeNumerically("~", 400, 50))
}

// Guards against a queue that keeps urgent work out for less urgent one, and against one
// without bounds.
func TestFullQueueGivesUpLowerRank(t *testing.T) {
	g := NewWithT(t)
	opts := limit.DefaultWindowAdmissionOptions()
	opts.MaxQueued, opts.MaxQueuedBytes, opts.InitialServiceTime = 3, 250, 10*time.Millisecond
	a := limit.NewWindowAdmission(opts, half)
	a.BeginLimited(1, start)
	offer := func(priority, bytes int) (*limit.Waiter, []*limit.Waiter, error) {
		w := windowWork("a", priority, start)
		w.Bytes = bytes
		return a.Offer(w, start)
	}
	_, _, err := offer(-2, 1)
	g.Expect(err).NotTo(HaveOccurred())
	low, _, err := offer(-2, 200)
	g.Expect(err).NotTo(HaveOccurred())
	_, evicted, err := offer(0, 200)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(evicted).To(ConsistOf(low))
	_, _, err = offer(-2, 200)
	g.Expect(refusal.FromError(err).Reason).To(Equal(refusal.QueueFull))
	g.Expect(refusal.FromError(err).RetryAfter).To(BeNumerically(">", 0))
	g.Expect(a.Stats().Waiting).To(Equal(1))
}

// Guards against requests that wait although they can't start in time, and against waiters that
// stay when nobody releases a place.
func TestGateRefusesWhatCannotStartInTime(t *testing.T) {
	g := NewWithT(t)
	clock := clockwork.NewFakeClockAt(start)
	gate := limit.NewWindowGate(limit.DefaultWindowAdmissionOptions(), clock, nil)
	gate.BeginLimited(1)
	permit, err := gate.Acquire(t.Context(), windowWork("a", 0, start))
	g.Expect(err).NotTo(HaveOccurred())
	hopeless := windowWork("a", 0, start)
	hopeless.Deadline = start.Add(100 * time.Millisecond)
	_, err = gate.Acquire(t.Context(), hopeless)
	g.Expect(refusal.FromError(err).Reason).To(Equal(refusal.Overloaded))
	results := make(chan error, 1)
	go func() {
		_, err := gate.Acquire(context.WithoutCancel(t.Context()), windowWork("a", 0, start))
		results <- err
	}()
	g.Expect(clock.BlockUntilContext(t.Context(), 1)).To(Succeed())
	clock.Advance(9 * time.Second)
	g.Expect(refusal.FromError(<-results).Reason).To(Equal(refusal.Overloaded))
	g.Expect(gate.Stats().Waiting).To(BeZero())
	permit.Release(true)
	g.Expect(gate.Stats().InFlight).To(BeZero())
}

// Guards against waiters that are not started when a place becomes free.
func TestGateStartsWaiters(t *testing.T) {
	g := NewWithT(t)
	clock := clockwork.NewFakeClockAt(start)
	gate := limit.NewWindowGate(limit.DefaultWindowAdmissionOptions(), clock, nil)
	gate.BeginLimited(1)
	permit, err := gate.Acquire(t.Context(), windowWork("a", 0, start))
	g.Expect(err).NotTo(HaveOccurred())
	started := make(chan error, 1)
	go func() {
		next, err := gate.Acquire(context.WithoutCancel(t.Context()), windowWork("a", 0, start))
		if err == nil {
			next.Release(true)
		}
		started <- err
	}()
	g.Expect(clock.BlockUntilContext(t.Context(), 1)).To(Succeed())
	permit.Release(true)
	g.Expect(<-started).To(Succeed())
}

func BenchmarkWindowGate(b *testing.B) {
	for name, limited := range map[string]bool{"dormant": false, "free place": true} {
		b.Run(name, func(b *testing.B) {
			gate := limit.NewWindowGate(limit.DefaultWindowAdmissionOptions(), clockwork.NewRealClock(), nil)
			if limited {
				gate.BeginLimited(100)
			}
			work := windowWork("a", 0, time.Now())
			b.ReportAllocs()
			for b.Loop() {
				permit, err := gate.Acquire(b.Context(), work)
				if err != nil {
					b.Fatal(err)
				}
				permit.Observe(limit.Accepted)
				permit.Release(true)
			}
		})
	}
}
