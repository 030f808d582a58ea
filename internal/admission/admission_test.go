package admission

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/poplarshore/poplarshore/refusal"
	"github.com/poplarshore/poplarshore/route"
)

const (
	testSlots = 1440
	testVMs   = 75
)

func newTestServices(clock clockwork.Clock) *Services {
	return New(Options{
		Clock: clock, Log: slog.New(slog.DiscardHandler), Registry: prometheus.NewRegistry(),
		Room: func(string) (int, int) { return testSlots, testVMs },
	})
}

func testWork(now time.Time, rank int) Work {
	return Work{Account: "a", Rank: rank, Start: now.Add(time.Second), LatestStart: now.Add(5 * time.Second), Tokens: 100}
}

// Guards against a herd after a kill of all VMs: without any report, a VM begins with its part
// of the slots, and the first rank exceeds it before the others do.
func TestVMThatStartedBeginsWithItsPartOfTheSlots(t *testing.T) {
	g := NewWithT(t)
	clock := clockwork.NewFakeClock()
	s := newTestServices(clock)
	_, err := s.Acquire(t.Context(), "x", testWork(clock.Now(), 2))
	g.Expect(err).NotTo(HaveOccurred())
	stats := s.service("x").gate.Stats()
	g.Expect(stats.Limit).To(BeNumerically("~", testSlots/testVMs, 1))
	for range testSlots/testVMs + 1 {
		_, err = s.Acquire(t.Context(), "x", testWork(clock.Now(), 0))
		g.Expect(err).NotTo(HaveOccurred())
	}
	hopeless := testWork(clock.Now(), 2)
	hopeless.Start, hopeless.LatestStart = clock.Now().Add(time.Millisecond), clock.Now().Add(time.Millisecond)
	_, err = s.Acquire(t.Context(), "x", hopeless)
	g.Expect(refusal.FromError(err).Reason).To(Equal(refusal.Overloaded))
	g.Expect(refusal.FromError(err).RetryAfter).To(BeNumerically(">", 0))
}

// Guards against a limit for a VM that has run for a while and knows of no overload.
func TestNoLimitWithoutOverload(t *testing.T) {
	g := NewWithT(t)
	clock := clockwork.NewFakeClock()
	s := newTestServices(clock)
	clock.Advance(startupSpan)
	for range 500 {
		p, err := s.Acquire(t.Context(), "x", testWork(clock.Now(), 2))
		g.Expect(err).NotTo(HaveOccurred())
		p.ReportLoad(route.Load{Running: 20, Waiting: 1, Capacity: 24})
	}
	g.Expect(s.service("x").gate.Stats().Limit).To(BeZero())
}

// Guards against a limit by a rejection that is no overload of the service: the upstream has free
// slots, and the request does not fit into its memory.
func TestRejectionByUpstreamWithFreeSlotsIsNoOverload(t *testing.T) {
	g := NewWithT(t)
	clock := clockwork.NewFakeClock()
	s := newTestServices(clock)
	clock.Advance(startupSpan)
	p, err := s.Acquire(t.Context(), "x", testWork(clock.Now(), 0))
	g.Expect(err).NotTo(HaveOccurred())
	p.ReportRejected(route.Load{Running: 3, Capacity: 24}, true)
	g.Expect(p.Limited()).To(BeFalse())
	p.ReportRejected(route.Load{Running: 24, Waiting: 50, Capacity: 24}, true)
	g.Expect(p.Limited()).To(BeTrue())
}

// Guards against a decision that costs memory, or time, on the path of every request.
func BenchmarkAcquire(b *testing.B) {
	s := newTestServices(clockwork.NewRealClock())
	ctx := context.Background()
	b.ReportAllocs()
	for b.Loop() {
		now := time.Now()
		p, err := s.Acquire(ctx, "x", testWork(now, 1))
		if err != nil {
			b.Fatal(err)
		}
		p.ReportFirst(time.Millisecond, 0, time.Millisecond, time.Second, false)
		p.Release(true)
	}
}
