package lease_test

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/joomcode/errorx"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/coord/lease"
	"github.com/poplarshore/poplarshore/coord/store/memory"
	"github.com/poplarshore/poplarshore/internal/bubble"
)

const job = "settle"

// rootTest is the parent of all synctest bubbles.
var rootTest *testing.T

func TestLease(t *testing.T) {
	rootTest = t
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	RegisterFailHandler(Fail)
	RunSpecs(t, "lease")
}

// withFakeTime runs f in a synctest bubble, where time is virtual. Make assertions after
// it returns, not in f.
func withFakeTime(f func()) {
	bubble.Test(rootTest, func(*testing.T) { f() })
}

// rowHasToken reports whether the stored row has a holder and the given fencing token.
func rowHasToken(table *memory.Table, fence uint64) bool {
	stored, err := table.Get(context.Background(), "lease/"+job)
	var row struct {
		Holder string
		Fence  uint64
	}
	return err == nil && json.Unmarshal(stored.Value, &row) == nil && row.Holder != "" && row.Fence == fence
}

var _ = Describe("Lease", func() {
	var (
		ctx   = context.Background()
		table *memory.Table
		clock *clockwork.FakeClock
	)
	BeforeEach(func() {
		table = memory.NewTable()
		clock = clockwork.NewFakeClock()
	})
	manager := func(holder string) *lease.Manager {
		m, err := lease.New(table, holder, lease.Options{Clock: clock})
		Expect(err).NotTo(HaveOccurred())
		return m
	}

	It("refuses a held job and grants a released one at once with a higher fencing token", func() {
		a, b := manager("a"), manager("b")
		first, err := a.Acquire(ctx, job)
		Expect(err).NotTo(HaveOccurred())
		_, err = b.Acquire(ctx, job)
		Expect(errorx.IsOfType(err, lease.ErrHeld)).To(BeTrue())
		Expect(first.Release(ctx)).To(Succeed())
		Expect(first.Check()).NotTo(Succeed())
		second, err := b.Acquire(ctx, job)
		Expect(err).NotTo(HaveOccurred())
		Expect(second.Fence()).To(BeNumerically(">", first.Fence()))
	})

	It("expires at TTL minus margin for its holder and at the TTL for contenders", func() {
		a, b := manager("a"), manager("b")
		held, _ := a.Acquire(ctx, job)
		_, _ = b.Acquire(ctx, job)
		clock.Advance(8*time.Second - 1)
		Expect(held.Check()).To(Succeed())
		clock.Advance(1)
		Expect(errorx.IsOfType(held.Check(), lease.ErrExpired)).To(BeTrue())
		Expect(errorx.IsOfType(held.Renew(ctx), lease.ErrExpired)).To(BeTrue())
		clock.Advance(2*time.Second - 1)
		_, err := b.Acquire(ctx, job)
		Expect(errorx.IsOfType(err, lease.ErrHeld)).To(BeTrue())
		clock.Advance(1)
		_, err = b.Acquire(ctx, job)
		Expect(err).NotTo(HaveOccurred())
	})

	It("counts its remaining time from before the write was sent", func() {
		a := manager("a")
		table.Faults = advanceOnWrite(clock, time.Second)
		held, err := a.Acquire(ctx, job)
		Expect(err).NotTo(HaveOccurred())
		Expect(held.Remaining()).To(Equal(7 * time.Second))
		Expect(held.Renew(ctx)).To(Succeed())
		Expect(held.Remaining()).To(Equal(7 * time.Second))
	})

	It("recovers when an acquisition or renewal reported as failed takes effect later", func() {
		writeFault := memory.Late
		table.Faults = func(_ context.Context, op memory.Op, _ string) memory.Fault {
			if op == memory.OpGet {
				return memory.None
			}
			return writeFault
		}
		a := manager("a")
		_, err := a.Acquire(ctx, job)
		Expect(errorx.IsOfType(err, lease.ErrUnavailable)).To(BeTrue())
		table.Deliver()
		writeFault = memory.None
		held, err := a.Acquire(ctx, job)
		Expect(err).NotTo(HaveOccurred())
		Expect(held.Fence()).To(BeEquivalentTo(2))
		writeFault = memory.Late
		Expect(errorx.IsOfType(held.Renew(ctx), lease.ErrUnavailable)).To(BeTrue())
		table.Deliver()
		writeFault = memory.None
		Expect(held.Renew(ctx)).To(Succeed())
	})

	It("selects count candidates and replaces only a member that leaves", func() {
		var members []string
		for i := range 200 {
			members = append(members, fmt.Sprintf("vm-%d", i))
		}
		candidates := func(members []string) []string {
			return slices.DeleteFunc(slices.Clone(members), func(self string) bool {
				return !lease.IsCandidate(job, self, members, 3)
			})
		}
		before := candidates(members)
		Expect(before).To(HaveLen(3))
		after := candidates(slices.DeleteFunc(members, func(self string) bool { return self == before[0] }))
		Expect(after).To(HaveLen(3))
		Expect(after).To(ContainElements(before[1], before[2]))
	})

	It("reads no row while the holder is not eligible", func() {
		withFakeTime(func() {
			ctx, cancel := context.WithTimeout(ctx, time.Minute)
			defer cancel()
			m, _ := lease.New(table, "a", lease.Options{Eligible: func(string) bool { return false }})
			_ = m.Run(ctx, job, nil)
		})
		Expect(table.Counts().Reads).To(BeZero())
	})

	It("rejects inconsistent options and a row that cannot be decoded", func() {
		_, err := lease.New(table, "a", lease.Options{TTL: time.Second, Margin: time.Second})
		Expect(errorx.IsOfType(err, lease.ErrOptions)).To(BeTrue())
		_, _ = table.Insert(ctx, "lease/"+job, []byte("{"))
		err = manager("a").Run(ctx, job, nil)
		Expect(errorx.IsOfType(err, lease.ErrMalformedRow)).To(BeTrue())
	})
})

// advanceOnWrite returns an injector that advances clock by delay before each write.
func advanceOnWrite(clock *clockwork.FakeClock, delay time.Duration) memory.Injector {
	return func(_ context.Context, op memory.Op, _ string) memory.Fault {
		if op != memory.OpGet {
			clock.Advance(delay)
		}
		return memory.None
	}
}
