package once_test

import (
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/joomcode/errorx"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/coord/once"
	"github.com/poplarshore/poplarshore/coord/store/memory"
)

// Guards against a claim overwritten by another program that the sweep takes for an expired
// one: once it is deleted, the call with its key runs a second time.
var _ = DescribeTable("A claim that another program overwrote is refused and kept, and the others hold", func(value string) {
	table, clock := memory.NewTable(), clockwork.NewFakeClock()
	claims := newClaims(table, "a", clock)
	_, err := claims.Claim(ctx, key, fingerprint)
	Expect(err).NotTo(HaveOccurred())
	rows, err := table.Scan(ctx, "", "", 10)
	Expect(err).NotTo(HaveOccurred())
	Expect(rows).To(HaveLen(1))
	_, err = table.Update(ctx, rows[0].Key, []byte(value), rows[0].Version)
	Expect(err).NotTo(HaveOccurred())

	_, err = claims.Claim(ctx, key, fingerprint)
	Expect(errorx.IsOfType(err, once.ErrMalformedRow)).To(BeTrue(), "%v", err)
	result, err := claims.Sweep(ctx, "", 10)
	Expect(err).NotTo(HaveOccurred())
	Expect(result.NotDeleted).To(Equal(1))
	other, err := claims.Claim(ctx, once.Key{Account: "works", ID: "other"}, fingerprint)
	Expect(err).NotTo(HaveOccurred())
	Expect(other.Status).To(Equal(once.Claimed))
},
	Entry("no JSON", `{`),
	Entry("empty object", `{}`),
	Entry("null", `null`),
	Entry("another type", `[]`),
	Entry("no time", `{"claim_id":"x","fingerprint":"`+fingerprint+`","state":"running"}`),
	Entry("no claim", `{"created":"2026-01-01T00:00:00Z","fingerprint":"`+fingerprint+`","state":"running"}`),
	Entry("nested deeper than the decoder follows", strings.Repeat("[", 20_000)),
)

// FuzzClaim guards against rows that end the process, or that grant a call a second run.
func FuzzClaim(f *testing.F) {
	for _, value := range []string{`{}`, `null`, `{"claim_id":"x","created":"2026-01-01T00:00:00Z","state":"done","result":"AA=="}`, `{"created":"9999-12-31T23:59:59Z"}`} {
		f.Add([]byte(value))
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		g := NewWithT(t)
		table, clock := memory.NewTable(), clockwork.NewFakeClockAt(time.Unix(1_800_000_000, 0))
		claims, err := once.New(table, "a", once.Options{Clock: clock})
		g.Expect(err).NotTo(HaveOccurred())
		_, err = claims.Claim(ctx, key, fingerprint)
		g.Expect(err).NotTo(HaveOccurred())
		rows, err := table.Scan(ctx, "", "", 10)
		g.Expect(err).NotTo(HaveOccurred())
		if _, err = table.Update(ctx, rows[0].Key, value, rows[0].Version); err != nil {
			t.Skip()
		}
		outcome, err := claims.Claim(ctx, key, fingerprint)
		if err == nil && outcome.Status == once.Claimed {
			t.Fatalf("granted over %q", value)
		}
		_, _ = claims.Sweep(ctx, "", 10)
	})
}
