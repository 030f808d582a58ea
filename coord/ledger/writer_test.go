package ledger_test

import (
	"context"
	"sync/atomic"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/coord/ledger"
	"github.com/poplarshore/poplarshore/coord/store/memory"
)

// hang stands for a store that never answers.
const hang memory.Fault = -1

func inject(nth int, fault memory.Fault) memory.Injector {
	var seen atomic.Int32
	return func(ctx context.Context, _ memory.Op, _ string) memory.Fault {
		if int(seen.Add(1)) != nth {
			return memory.None
		}
		if fault == hang {
			<-ctx.Done()
			return memory.None
		}
		return fault
	}
}

var _ = Describe("Writer", func() {
	DescribeTable("commits once whatever strikes a step",
		func(nth int, first memory.Fault, second memory.Fault) {
			inBubble(func(g *WithT) {
				table, objects := memory.NewTable(), memory.NewObjects()
				one, two := inject(nth, first), inject(nth+1, second)
				objects.Faults = func(ctx context.Context, op memory.Op, key string) memory.Fault {
					return max(one(ctx, op, key), two(ctx, op, key))
				}
				w := start(objects, "a", nil)
				defer w.kill()
				g.Expect(w.Append(context.Background(), entry(5))).To(Succeed())
				g.Expect(w.Append(context.Background(), entry(7))).To(Succeed())
				g.Expect(w.Close(context.Background())).To(Succeed())
				w.kill()
				synctest.Wait()
				objects.Faults = nil
				report, totals := settle(g, table, objects)
				g.Expect(report.Gaps).To(BeZero())
				g.Expect(totals).To(Equal(ledger.Totals{Requests: 2, Attempts: 4, Amount: 12, Cost: 6}))
			})
		},
		Entry("store down", 1, memory.Down, memory.None),
		Entry("request lost", 1, memory.RequestLost, memory.None),
		Entry("reply lost", 1, memory.ReplyLost, memory.None),
		Entry("reply lost, then down", 1, memory.ReplyLost, memory.Down),
		Entry("reply lost twice", 1, memory.ReplyLost, memory.ReplyLost),
		Entry("twice", 1, memory.Twice, memory.None),
		Entry("no answer", 1, hang, memory.None),
		Entry("second segment: reply lost", 2, memory.ReplyLost, memory.None),
		Entry("final mark: reply lost", 3, memory.ReplyLost, memory.None),
	)

	It("keeps a bounded backlog in an outage and refuses truly beyond it", func() {
		inBubble(func(g *WithT) {
			table, objects, store := memory.NewTable(), memory.NewObjects(), outage{}
			objects.Faults = store.injector
			store.Store(true)
			w := start(objects, "a", nil)
			defer w.kill()
			pending, refused := 0, 0
			for id := range 100 {
				err := w.Append(within(time.Millisecond), entry(id))
				switch {
				case errorx.IsOfType(err, ledger.ErrPending):
					pending++
				case errorx.IsOfType(err, ledger.ErrBacklogFull):
					refused++
				}
			}
			g.Expect(pending).To(BeNumerically(">", 20))
			g.Expect(pending + refused).To(Equal(100))
			store.Store(false)
			g.Expect(w.Flush(context.Background())).To(Succeed())
			_, totals := settle(g, table, objects)
			g.Expect(totals.Requests).To(BeEquivalentTo(pending))
		})
	})

	It("hands its backlog over at a planned stop, and both writing it counts once", func() {
		inBubble(func(g *WithT) {
			table, objects, store := memory.NewTable(), memory.NewObjects(), outage{}
			objects.Faults = store.injector
			store.Store(true)
			w := start(objects, "a", nil)
			g.Expect(errorx.IsOfType(w.Append(within(time.Second), entry(3)), ledger.ErrPending)).To(BeTrue())
			g.Expect(errorx.IsOfType(w.Close(within(time.Second)), ledger.ErrPending)).To(BeTrue())
			g.Expect(errorx.IsOfType(w.Append(context.Background(), entry(4)), ledger.ErrClosed)).To(BeTrue())
			holder := ledger.NewHolder(ledger.HolderOptions{Objects: objects, Prefix: prefix})
			g.Expect(holder.Import(context.Background(), w.Export())).To(Succeed())
			store.Store(false)
			g.Expect(w.Flush(context.Background())).To(Succeed())
			w.kill()
			_, totals := settle(g, table, objects)
			g.Expect(totals.Requests).To(BeEquivalentTo(1))
			holder.Drain(context.Background())
			g.Expect(holder.Held()).To(BeZero())
			_, totals = settle(g, table, objects)
			g.Expect(totals.Requests).To(BeEquivalentTo(1))
		})
	})

	It("leaves copies with a peer, which survive the VM", func() {
		inBubble(func(g *WithT) {
			table, objects, store := memory.NewTable(), memory.NewObjects(), outage{}
			objects.Faults = store.injector
			holder := ledger.NewHolder(ledger.HolderOptions{Objects: objects, Prefix: prefix})
			w := start(objects, "a", holder)
			g.Expect(w.Append(context.Background(), entry(1))).To(Succeed())
			store.Store(true)
			for id := 2; id < 5; id++ {
				g.Expect(errorx.IsOfType(w.Append(within(4*time.Second), entry(id)), ledger.ErrPending)).To(BeTrue())
			}
			w.kill()
			synctest.Wait()
			store.Store(false)
			holder.Drain(context.Background())
			_, totals := settle(g, table, objects)
			g.Expect(totals.Amount).To(BeEquivalentTo(1 + 2 + 3 + 4))
			s := ledger.NewSettler(ledger.SettlerOptions{Table: table, Objects: objects, Prefix: prefix})
			incarnations, err := s.Incarnations(context.Background())
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(incarnations).To(HaveLen(1))
			g.Expect(incarnations[0].Complete()).To(BeFalse(), "the writer never said that it ended")
		})
	})

	It("stops, and loses nothing silently, when its incarnation is taken", func() {
		inBubble(func(g *WithT) {
			objects := memory.NewObjects()
			first, second := start(objects, "a", nil), start(objects, "a", nil)
			defer first.kill()
			defer second.kill()
			g.Expect(first.Append(context.Background(), entry(1))).To(Succeed())
			err := second.Append(context.Background(), entry(2))
			g.Expect(errorx.IsOfType(err, ledger.ErrTaken)).To(BeTrue(), "%v", err)
			g.Expect(second.Unwritten()).To(HaveLen(1))
		})
	})

	It("shares segments under load and does not delay a lone request", func() {
		inBubble(func(g *WithT) {
			objects := memory.NewObjects()
			w := start(objects, "a", nil)
			defer w.kill()
			began := time.Now()
			g.Expect(w.Append(context.Background(), entry(0))).To(Succeed())
			g.Expect(time.Since(began)).To(BeZero())
			for id := range 100 {
				go func() { _ = w.Append(context.Background(), entry(id)) }()
			}
			synctest.Wait()
			g.Expect(w.Flush(context.Background())).To(Succeed())
			g.Expect(objects.Counts().Writes).To(BeNumerically("<=", 3))
		})
	})

	DescribeTable("refuses malformed entries", func(change func(*ledger.Entry)) {
		w, err := ledger.NewWriter(ledger.WriterOptions{Objects: memory.NewObjects(), Incarnation: "a"})
		Expect(err).NotTo(HaveOccurred())
		e := entry(1)
		change(&e)
		Expect(errorx.IsOfType(w.Append(context.Background(), e), ledger.ErrInvalid)).To(BeTrue())
	},
		Entry("no id", func(e *ledger.Entry) { e.RequestID = "" }),
		Entry("no time", func(e *ledger.Entry) { e.Time = time.Time{} }),
		Entry("negative amount", func(e *ledger.Entry) { e.Amount = -1 }),
		Entry("negative cost", func(e *ledger.Entry) { e.Attempts[0].Cost = -1 }),
	)
})

var _ = DescribeTable("Pace", func(mean, sinceSeal, want time.Duration, writers int) {
	p := ledger.Pace{Factor: 2, MinInterval: 50 * time.Millisecond, MaxInterval: 500 * time.Millisecond}
	p.GroupWrites, p.Writers = 200, func() int { return writers }
	Expect(p.Delay(mean, sinceSeal)).To(Equal(want))
},
	Entry("a lone request goes at once", 20*time.Millisecond, time.Second, time.Duration(0), 1),
	Entry("a fast store", time.Millisecond, 10*time.Millisecond, 40*time.Millisecond, 1),
	Entry("a slow store", time.Second, 100*time.Millisecond, 400*time.Millisecond, 1),
	Entry("many writers", time.Millisecond, time.Duration(0), 5*time.Second, 1000),
)
