package ledger_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"github.com/joomcode/errorx"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/poplarshore/poplarshore/coord/ledger"
	"github.com/poplarshore/poplarshore/internal/billing"
)

// sealedContent returns a segment with a valid checksum, whatever its content says.
func sealedContent(incarnation string, sequence uint64, content string) ledger.SealedSegment {
	sum := sha256.Sum256([]byte(content))
	return ledger.SealedSegment{
		Key:  fmt.Sprintf("%s/segments/%s/%020d", prefix, incarnation, sequence),
		Body: []byte(hex.EncodeToString(sum[:]) + "\n" + content),
	}
}

// sealedEntries returns a segment of entries that are encoded already.
func sealedEntries(incarnation string, sequence uint64, entries ...string) ledger.SealedSegment {
	raw := make([]json.RawMessage, len(entries))
	for i, e := range entries {
		raw[i] = json.RawMessage(e)
	}
	content, err := json.Marshal(map[string]any{
		"format": 1, "incarnation": incarnation, "sequence": sequence, "entries": raw,
	})
	Expect(err).NotTo(HaveOccurred())
	return sealedContent(incarnation, sequence, string(content))
}

var _ = Describe("settlement beside objects and rows that another program wrote", func() {
	var f *fixture
	BeforeEach(func() { f = newFixture() })

	// settle makes one pass that counts its events as the daemons do.
	settle := func() (ledger.Report, error) {
		return ledger.NewSettler(ledger.SettlerOptions{
			Table: f.table, Objects: f.objects, Prefix: prefix, Fence: 1, Clock: f.clock, Shards: 2,
			Observer: billing.NewMetrics(prometheus.NewRegistry()),
		}).Settle(context.Background())
	}

	// Guards against a segment that ends the settling process, and each one that takes the
	// job over: a counter panics if the number of missing segments overflows.
	DescribeTable("leaves a segment whose sequence number no writer reaches in place", func(sequence uint64) {
		odd := sealedEntries("odd", sequence)
		f.createObjects(odd)
		f.writeSegments("sound", false, f.entries(0, 4)...)
		report, err := settle()
		Expect(err).NotTo(HaveOccurred())
		Expect(report.CorruptSegments).To(Equal(1))
		Expect(report.MissingSegments).To(BeZero())
		Expect(f.totals().Requests).To(Equal(int64(4)))
		Expect(f.objects.Get(context.Background(), odd.Key)).To(Equal(odd.Body))
		err = ledger.NewHolder(ledger.HolderOptions{Objects: f.objects, Prefix: prefix}).Hold(context.Background(), odd)
		Expect(errorx.IsOfType(err, ledger.ErrCorrupt)).To(BeTrue(), "%v", err)
	},
		Entry("beyond the range of int", uint64(1)<<63+5),
		Entry("the highest", ^uint64(0)),
		Entry("none", uint64(0)),
		Entry("a trillion", uint64(1_000_000_000_000)),
	)
})
