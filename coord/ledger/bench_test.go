package ledger_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/time/rate"

	"github.com/poplarshore/poplarshore/coord/ledger"
	"github.com/poplarshore/poplarshore/coord/store/memory"
)

const (
	storeWritesPerSecond = 400 // write rate limit of the modelled store
	storeMedianLatency   = 20 * time.Millisecond
	storeLatencySigma    = 0.5 // sigma of the lognormal latency
	loadDuration         = 3 * time.Second
)

// slowStore returns an object store with a limited write rate and lognormal latency.
func slowStore(seed uint64) *memory.Objects {
	objects := memory.NewObjects()
	limiter := rate.NewLimiter(storeWritesPerSecond, storeWritesPerSecond/10)
	var mu sync.Mutex
	r := rand.New(rand.NewPCG(seed, 1))
	objects.Faults = func(ctx context.Context, op memory.Op, _ string) memory.Fault {
		mu.Lock()
		latency := time.Duration(float64(storeMedianLatency) * math.Exp(storeLatencySigma*r.NormFloat64()))
		mu.Unlock()
		if op == memory.OpCreate && limiter.Wait(ctx) != nil {
			return memory.Down
		}
		<-time.After(latency)
		return memory.None
	}
	return objects
}

// generateLoad calls bill for Poisson arrivals during loadDuration. It returns the histogram of the
// call durations in microseconds and the number of failed calls.
func generateLoad(perSecond float64, seed uint64, bill func(id int) error) (*hdrhistogram.Histogram, int) {
	r := rand.New(rand.NewPCG(seed, 2))
	h := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	var mu sync.Mutex
	var calls sync.WaitGroup
	failed, startedAt, arrival := 0, time.Now(), time.Duration(0)
	for id := 0; arrival < loadDuration; id++ {
		arrival += time.Duration(r.ExpFloat64() / perSecond * float64(time.Second))
		<-time.After(time.Until(startedAt.Add(arrival)))
		calls.Go(func() {
			start := time.Now()
			err := bill(id)
			mu.Lock()
			defer mu.Unlock()
			_ = h.RecordValue(time.Since(start).Microseconds())
			if err != nil {
				failed++
			}
		})
	}
	calls.Wait()
	return h, failed
}

// BenchmarkDelay compares the latency of group commit with that of one object per request, in real
// time on a modelled store.
func BenchmarkDelay(b *testing.B) {
	for _, perSecond := range []float64{10, 100, 1000} {
		b.Run(fmt.Sprint("group_commit/", perSecond, "_per_s"), func(b *testing.B) {
			for range b.N {
				objects := slowStore(1)
				w := startWriterWith(ledger.WriterOptions{Objects: objects, Incarnation: "a"})
				h, failed := generateLoad(perSecond, 1, func(id int) error {
					return w.Append(context.Background(), entry(id))
				})
				w.kill()
				reportDelay(b, h, failed, objects, 1)
			}
		})
		b.Run(fmt.Sprint("write_per_request/", perSecond, "_per_s"), func(b *testing.B) {
			for range b.N {
				objects := slowStore(1)
				h, failed := generateLoad(perSecond, 1, func(id int) error {
					return objects.Create(context.Background(), fmt.Sprint(id), []byte("entry"))
				})
				reportDelay(b, h, failed, objects, 1)
			}
		})
	}
}

// BenchmarkWriters reports the latency and the store writes of several writers that share a store,
// at 5 requests per second each.
func BenchmarkWriters(b *testing.B) {
	for _, size := range []int{1, 7, 50, 200} {
		b.Run(fmt.Sprint(size, "_nodes"), func(b *testing.B) {
			for range b.N {
				objects := slowStore(2)
				var writers []runningWriter
				for i := range size {
					writers = append(writers, startWriterWith(ledger.WriterOptions{
						Objects: objects, Incarnation: fmt.Sprint("vm-", i),
						BatchPolicy: ledger.BatchPolicy{WriterCount: func() int { return size }},
					}))
				}
				h, failed := generateLoad(float64(5*size), 3, func(id int) error {
					return writers[id%size].Append(context.Background(), entry(id))
				})
				for _, w := range writers {
					w.kill()
				}
				reportDelay(b, h, failed, objects, size)
			}
		})
	}
}

// reportDelay reports the latency percentiles, the store writes and the failed calls.
func reportDelay(b *testing.B, h *hdrhistogram.Histogram, failed int, objects *memory.Objects, nodes int) {
	writes := float64(objects.Counts().Writes)
	b.ReportMetric(float64(h.ValueAtQuantile(50))/1000, "ms-p50")
	b.ReportMetric(float64(h.ValueAtQuantile(99))/1000, "ms-p99")
	b.ReportMetric(writes/float64(h.TotalCount()), "store-writes/request")
	b.ReportMetric(writes/loadDuration.Seconds()/float64(nodes), "store-writes/node/s")
	b.ReportMetric(float64(failed), "failed")
}

// BenchmarkRecovery measures a new settler that settles existing segments, and reports its store
// operations.
func BenchmarkRecovery(b *testing.B) {
	for _, segments := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprint(segments, "_segments"), func(b *testing.B) {
			for range b.N {
				b.StopTimer()
				s := newFixture()
				createSegments(b, s, segments)
				tableBefore, objectsBefore := s.table.Counts(), s.objects.Counts()
				b.StartTimer()
				report, err := ledger.NewSettler(ledger.SettlerOptions{
					Table: s.table, Objects: s.objects, Prefix: prefix, Clock: s.clock,
				}).Settle(context.Background())
				if err != nil || report.Segments != segments {
					b.Fatal(report, err)
				}
				table, objects := s.table.Counts(), s.objects.Counts()
				ops := table.Reads + table.Writes + objects.Reads + objects.Writes -
					tableBefore.Reads - tableBefore.Writes - objectsBefore.Reads - objectsBefore.Writes
				b.ReportMetric(float64(ops)/float64(segments), "store-ops/segment")
				b.ReportMetric(float64(table.Writes-tableBefore.Writes)/float64(segments), "row-writes/segment")
			}
		})
	}
}

// createSegments creates segments of ten entries each, for 10 accounts, with times within one hour.
func createSegments(b *testing.B, s *fixture, segments int) {
	b.Helper()
	w, err := ledger.NewWriter(ledger.WriterOptions{
		Objects: s.objects, Prefix: prefix, Incarnation: "a", SegmentEntries: 10, Clock: s.clock, BacklogBytes: 1 << 30,
	})
	if err != nil {
		b.Fatal(err)
	}
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	for id := range segments * 10 {
		e := entry(id)
		e.Account = fmt.Sprint("account-", id%10)
		e.Time = s.clock.Now().Add(time.Hour * time.Duration(id) / time.Duration(segments*10))
		_ = w.Append(cancelled, e)
	}
	for _, sealed := range w.Export() {
		if err := s.objects.Create(context.Background(), sealed.Key, sealed.Body); err != nil {
			b.Fatal(err)
		}
	}
}
