package limit_test

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/account"
	"github.com/poplarshore/poplarshore/limit"
	"github.com/poplarshore/poplarshore/refusal"
)

var _ = Describe("Queue", func() {
	newWork := func(id account.ID, priority int, cost float64) limit.Work {
		return limit.Work{Account: id, Priority: priority, Cost: cost, Deadline: start.Add(time.Minute)}
	}
	drain := func(q *limit.Queue, now time.Time) (order []account.ID) {
		for next, _ := q.Pop(now); next != nil; next, _ = q.Pop(now) {
			order = append(order, next.Account)
		}
		return order
	}

	It("serves by priority and divides cost evenly between accounts of equal priority", func() {
		q := limit.NewQueue(100, 10)
		for range 4 {
			q.Push(newWork("large", 0, 20))
		}
		for range 4 {
			q.Push(newWork("small", 0, 10))
		}
		q.Push(newWork("urgent", 1, 500))
		Expect(q.CountAhead(1, "small")).To(Equal(1))
		Expect(q.CountAhead(0, "small")).To(Equal(9))
		Expect(q.CountAhead(0, "new")).To(Equal(3))
		order := drain(q, start)
		Expect(order[0]).To(Equal(account.ID("urgent")))
		cost := map[account.ID]int{}
		for _, id := range order[1:7] {
			cost[id] += map[account.ID]int{"large": 20, "small": 10}[id]
		}
		Expect(cost).To(Equal(map[account.ID]int{"large": 40, "small": 40}))
		Expect(order).To(HaveLen(9))
		Expect(q.Len()).To(BeZero())
	})

	It("serves one account by earliest deadline and returns the waiters that are late", func() {
		q := limit.NewQueue(100, 10)
		for _, seconds := range []int{3, 1, 2} {
			w := newWork("a", 0, float64(seconds))
			w.Deadline = start.Add(time.Duration(seconds) * time.Second)
			q.Push(w)
		}
		next, late := q.Pop(start.Add(1500 * time.Millisecond))
		Expect(next.Cost).To(Equal(2.0))
		Expect(late).To(HaveLen(1))
		Expect(late[0].Cost).To(Equal(1.0))
		Expect(q.Remove(late[0])).To(BeFalse())
	})

	It("evicts at the lowest priority from the account with the most waiters", func() {
		q := limit.NewQueue(3, 10)
		q.Push(newWork("a", 0, 1))
		q.Push(newWork("a", 0, 1))
		q.Push(newWork("b", 0, 1))
		_, _, ok := q.Push(newWork("a", 0, 1))
		Expect(ok).To(BeFalse())
		_, _, ok = q.Push(newWork("c", -1, 1))
		Expect(ok).To(BeFalse())
		_, evicted, ok := q.Push(newWork("c", 0, 1))
		Expect(ok).To(BeTrue())
		Expect(evicted.Account).To(Equal(account.ID("a")))
		_, evicted, ok = q.Push(newWork("b", 2, 1))
		Expect(ok).To(BeTrue())
		Expect(evicted.Priority).To(BeZero())
		Expect(q.Len()).To(Equal(3))
	})
})

var _ = Describe("Adaptive", func() {
	It("grows while nearly exhausted and decreases once per cooldown, within its bounds", func() {
		o := limit.DefaultAdaptiveOptions()
		o.Start, o.Min, o.Max = 10, 5, 11
		adaptive := limit.NewAdaptive(o)
		onTime := limit.Outcome{FirstToken: time.Millisecond}
		adaptive.Observe(onTime, 1, start)
		Expect(adaptive.Limit()).To(Equal(10))
		for range 100 {
			adaptive.Observe(onTime, 10, start)
		}
		Expect(adaptive.Limit()).To(Equal(11))
		for range 10 {
			adaptive.Observe(limit.Outcome{Rejected: true}, 10, start)
		}
		Expect(adaptive.Limit()).To(Equal(9))
		for i := range 100 {
			adaptive.Observe(limit.Outcome{FirstToken: time.Hour}, 10, start.Add(time.Duration(i)*time.Second))
		}
		Expect(adaptive.Limit()).To(Equal(5))
	})
})

var _ = Describe("Gate", func() {
	var (
		ctx   = context.Background()
		clock *clockwork.FakeClock
		gate  *limit.Gate
	)
	newWork := func(id account.ID) limit.Work {
		return limit.Work{Account: id, Cost: 1, Deadline: clock.Now().Add(time.Minute)}
	}
	acquireQueued := func(ctx context.Context, w limit.Work) chan error {
		done := make(chan error, 1)
		waitingBefore := gate.Stats().Waiting
		go func() {
			_, err := gate.Acquire(ctx, w)
			done <- err
		}()
		Eventually(func() int { return gate.Stats().Waiting }).Should(Equal(waitingBefore + 1))
		return done
	}
	BeforeEach(func() {
		clock = clockwork.NewFakeClockAt(start)
		o := limit.DefaultGateOptions(clock)
		o.Adaptive.Start, o.Adaptive.Min, o.MaxQueued = 1, 1, 2
		gate = limit.NewGate(o)
	})

	It("starts a queued request when a permit is released", func() {
		first, err := gate.Acquire(ctx, newWork("a"))
		Expect(err).NotTo(HaveOccurred())
		secondErr := acquireQueued(ctx, newWork("b"))
		first.Release(limit.Outcome{})
		first.Release(limit.Outcome{})
		Eventually(secondErr).Should(Receive(BeNil()))
		Expect(gate.Stats()).To(Equal(limit.GateStats{InFlight: 1, Limit: 1}))
	})

	It("refuses work at once that would miss its deadline, with a retry delay", func() {
		_, err := gate.Acquire(ctx, newWork("a"))
		Expect(err).NotTo(HaveOccurred())
		w := newWork("b")
		w.Deadline = clock.Now().Add(4*time.Second - 1)
		_, err = gate.Acquire(ctx, w)
		Expect(asRefusal(err).Reason).To(Equal(refusal.Overloaded))
		Expect(asRefusal(err).RetryAfter).To(Equal(2 * time.Second))
	})

	It("refuses waiters that are evicted, late or cancelled", func() {
		first, err := gate.Acquire(ctx, newWork("a"))
		Expect(err).NotTo(HaveOccurred())
		cancelled, cancel := context.WithCancel(ctx)
		cancelledErr := acquireQueued(cancelled, newWork("b"))
		cancel()
		Expect(asRefusal(<-cancelledErr).Unwrap()).To(MatchError(context.Canceled))
		evictedErr := acquireQueued(ctx, newWork("b"))
		lateErr := acquireQueued(ctx, newWork("c"))
		urgent := newWork("d")
		urgent.Priority = 1
		urgent.Deadline = clock.Now().Add(time.Hour)
		permits := make(chan *limit.Permit, 1)
		go func() {
			permit, _ := gate.Acquire(ctx, urgent)
			permits <- permit
		}()
		Expect(asRefusal(<-evictedErr).Reason).To(Equal(refusal.QueueFull))
		clock.Advance(2 * time.Minute)
		first.Release(limit.Outcome{})
		(<-permits).Release(limit.Outcome{})
		Expect(asRefusal(<-lateErr).Reason).To(Equal(refusal.Overloaded))
		Expect(gate.Stats()).To(Equal(limit.GateStats{Limit: 1}))
	})
})
