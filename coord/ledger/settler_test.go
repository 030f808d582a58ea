package ledger_test

import (
	"context"
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/joomcode/errorx"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/poplarshore/poplarshore/coord/ledger"
	"github.com/poplarshore/poplarshore/coord/store/memory"
)

// bench is a store with settlers around it.
type bench struct {
	clock   *clockwork.FakeClock
	table   *memory.Table
	objects *memory.Objects
}

func newBench() *bench {
	return &bench{clock: clockwork.NewFakeClockAt(time.Unix(1e9, 0)), table: memory.NewTable(), objects: memory.NewObjects()}
}

func (b *bench) settler(fence uint64) *ledger.Settler {
	return ledger.NewSettler(ledger.SettlerOptions{
		Table: b.table, Objects: b.objects, Prefix: prefix, Fence: fence, Clock: b.clock, BatchBytes: 400, Shards: 2,
	})
}

func (b *bench) faults(i memory.Injector) { b.table.Faults, b.objects.Faults = i, i }

// write puts the entries into segments of at most two and closes the writer
// if it is final.
func (b *bench) write(incarnation string, final bool, entries ...ledger.Entry) []ledger.Sealed {
	GinkgoHelper()
	w, err := ledger.NewWriter(ledger.WriterOptions{
		Objects: b.objects, Prefix: prefix, Incarnation: incarnation, SegmentEntries: 2, Clock: b.clock,
	})
	Expect(err).NotTo(HaveOccurred())
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	for _, e := range entries {
		_ = w.Append(ended, e)
	}
	if final {
		_ = w.Close(ended)
	}
	sealed := w.Export()
	b.restore(sealed...)
	return sealed
}

func (b *bench) restore(sealed ...ledger.Sealed) {
	GinkgoHelper()
	for _, s := range sealed {
		Expect(b.objects.Create(context.Background(), s.Key, s.Body)).To(Succeed())
	}
}

func (b *bench) entries(from, to int) []ledger.Entry {
	var out []ledger.Entry
	for id := from; id < to; id++ {
		e := entry(id)
		e.Time = b.clock.Now().Add(time.Duration(id) * 90 * time.Second)
		out = append(out, e)
	}
	return out
}

// passLate settles new requests of the times at which the first ones were made.
func (b *bench) passLate() ledger.Report {
	GinkgoHelper()
	late := b.entries(0, 4)
	for i := range late {
		late[i].RequestID = fmt.Sprint("late", i)
		late[i].Time = late[i].Time.Add(-26 * time.Hour)
	}
	b.write("late", false, late...)
	report, err := b.settler(1).Pass(context.Background())
	Expect(err).NotTo(HaveOccurred())
	return report
}

func (b *bench) requests() ledger.Totals {
	GinkgoHelper()
	totals, err := b.settler(9).Totals(context.Background(), account)
	Expect(err).NotTo(HaveOccurred())
	return totals
}

var _ = Describe("Settler", func() {
	ctx := context.Background()
	want := ledger.Totals{Requests: 6, Attempts: 12, Amount: 15, Cost: 18}

	// work settles, ages and compacts; it stops at the first error.
	work := func(b *bench, fence uint64) error {
		s := b.settler(fence)
		if _, err := s.Pass(ctx); err != nil {
			return err
		}
		b.clock.Advance(26 * time.Hour)
		_, err := s.Compact(ctx)
		return err
	}
	prepare := func() *bench {
		b := newBench()
		b.write("a", true, b.entries(0, 4)...)
		b.write("b", false, b.entries(2, 6)...)
		return b
	}

	DescribeTable("counts each request once whatever strikes any step, restarting with nothing",
		func(fault memory.Fault) {
			for nth, struck := 1, true; struck; nth++ {
				b, seen := prepare(), 0
				b.faults(func(context.Context, memory.Op, string) memory.Fault {
					if seen++; seen == nth {
						return fault
					}
					return memory.None
				})
				_ = work(b, 1)
				struck = seen >= nth
				b.faults(nil)
				Expect(b.requests().Requests).To(BeNumerically("<=", 6))
				Expect(work(b, 2)).To(Succeed())
				b.table.Deliver()
				Expect(b.requests()).To(Equal(want), "fault at operation %d", nth)
			}
		},
		Entry("store down", memory.Down),
		Entry("reply lost", memory.ReplyLost),
		Entry("request lost", memory.RequestLost),
		Entry("late", memory.Late),
		Entry("twice", memory.Twice),
	)

	DescribeTable("counts each request once when it pauses at any step while another does the work", func(fence uint64) {
		for nth, struck := 1, true; struck; nth++ {
			b, seen := prepare(), 0
			b.faults(func(context.Context, memory.Op, string) memory.Fault {
				if seen++; seen == nth {
					b.faults(nil)
					Expect(work(b, fence)).To(Succeed())
				}
				return memory.None
			})
			_ = work(b, 1)
			struck = seen >= nth
			b.faults(nil)
			Expect(work(b, 3)).To(Succeed())
			Expect(b.requests()).To(Equal(want), "pause at operation %d", nth)
		}
	},
		Entry("with a higher fencing token", uint64(2)),
		Entry("with the same fencing token", uint64(1)),
	)

	It("counts what comes at any step of a compaction once, or sets it aside", func() {
		for nth, struck := 1, true; struck; nth++ {
			b, seen := prepare(), 0
			_, err := b.settler(1).Pass(ctx)
			Expect(err).NotTo(HaveOccurred())
			b.clock.Advance(26 * time.Hour)
			var report ledger.Report
			b.faults(func(context.Context, memory.Op, string) memory.Fault {
				if seen++; seen == nth {
					b.faults(nil)
					report = b.passLate()
				}
				return memory.None
			})
			_, _ = b.settler(1).Compact(ctx)
			struck = seen >= nth
			b.faults(nil)
			Expect(report.Requests + report.Late).To(Equal(map[bool]int{true: 4}[struck]))
			for range 2 {
				Expect(b.requests().Requests).To(BeEquivalentTo(6+report.Requests), "at operation %d", nth)
				_, err = b.settler(1).Compact(ctx)
				Expect(err).NotTo(HaveOccurred())
			}
		}
	})

	It("ignores segments that come back after they were folded", func() {
		b := newBench()
		sealed := b.write("a", true, b.entries(0, 6)...)
		Expect(work(b, 1)).To(Succeed())
		b.restore(sealed...)
		b.clock.Advance(26 * time.Hour)
		report, err := b.settler(1).Pass(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(report).To(Equal(ledger.Report{Segments: 4}))
		Expect(b.requests().Requests).To(BeEquivalentTo(6))
	})

	It("stops under an older fencing token", func() {
		b := prepare()
		_, err := b.settler(5).Pass(ctx)
		Expect(err).NotTo(HaveOccurred())
		b.write("c", false, b.entries(100, 102)...)
		_, err = b.settler(4).Pass(ctx)
		Expect(errorx.IsOfType(err, ledger.ErrFenced)).To(BeTrue(), "%v", err)
		_, err = b.settler(4).Compact(ctx)
		Expect(errorx.IsOfType(err, ledger.ErrFenced)).To(BeTrue(), "%v", err)
		Expect(b.requests()).To(Equal(want))
	})

	It("reports gaps and unended writers, and closes a gap that fills", func() {
		b := newBench()
		sealed := b.write("a", true, b.entries(0, 6)...)
		Expect(b.objects.Delete(ctx, sealed[1].Key)).To(Succeed())
		report, err := b.settler(1).Pass(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(report.Gaps).To(Equal(1))
		known, err := b.settler(1).Incarnations(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(known[0].Missing).To(ConsistOf(And(HaveField("From", uint64(2)), HaveField("To", uint64(2)))))
		b.restore(sealed[1])
		Expect(work(b, 1)).To(Succeed())
		known, err = b.settler(1).Incarnations(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(known[0].Complete()).To(BeTrue())
		Expect(b.requests().Requests).To(BeEquivalentTo(6))
		Expect(b.settler(1).Prune(ctx)).To(Equal(1))
	})

	It("never deletes what it can't read, and sets aside what is too old to compare", func() {
		b := newBench()
		key := prefix + "/segments/x/00000000000000000001"
		b.restore(ledger.Sealed{Key: key, Body: []byte("damaged")})
		b.write("a", true, b.entries(0, 2)...)
		b.clock.Advance(26 * time.Hour)
		Expect(b.settler(1).Compact(ctx)).To(BeZero())
		report, err := b.settler(1).Pass(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(report).To(And(HaveField("Corrupt", 1), HaveField("Late", 2), HaveField("Requests", 0)))
		Expect(b.objects.List(ctx, prefix+"/segments/", "", 0)).To(ConsistOf(key))
		Expect(b.objects.List(ctx, prefix+"/late/", "", 0)).To(HaveLen(1))
	})

	It("agrees with a model under random duplicates, crashes and compactions", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			b := newBench()
			ids := make(map[int]bool)
			for round := range rapid.IntRange(1, 5).Draw(t, "rounds") {
				var entries []ledger.Entry
				for _, id := range rapid.SliceOfN(rapid.IntRange(0, 12), 0, 8).Draw(t, "ids") {
					ids[id] = true
					entries = append(entries, b.entries(id, id+1)...)
				}
				b.write(fmt.Sprint("w", round), rapid.Bool().Draw(t, "final"), entries...)
				left := rapid.IntRange(0, 60).Draw(t, "operations until the crash")
				fault := rapid.SampledFrom([]memory.Fault{memory.Down, memory.ReplyLost, memory.RequestLost}).Draw(t, "fault")
				b.faults(func(context.Context, memory.Op, string) memory.Fault {
					if left--; left < 0 {
						return fault
					}
					return memory.None
				})
				_, _ = b.settler(uint64(round)).Pass(ctx)
				_, _ = b.settler(uint64(round)).Compact(ctx)
				b.faults(nil)
			}
			_, err := b.settler(9).Pass(ctx)
			Expect(err).NotTo(HaveOccurred())
			b.clock.Advance(26 * time.Hour)
			_, err = b.settler(9).Compact(ctx)
			Expect(err).NotTo(HaveOccurred())
			sum := 0
			for id := range ids {
				sum += id
			}
			Expect(b.requests()).To(And(HaveField("Requests", int64(len(ids))), HaveField("Amount", ledger.Micros(sum))))
		})
	})
})
