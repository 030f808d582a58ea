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

// hang makes the store not reply until the call's context ends. It is no fault of package memory.
const hang memory.Fault = -1

// injectAt returns an injector that applies the fault to the nth operation only.
func injectAt(nth int, fault memory.Fault) memory.Injector {
	var operations atomic.Int32
	return func(ctx context.Context, _ memory.Op, _ string) memory.Fault {
		if int(operations.Add(1)) != nth {
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
	DescribeTable("commits each entry once when store operations fail",
		func(nth int, first memory.Fault, second memory.Fault) {
			inSyncTest(func(g *WithT) {
				table, objects := memory.NewTable(), memory.NewObjects()
				injectFirst, injectSecond := injectAt(nth, first), injectAt(nth+1, second)
				objects.Faults = func(ctx context.Context, op memory.Op, key string) memory.Fault {
					return max(injectFirst(ctx, op, key), injectSecond(ctx, op, key))
				}
				w := startWriter(objects, "a", nil)
				defer w.kill()
				g.Expect(w.Append(context.Background(), entry(5))).To(Succeed())
				g.Expect(w.Append(context.Background(), entry(7))).To(Succeed())
				g.Expect(w.Close(context.Background())).To(Succeed())
				w.kill()
				synctest.Wait()
				objects.Faults = nil
				report, totals := settleAndRead(g, table, objects)
				g.Expect(report.MissingSegments).To(BeZero())
				g.Expect(totals).To(Equal(ledger.Totals{Requests: 2, Attempts: 4, Amount: 12, Cost: 6}))
			})
		},
		Entry("store down", 1, memory.Down, memory.None),
		Entry("request lost", 1, memory.RequestLost, memory.None),
		Entry("reply lost", 1, memory.ReplyLost, memory.None),
		Entry("reply lost, then store down", 1, memory.ReplyLost, memory.Down),
		Entry("reply lost twice", 1, memory.ReplyLost, memory.ReplyLost),
		Entry("object created twice", 1, memory.Twice, memory.None),
		Entry("no reply", 1, hang, memory.None),
		Entry("second segment: reply lost", 2, memory.ReplyLost, memory.None),
		Entry("final segment: reply lost", 3, memory.ReplyLost, memory.None),
	)

	It("bounds the backlog in an outage, and commits exactly the entries that it did not refuse", func() {
		inSyncTest(func(g *WithT) {
			table, objects, outage := memory.NewTable(), memory.NewObjects(), outageSwitch{}
			objects.Faults = outage.injector
			outage.Store(true)
			w := startWriter(objects, "a", nil)
			defer w.kill()
			pending, refused := 0, 0
			for id := range 100 {
				err := w.Append(contextWithTimeout(time.Millisecond), entry(id))
				switch {
				case errorx.IsOfType(err, ledger.ErrPending):
					pending++
				case errorx.IsOfType(err, ledger.ErrBacklogFull):
					refused++
				}
			}
			g.Expect(pending).To(BeNumerically(">", 20))
			g.Expect(pending + refused).To(Equal(100))
			outage.Store(false)
			g.Expect(w.Flush(context.Background())).To(Succeed())
			_, totals := settleAndRead(g, table, objects)
			g.Expect(totals.Requests).To(BeEquivalentTo(pending))
		})
	})

	It("counts an exported backlog once when both the writer and the holder commit it", func() {
		inSyncTest(func(g *WithT) {
			table, objects, outage := memory.NewTable(), memory.NewObjects(), outageSwitch{}
			objects.Faults = outage.injector
			outage.Store(true)
			w := startWriter(objects, "a", nil)
			g.Expect(errorx.IsOfType(w.Append(contextWithTimeout(time.Second), entry(3)), ledger.ErrPending)).To(BeTrue())
			g.Expect(errorx.IsOfType(w.Close(contextWithTimeout(time.Second)), ledger.ErrPending)).To(BeTrue())
			g.Expect(errorx.IsOfType(w.Append(context.Background(), entry(4)), ledger.ErrClosed)).To(BeTrue())
			holder := ledger.NewHolder(ledger.HolderOptions{Objects: objects, Prefix: prefix})
			g.Expect(holder.Import(context.Background(), w.Export())).To(Succeed())
			outage.Store(false)
			g.Expect(w.Flush(context.Background())).To(Succeed())
			w.kill()
			_, totals := settleAndRead(g, table, objects)
			g.Expect(totals.Requests).To(BeEquivalentTo(1))
			holder.Drain(context.Background())
			g.Expect(holder.Held()).To(BeZero())
			_, totals = settleAndRead(g, table, objects)
			g.Expect(totals.Requests).To(BeEquivalentTo(1))
		})
	})

	It("copies its backlog to a peer in an outage, so that the entries survive its crash", func() {
		inSyncTest(func(g *WithT) {
			table, objects, outage := memory.NewTable(), memory.NewObjects(), outageSwitch{}
			objects.Faults = outage.injector
			holder := ledger.NewHolder(ledger.HolderOptions{Objects: objects, Prefix: prefix})
			w := startWriter(objects, "a", holder)
			g.Expect(w.Append(context.Background(), entry(1))).To(Succeed())
			outage.Store(true)
			for id := 2; id < 5; id++ {
				g.Expect(errorx.IsOfType(w.Append(contextWithTimeout(4*time.Second), entry(id)), ledger.ErrPending)).To(BeTrue())
			}
			w.kill()
			synctest.Wait()
			outage.Store(false)
			holder.Drain(context.Background())
			_, totals := settleAndRead(g, table, objects)
			g.Expect(totals.Amount).To(BeEquivalentTo(1 + 2 + 3 + 4))
			s := ledger.NewSettler(ledger.SettlerOptions{Table: table, Objects: objects, Prefix: prefix})
			incarnations, err := s.Incarnations(context.Background())
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(incarnations).To(HaveLen(1))
			g.Expect(incarnations[0].Complete()).To(BeFalse(), "the writer was not closed")
		})
	})

	It("stops and returns its uncommitted entries when another writer uses its incarnation", func() {
		inSyncTest(func(g *WithT) {
			objects := memory.NewObjects()
			first, second := startWriter(objects, "a", nil), startWriter(objects, "a", nil)
			defer first.kill()
			defer second.kill()
			g.Expect(first.Append(context.Background(), entry(1))).To(Succeed())
			err := second.Append(context.Background(), entry(2))
			g.Expect(errorx.IsOfType(err, ledger.ErrIncarnationTaken)).To(BeTrue(), "%v", err)
			g.Expect(second.Unwritten()).To(HaveLen(1))
		})
	})

	It("batches entries under load and does not delay a single entry", func() {
		inSyncTest(func(g *WithT) {
			objects := memory.NewObjects()
			w := startWriter(objects, "a", nil)
			defer w.kill()
			startedAt := time.Now()
			g.Expect(w.Append(context.Background(), entry(0))).To(Succeed())
			g.Expect(time.Since(startedAt)).To(BeZero())
			for id := range 100 {
				go func() { _ = w.Append(context.Background(), entry(id)) }()
			}
			synctest.Wait()
			g.Expect(w.Flush(context.Background())).To(Succeed())
			g.Expect(objects.Counts().Writes).To(BeNumerically("<=", 3))
		})
	})

	DescribeTable("rejects malformed entries with ErrInvalid", func(change func(*ledger.Entry)) {
		w, err := ledger.NewWriter(ledger.WriterOptions{Objects: memory.NewObjects(), Incarnation: "a"})
		Expect(err).NotTo(HaveOccurred())
		e := entry(1)
		change(&e)
		Expect(errorx.IsOfType(w.Append(context.Background(), e), ledger.ErrInvalid)).To(BeTrue())
	},
		Entry("no request id", func(e *ledger.Entry) { e.RequestID = "" }),
		Entry("no time", func(e *ledger.Entry) { e.Time = time.Time{} }),
		Entry("negative amount", func(e *ledger.Entry) { e.Amount = -1 }),
		Entry("negative cost", func(e *ledger.Entry) { e.Attempts[0].Cost = -1 }),
	)
})

var _ = DescribeTable("delay until the open batch is sealed", func(mean, sinceSeal, want time.Duration, writers int) {
	p := ledger.BatchPolicy{LatencyFactor: 2, MinInterval: 50 * time.Millisecond, MaxInterval: 500 * time.Millisecond}
	p.MaxWritesPerSecond, p.WriterCount = 200, func() int { return writers }
	Expect(p.Delay(mean, sinceSeal)).To(Equal(want))
},
	Entry("first batch after an idle time: no delay", 20*time.Millisecond, time.Second, time.Duration(0), 1),
	Entry("fast store: minimal interval", time.Millisecond, 10*time.Millisecond, 40*time.Millisecond, 1),
	Entry("slow store: maximal interval", time.Second, 100*time.Millisecond, 400*time.Millisecond, 1),
	Entry("many writers: interval of the group", time.Millisecond, time.Duration(0), 5*time.Second, 1000),
)
