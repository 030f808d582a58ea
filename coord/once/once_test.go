package once_test

import (
	"bytes"
	"context"
	"flag"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/joomcode/errorx"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/coord/once"
	"github.com/poplarshore/poplarshore/coord/store"
	"github.com/poplarshore/poplarshore/coord/store/memory"
)

func TestOnce(t *testing.T) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	RegisterFailHandler(Fail)
	RunSpecs(t, "once")
}

var (
	ctx = context.Background()
	key = once.Key{Account: "works", ID: "k/1"}
)

const fingerprint = "sha256:body"

// newClaims returns Claims with a maximum result of 16 bytes.
func newClaims(table store.Table, owner string, clock clockwork.Clock) *once.Claims {
	claims, err := once.New(table, owner, once.Options{Clock: clock, MaxResultBytes: 16})
	Expect(err).NotTo(HaveOccurred())
	return claims
}

// delayWrites is an injector that delays writes and lets reads pass.
func delayWrites(_ context.Context, op memory.Op, _ string) memory.Fault {
	if op == memory.OpGet {
		return memory.None
	}
	return memory.Late
}

var _ = Describe("Claims", func() {
	var (
		table *memory.Table
		clock *clockwork.FakeClock
		a, b  *once.Claims
	)
	BeforeEach(func() {
		table = memory.NewTable()
		clock = clockwork.NewFakeClock()
		a, b = newClaims(table, "a", clock), newClaims(table, "b", clock)
	})
	claim := func(c *once.Claims) once.Outcome {
		outcome, err := c.Claim(ctx, key, fingerprint)
		Expect(err).NotTo(HaveOccurred())
		return outcome
	}

	It("refuses an empty key ID and a key reused for another request, and separates accounts", func() {
		claim(a)
		_, err := b.Claim(ctx, key, "sha256:other")
		Expect(errorx.IsOfType(err, once.ErrFingerprintMismatch)).To(BeTrue())
		for _, other := range []once.Key{{Account: "works/k", ID: "1"}, {Account: "utility", ID: "k/1"}} {
			outcome, err := b.Claim(ctx, other, fingerprint)
			Expect(err).NotTo(HaveOccurred())
			Expect(outcome.Status).To(Equal(once.Claimed))
		}
		_, err = b.Claim(ctx, once.Key{Account: "works"}, fingerprint)
		Expect(errorx.IsOfType(err, once.ErrInvalidKey)).To(BeTrue())
	})

	It("reports a claim as in progress until the run limit has passed or it is marked unknown", func() {
		first := claim(a)
		Expect(claim(b).Status).To(Equal(once.InProgress))
		clock.Advance(2*time.Minute + time.Minute)
		Expect(claim(b).Status).To(Equal(once.Unknown))
		Expect(first.Claim.Complete(ctx, []byte("late"))).To(Succeed())
		Expect(claim(b)).To(HaveField("Result", []byte("late")))
		other, err := a.Claim(ctx, once.Key{Account: "works", ID: "2"}, fingerprint)
		Expect(err).NotTo(HaveOccurred())
		Expect(other.Claim.MarkUnknown(ctx)).To(Succeed())
		repeated, err := b.Claim(ctx, once.Key{Account: "works", ID: "2"}, fingerprint)
		Expect(err).NotTo(HaveOccurred())
		Expect(repeated.Status).To(Equal(once.Unknown))
	})

	It("rejects a result over the maximum and accepts a smaller one afterwards", func() {
		first := claim(a)
		err := first.Claim.Complete(ctx, bytes.Repeat([]byte("x"), 17))
		Expect(errorx.IsOfType(err, once.ErrResultTooLarge)).To(BeTrue())
		Expect(first.Claim.Complete(ctx, []byte("x"))).To(Succeed())
		Expect(errorx.IsOfType(first.Claim.Abandon(ctx), once.ErrClaimClosed)).To(BeTrue())
		Expect(claim(b).Status).To(Equal(once.Done))
	})

	It("grants a key again whose request was never sent, on that VM only", func() {
		delayed := table.Client(func(context.Context, memory.Op, string) memory.Fault { return memory.Late })
		delayedClaims := newClaims(delayed, "a", clock)
		_, err := delayedClaims.Claim(ctx, key, fingerprint)
		Expect(errorx.IsOfType(err, once.ErrUnavailable)).To(BeTrue())
		table.Deliver()
		delayed.Faults = nil
		Expect(claim(b).Status).To(Equal(once.InProgress))
		Expect(claim(delayedClaims).Status).To(Equal(once.Claimed))
		Expect(claim(delayedClaims).Status).To(Equal(once.InProgress))
	})

	It("frees an abandoned key, on that VM even if the store was unavailable", func() {
		Expect(claim(a).Claim.Abandon(ctx)).To(Succeed())
		claimed := claim(b)
		Expect(claimed.Status).To(Equal(once.Claimed))
		table.Faults = func(context.Context, memory.Op, string) memory.Fault { return memory.Down }
		Expect(errorx.IsOfType(claimed.Claim.Abandon(ctx), once.ErrUnavailable)).To(BeTrue())
		table.Faults = nil
		Expect(claim(a).Status).To(Equal(once.InProgress))
		Expect(claim(b).Status).To(Equal(once.Claimed))
	})

	It("completes after a delayed MarkUnknown took effect, and never replaces another claim", func() {
		claimed := claim(a)
		table.Faults = delayWrites
		Expect(errorx.IsOfType(claimed.Claim.MarkUnknown(ctx), once.ErrUnavailable)).To(BeTrue())
		table.Deliver()
		table.Faults = nil
		Expect(claimed.Claim.Complete(ctx, []byte("x"))).To(Succeed())
		expired, err := a.Claim(ctx, once.Key{Account: "works", ID: "2"}, fingerprint)
		Expect(err).NotTo(HaveOccurred())
		clock.Advance(80 * time.Hour)
		Expect(b.Sweep(ctx, "", 10)).To(HaveField("Expired", 2))
		_, _ = b.Claim(ctx, once.Key{Account: "works", ID: "2"}, fingerprint)
		Expect(errorx.IsOfType(expired.Claim.Complete(ctx, nil), once.ErrClaimLost)).To(BeTrue())
	})

	It("retains a result whose write was delayed when MarkUnknown follows", func() {
		claimed := claim(a)
		table.Faults = delayWrites
		Expect(errorx.IsOfType(claimed.Claim.Complete(ctx, []byte("x")), once.ErrUnavailable)).To(BeTrue())
		table.Deliver()
		table.Faults = nil
		Expect(errorx.IsOfType(claimed.Claim.MarkUnknown(ctx), once.ErrClaimClosed)).To(BeTrue())
		Expect(claim(b)).To(HaveField("Result", []byte("x")))
	})

	It("sweeps only rows older than retention plus skew margin, page by page", func() {
		old := claim(a)
		Expect(old.Claim.Complete(ctx, []byte("x"))).To(Succeed())
		clock.Advance(72*time.Hour + time.Minute)
		Expect(a.Sweep(ctx, "", 10)).To(Equal(once.SweepResult{Scanned: 1}))
		_, _ = a.Claim(ctx, once.Key{Account: "works", ID: "young"}, fingerprint)
		clock.Advance(1)
		page, err := b.Sweep(ctx, "", 1)
		Expect(err).NotTo(HaveOccurred())
		Expect(page).To(HaveField("Expired", 1))
		Expect(b.Sweep(ctx, page.Next, 10)).To(Equal(once.SweepResult{Scanned: 1}))
		Expect(claim(b).Status).To(Equal(once.Claimed))
	})

	It("rejects a retention in which a client may still repeat its request", func() {
		_, err := once.New(table, "a", once.Options{RetryHorizon: time.Hour, Retention: time.Hour + 3*time.Minute})
		Expect(errorx.IsOfType(err, once.ErrOptions)).To(BeTrue())
	})
})
