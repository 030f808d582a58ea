package membudget_test

import (
	"runtime"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/poplarshore/poplarshore/internal/membudget"
)

// Upstreams that fill their shares again and again must not leave garbage of that size each time: it adds to what is kept, and
// collections, which run often then, must not make it necessary to allocate the arrays again.
func TestBuffersThatGrowAgainAllocateNothing(t *testing.T) {
	g := NewWithT(t)
	b := membudget.New(budgetBytes)
	grow := func() {
		buffers := make([]*membudget.Buffer, 0, 10)
		for range cap(buffers) {
			buffers = append(buffers, membudget.NewBuffer(b.Reserve(upstreamOf("faulty", 0)...), 8<<20))
		}
		part := make([]byte, partBytes)
		for len(buffers[0].Bytes()) < 1<<20 {
			for _, buffer := range buffers {
				g.Expect(buffer.Append(part)).To(Succeed())
			}
		}
		for _, buffer := range buffers {
			buffer.Release()
		}
	}
	grow()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	const times = 10
	for range times {
		runtime.GC()
		runtime.GC()
		grow()
	}
	runtime.ReadMemStats(&after)
	g.Expect(after.TotalAlloc-before.TotalAlloc).To(BeNumerically("<", budgetBytes/2), "%d times 10 buffers of 1 MiB", times)
}

// What waits for further buffers counts: together with what is kept it is never more than the budget.
func TestUnusedArraysStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := membudget.New(1 << 20)
		var buffers []*membudget.Buffer
		direct := b.Reserve(upstreamOf("direct", 0)...)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				buffers = append(buffers, membudget.NewBuffer(b.Reserve(upstreamOf("s", 0)...), 1<<20))
			case 1, 2:
				if len(buffers) > 0 {
					_ = rapid.SampledFrom(buffers).Draw(t, "grown").Append(make([]byte, rapid.IntRange(1, 1<<17).Draw(t, "bytes")))
				}
			case 3:
				if len(buffers) > 0 {
					rapid.SampledFrom(buffers).Draw(t, "released").Release()
				}
			case 4:
				_ = direct.Grow(rapid.IntRange(1, 1<<17).Draw(t, "direct bytes"))
			}
			if usage := b.Usage(); usage.Unused < 0 || usage.Bytes+usage.Unused > b.Limit() {
				t.Fatalf("%d bytes are kept and %d unused, of %d", usage.Bytes, usage.Unused, b.Limit())
			}
		}
	})
}
