package lease_test

import (
	"context"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/joomcode/errorx"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/coord/lease"
	"github.com/poplarshore/poplarshore/coord/store/memory"
)

var _ = Describe("A job's row that another program wrote", func() {
	var (
		ctx   = context.Background()
		table *memory.Table
		clock *clockwork.FakeClock
		m     *lease.Manager
	)
	BeforeEach(func() {
		table, clock = memory.NewTable(), clockwork.NewFakeClock()
		var err error
		m, err = lease.New(table, "a", lease.Options{Clock: clock})
		Expect(err).NotTo(HaveOccurred())
	})
	insert := func(value string) {
		_, err := table.Insert(ctx, "lease/"+job, []byte(value))
		Expect(err).NotTo(HaveOccurred())
	}

	// Guards against a row that stops its job on all VMs for up to 292 years.
	DescribeTable("is taken over after an hour, whatever TTL it names", func(value string) {
		insert(value)
		_, err := m.Acquire(ctx, job)
		Expect(errorx.IsOfType(err, lease.ErrHeld)).To(BeTrue(), "%v", err)
		clock.Advance(time.Hour + time.Second)
		l, err := m.Acquire(ctx, job)
		Expect(err).NotTo(HaveOccurred())
		Expect(l.Fence()).To(Equal(uint64(8)))
	},
		Entry("292 years", `{"holder":"x","fence":7,"ttl_ms":9223372036854}`),
		Entry("beyond the range of a duration", `{"holder":"x","fence":7,"ttl_ms":9223372036854775807}`),
		Entry("a day", `{"holder":"x","fence":7,"ttl_ms":86400000}`),
		Entry("negative", `{"holder":"x","fence":7,"ttl_ms":-9223372036854775808}`),
	)

	// Guards against a fencing token that starts again from 0: all rows of earlier holders
	// then refuse the new one.
	DescribeTable("is not taken over if its fencing token can't be told", func(value string) {
		insert(value)
		_, err := m.Acquire(ctx, job)
		Expect(errorx.IsOfType(err, lease.ErrMalformedRow)).To(BeTrue(), "%v", err)
		other, err := m.Acquire(ctx, "other")
		Expect(err).NotTo(HaveOccurred())
		Expect(other.Check()).To(Succeed())
	},
		Entry("highest token", `{"fence":18446744073709551615}`),
		Entry("no token", `{}`),
		Entry("null", `null`),
		Entry("negative token", `{"fence":-1}`),
		Entry("another type", `7`),
		Entry("nested deeper than the decoder follows", strings.Repeat("[", 20_000)),
	)

	// Guards against a TTL that other holders would not wait for.
	It("never names a TTL above the maximum", func() {
		_, err := lease.New(table, "a", lease.Options{TTL: time.Hour + time.Second})
		Expect(errorx.IsOfType(err, lease.ErrOptions)).To(BeTrue(), "%v", err)
	})
})

// FuzzAcquire guards against rows that end the process or grant a token that isn't higher.
func FuzzAcquire(f *testing.F) {
	for _, value := range []string{`{"fence":1}`, `{"holder":"x","fence":7,"ttl_ms":1}`, `{}`, `[[`, `{"fence":1e19}`} {
		f.Add([]byte(value))
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		table, clock := memory.NewTable(), clockwork.NewFakeClock()
		if _, err := table.Insert(context.Background(), "lease/"+job, value); err != nil {
			t.Skip()
		}
		m, err := lease.New(table, "a", lease.Options{Clock: clock})
		if err != nil {
			t.Fatal(err)
		}
		l, err := m.Acquire(context.Background(), job)
		if err == nil && (l.Fence() < 2 || l.Fence() > math.MaxInt64) {
			t.Fatalf("token %d", l.Fence())
		}
	})
}
