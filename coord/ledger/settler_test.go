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

// fixture is an in-memory store with a fake clock.
type fixture struct {
	clock   *clockwork.FakeClock
	table   *memory.Table
	objects *memory.Objects
}

func newFixture() *fixture {
	return &fixture{clock: clockwork.NewFakeClockAt(time.Unix(1e9, 0)), table: memory.NewTable(), objects: memory.NewObjects()}
}

func (f *fixture) settler(fence uint64) *ledger.Settler {
	return ledger.NewSettler(ledger.SettlerOptions{
		Table: f.table, Objects: f.objects, Prefix: prefix, Fence: fence, Clock: f.clock, BatchBytes: 400, Shards: 2,
	})
}

func (f *fixture) setFaults(i memory.Injector) { f.table.Faults, f.objects.Faults = i, i }

// writeSegments creates segments of at most two entries each, and the final segment if requested.
func (f *fixture) writeSegments(incarnation string, final bool, entries ...ledger.Entry) []ledger.SealedSegment {
	GinkgoHelper()
	w, err := ledger.NewWriter(ledger.WriterOptions{
		Objects: f.objects, Prefix: prefix, Incarnation: incarnation, SegmentEntries: 2, Clock: f.clock,
	})
	Expect(err).NotTo(HaveOccurred())
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	for _, e := range entries {
		_ = w.Append(cancelled, e)
	}
	if final {
		_ = w.Close(cancelled)
	}
	sealed := w.Export()
	f.createObjects(sealed...)
	return sealed
}

func (f *fixture) createObjects(sealed ...ledger.SealedSegment) {
	GinkgoHelper()
	for _, s := range sealed {
		Expect(f.objects.Create(context.Background(), s.Key, s.Body)).To(Succeed())
	}
}

// entries returns the entries with the given numbers, whose times are 90 s apart.
func (f *fixture) entries(from, to int) []ledger.Entry {
	var entries []ledger.Entry
	for id := from; id < to; id++ {
		e := entry(id)
		e.Time = f.clock.Now().Add(time.Duration(id) * 90 * time.Second)
		entries = append(entries, e)
	}
	return entries
}

// settleLateEntries settles new requests with the times of entries 0 to 3, 26 hours after them.
func (f *fixture) settleLateEntries() ledger.Report {
	GinkgoHelper()
	late := f.entries(0, 4)
	for i := range late {
		late[i].RequestID = fmt.Sprint("late", i)
		late[i].Time = late[i].Time.Add(-26 * time.Hour)
	}
	f.writeSegments("late", false, late...)
	report, err := f.settler(1).Settle(context.Background())
	Expect(err).NotTo(HaveOccurred())
	return report
}

func (f *fixture) totals() ledger.Totals {
	GinkgoHelper()
	totals, err := f.settler(9).Totals(context.Background(), account)
	Expect(err).NotTo(HaveOccurred())
	return totals
}

var _ = Describe("Settler", func() {
	ctx := context.Background()
	want := ledger.Totals{Requests: 6, Attempts: 12, Amount: 15, Cost: 18}

	// settleAndCompact settles, moves the clock past the retention and compacts. It stops at the
	// first error.
	settleAndCompact := func(f *fixture, fence uint64) error {
		s := f.settler(fence)
		if _, err := s.Settle(ctx); err != nil {
			return err
		}
		f.clock.Advance(26 * time.Hour)
		_, err := s.Compact(ctx)
		return err
	}
	// prepare writes segments of two writers, with two requests that are in both.
	prepare := func() *fixture {
		f := newFixture()
		f.writeSegments("a", true, f.entries(0, 4)...)
		f.writeSegments("b", false, f.entries(2, 6)...)
		return f
	}

	DescribeTable("counts each request once when any store operation fails and a new settler continues",
		func(fault memory.Fault) {
			for nth, faulted := 1, true; faulted; nth++ {
				f, operations := prepare(), 0
				f.setFaults(func(context.Context, memory.Op, string) memory.Fault {
					if operations++; operations == nth {
						return fault
					}
					return memory.None
				})
				_ = settleAndCompact(f, 1)
				faulted = operations >= nth
				f.setFaults(nil)
				Expect(f.totals().Requests).To(BeNumerically("<=", 6))
				Expect(settleAndCompact(f, 2)).To(Succeed())
				f.table.Deliver()
				Expect(f.totals()).To(Equal(want), "fault at operation %d", nth)
			}
		},
		Entry("store down", memory.Down),
		Entry("reply lost", memory.ReplyLost),
		Entry("request lost", memory.RequestLost),
		Entry("write applied late", memory.Late),
		Entry("write applied twice", memory.Twice),
	)

	DescribeTable("counts each request once when it pauses at any store operation while another settler runs", func(fence uint64) {
		for nth, faulted := 1, true; faulted; nth++ {
			f, operations := prepare(), 0
			f.setFaults(func(context.Context, memory.Op, string) memory.Fault {
				if operations++; operations == nth {
					f.setFaults(nil)
					Expect(settleAndCompact(f, fence)).To(Succeed())
				}
				return memory.None
			})
			_ = settleAndCompact(f, 1)
			faulted = operations >= nth
			f.setFaults(nil)
			Expect(settleAndCompact(f, 3)).To(Succeed())
			Expect(f.totals()).To(Equal(want), "pause at operation %d", nth)
		}
	},
		Entry("with a higher fencing token", uint64(2)),
		Entry("with the same fencing token", uint64(1)),
	)

	It("counts entries that arrive at any step of a compaction once, or stores them as late", func() {
		for nth, faulted := 1, true; faulted; nth++ {
			f, operations := prepare(), 0
			_, err := f.settler(1).Settle(ctx)
			Expect(err).NotTo(HaveOccurred())
			f.clock.Advance(26 * time.Hour)
			var report ledger.Report
			f.setFaults(func(context.Context, memory.Op, string) memory.Fault {
				if operations++; operations == nth {
					f.setFaults(nil)
					report = f.settleLateEntries()
				}
				return memory.None
			})
			_, _ = f.settler(1).Compact(ctx)
			faulted = operations >= nth
			f.setFaults(nil)
			Expect(report.Requests + report.Late).To(Equal(map[bool]int{true: 4}[faulted]))
			for range 2 {
				Expect(f.totals().Requests).To(BeEquivalentTo(6+report.Requests), "at operation %d", nth)
				_, err = f.settler(1).Compact(ctx)
				Expect(err).NotTo(HaveOccurred())
			}
		}
	})

	It("ignores segments that reappear after they were settled", func() {
		f := newFixture()
		sealed := f.writeSegments("a", true, f.entries(0, 6)...)
		Expect(settleAndCompact(f, 1)).To(Succeed())
		f.createObjects(sealed...)
		f.clock.Advance(26 * time.Hour)
		report, err := f.settler(1).Settle(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(report).To(Equal(ledger.Report{Segments: 4}))
		Expect(f.totals().Requests).To(BeEquivalentTo(6))
	})

	It("returns ErrFenced and counts nothing under an older fencing token", func() {
		f := prepare()
		_, err := f.settler(5).Settle(ctx)
		Expect(err).NotTo(HaveOccurred())
		f.writeSegments("c", false, f.entries(100, 102)...)
		_, err = f.settler(4).Settle(ctx)
		Expect(errorx.IsOfType(err, ledger.ErrFenced)).To(BeTrue(), "%v", err)
		_, err = f.settler(4).Compact(ctx)
		Expect(errorx.IsOfType(err, ledger.ErrFenced)).To(BeTrue(), "%v", err)
		Expect(f.totals()).To(Equal(want))
	})

	It("reports missing segments, and removes a gap when its segment arrives", func() {
		f := newFixture()
		sealed := f.writeSegments("a", true, f.entries(0, 6)...)
		Expect(f.objects.Delete(ctx, sealed[1].Key)).To(Succeed())
		report, err := f.settler(1).Settle(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(report.MissingSegments).To(Equal(1))
		incarnations, err := f.settler(1).Incarnations(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(incarnations[0].Missing).To(ConsistOf(And(HaveField("From", uint64(2)), HaveField("To", uint64(2)))))
		f.createObjects(sealed[1])
		Expect(settleAndCompact(f, 1)).To(Succeed())
		incarnations, err = f.settler(1).Incarnations(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(incarnations[0].Complete()).To(BeTrue())
		Expect(f.totals().Requests).To(BeEquivalentTo(6))
		Expect(f.settler(1).Prune(ctx)).To(Equal(1))
	})

	It("leaves corrupt segments in place, and stores entries older than the retention as late", func() {
		f := newFixture()
		key := prefix + "/segments/x/00000000000000000001"
		f.createObjects(ledger.SealedSegment{Key: key, Body: []byte("damaged")})
		f.writeSegments("a", true, f.entries(0, 2)...)
		f.clock.Advance(26 * time.Hour)
		Expect(f.settler(1).Compact(ctx)).To(BeZero())
		report, err := f.settler(1).Settle(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(report).To(And(HaveField("CorruptSegments", 1), HaveField("Late", 2), HaveField("Requests", 0)))
		Expect(f.objects.List(ctx, prefix+"/segments/", "", 0)).To(ConsistOf(key))
		Expect(f.objects.List(ctx, prefix+"/late/", "", 0)).To(HaveLen(1))
	})

	It("counts each request once under random duplicates, crashes and compactions", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			f := newFixture()
			ids := make(map[int]bool)
			for round := range rapid.IntRange(1, 5).Draw(t, "rounds") {
				var entries []ledger.Entry
				for _, id := range rapid.SliceOfN(rapid.IntRange(0, 12), 0, 8).Draw(t, "ids") {
					ids[id] = true
					entries = append(entries, f.entries(id, id+1)...)
				}
				f.writeSegments(fmt.Sprint("w", round), rapid.Bool().Draw(t, "final"), entries...)
				operationsLeft := rapid.IntRange(0, 60).Draw(t, "operations until the crash")
				fault := rapid.SampledFrom([]memory.Fault{memory.Down, memory.ReplyLost, memory.RequestLost}).Draw(t, "fault")
				f.setFaults(func(context.Context, memory.Op, string) memory.Fault {
					if operationsLeft--; operationsLeft < 0 {
						return fault
					}
					return memory.None
				})
				_, _ = f.settler(uint64(round)).Settle(ctx)
				_, _ = f.settler(uint64(round)).Compact(ctx)
				f.setFaults(nil)
			}
			_, err := f.settler(9).Settle(ctx)
			Expect(err).NotTo(HaveOccurred())
			f.clock.Advance(26 * time.Hour)
			_, err = f.settler(9).Compact(ctx)
			Expect(err).NotTo(HaveOccurred())
			sum := 0
			for id := range ids {
				sum += id
			}
			Expect(f.totals()).To(And(HaveField("Requests", int64(len(ids))), HaveField("Amount", ledger.Micros(sum))))
		})
	})
})
