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
	work := func(id account.ID, priority int, cost float64) limit.Work {
		return limit.Work{Account: id, Priority: priority, Cost: cost, Deadline: start.Add(time.Minute)}
	}
	drain := func(q *limit.Queue, now time.Time) (order []account.ID) {
		for next, _ := q.Pop(now); next != nil; next, _ = q.Pop(now) {
			order = append(order, next.Account)
		}
		return order
	}

	It("goes by priority, then shares cost evenly between accounts", func() {
		q := limit.NewQueue(100, 10)
		for range 4 {
			q.Push(work("large", 0, 20))
		}
		for range 4 {
			q.Push(work("small", 0, 10))
		}
		q.Push(work("urgent", 1, 500))
		Expect(q.Before(1, "small")).To(Equal(1))
		Expect(q.Before(0, "small")).To(Equal(9))
		Expect(q.Before(0, "new")).To(Equal(3))
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

	It("starts an account's work by deadline and hands back what is late", func() {
		q := limit.NewQueue(100, 10)
		for _, seconds := range []int{3, 1, 2} {
			w := work("a", 0, float64(seconds))
			w.Deadline = start.Add(time.Duration(seconds) * time.Second)
			q.Push(w)
		}
		next, late := q.Pop(start.Add(1500 * time.Millisecond))
		Expect(next.Cost).To(Equal(2.0))
		Expect(late).To(HaveLen(1))
		Expect(late[0].Cost).To(Equal(1.0))
		Expect(q.Remove(late[0])).To(BeFalse())
	})

	It("evicts the lowest priority, from the account that has the most of it", func() {
		q := limit.NewQueue(3, 10)
		q.Push(work("a", 0, 1))
		q.Push(work("a", 0, 1))
		q.Push(work("b", 0, 1))
		_, _, ok := q.Push(work("a", 0, 1))
		Expect(ok).To(BeFalse())
		_, _, ok = q.Push(work("c", -1, 1))
		Expect(ok).To(BeFalse())
		_, evicted, ok := q.Push(work("c", 0, 1))
		Expect(ok).To(BeTrue())
		Expect(evicted.Account).To(Equal(account.ID("a")))
		_, evicted, ok = q.Push(work("b", 2, 1))
		Expect(ok).To(BeTrue())
		Expect(evicted.Priority).To(BeZero())
		Expect(q.Len()).To(Equal(3))
	})
})

var _ = Describe("Adaptive", func() {
	It("grows while it is used up, shrinks once per cooldown, within its bounds", func() {
		o := limit.DefaultAdaptiveOptions()
		o.Start, o.Min, o.Max = 10, 5, 11
		a := limit.NewAdaptive(o)
		good := limit.Outcome{FirstToken: time.Millisecond}
		a.Observe(good, 1, start)
		Expect(a.Limit()).To(Equal(10))
		for range 100 {
			a.Observe(good, 10, start)
		}
		Expect(a.Limit()).To(Equal(11))
		for range 10 {
			a.Observe(limit.Outcome{Rejected: true}, 10, start)
		}
		Expect(a.Limit()).To(Equal(9))
		for i := range 100 {
			a.Observe(limit.Outcome{FirstToken: time.Hour}, 10, start.Add(time.Duration(i)*time.Second))
		}
		Expect(a.Limit()).To(Equal(5))
	})
})

var _ = Describe("Gate", func() {
	var (
		ctx   = context.Background()
		clock *clockwork.FakeClock
		gate  *limit.Gate
	)
	work := func(id account.ID) limit.Work {
		return limit.Work{Account: id, Cost: 1, Deadline: clock.Now().Add(time.Minute)}
	}
	enter := func(ctx context.Context, w limit.Work) chan error {
		done := make(chan error, 1)
		before := gate.State().Waiting
		go func() {
			_, err := gate.Enter(ctx, w)
			done <- err
		}()
		Eventually(func() int { return gate.State().Waiting }).Should(Equal(before + 1))
		return done
	}
	BeforeEach(func() {
		clock = clockwork.NewFakeClockAt(start)
		o := limit.DefaultGateOptions(clock)
		o.Adaptive.Start, o.Adaptive.Min, o.Queue = 1, 1, 2
		gate = limit.NewGate(o)
	})

	It("lets the next one start when one leaves", func() {
		first, err := gate.Enter(ctx, work("a"))
		Expect(err).NotTo(HaveOccurred())
		second := enter(ctx, work("b"))
		first.Leave(limit.Outcome{})
		first.Leave(limit.Outcome{})
		Eventually(second).Should(Receive(BeNil()))
		Expect(gate.State()).To(Equal(limit.State{InFlight: 1, Limit: 1}))
	})

	It("refuses at once what would start too late, and says when to come back", func() {
		_, err := gate.Enter(ctx, work("a"))
		Expect(err).NotTo(HaveOccurred())
		w := work("b")
		w.Deadline = clock.Now().Add(4*time.Second - 1)
		_, err = gate.Enter(ctx, w)
		Expect(refused(err).Reason).To(Equal(refusal.Overloaded))
		Expect(refused(err).RetryAfter).To(Equal(2 * time.Second))
	})

	It("refuses waiters that give way, ran late or went away", func() {
		first, err := gate.Enter(ctx, work("a"))
		Expect(err).NotTo(HaveOccurred())
		gone, cancel := context.WithCancel(ctx)
		left := enter(gone, work("b"))
		cancel()
		Expect(refused(<-left).Unwrap()).To(MatchError(context.Canceled))
		evicted := enter(ctx, work("b"))
		late := enter(ctx, work("c"))
		urgent := work("d")
		urgent.Priority = 1
		urgent.Deadline = clock.Now().Add(time.Hour)
		passes := make(chan *limit.Pass, 1)
		go func() {
			pass, _ := gate.Enter(ctx, urgent)
			passes <- pass
		}()
		Expect(refused(<-evicted).Reason).To(Equal(refusal.QueueFull))
		clock.Advance(2 * time.Minute)
		first.Leave(limit.Outcome{})
		(<-passes).Leave(limit.Outcome{})
		Expect(refused(<-late).Reason).To(Equal(refusal.Overloaded))
		Expect(gate.State()).To(Equal(limit.State{Limit: 1}))
	})
})
