package ledger_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/joomcode/errorx"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/poplarshore/poplarshore/coord/ledger"
	"github.com/poplarshore/poplarshore/coord/store"
	"github.com/poplarshore/poplarshore/coord/store/memory"
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

	// insert writes a row as another program might.
	insert := func(key, value string) store.Version {
		version, err := f.table.Insert(context.Background(), prefix+key, []byte(value))
		Expect(err).NotTo(HaveOccurred())
		return version
	}
	// remaining returns the keys of the objects under a prefix.
	remaining := func(under string) []string {
		keys, err := f.objects.List(context.Background(), prefix+under, "", 100)
		Expect(err).NotTo(HaveOccurred())
		return keys
	}
	encode := func(e ledger.Entry) string {
		encoded, err := json.Marshal(e)
		Expect(err).NotTo(HaveOccurred())
		return string(encoded)
	}

	// Guards against one entry that stops the settlement of all accounts for good.
	DescribeTable("settles the other entries of a segment and stores an odd one for an operator", func(odd string) {
		sound := f.entries(0, 2)
		f.createObjects(sealedEntries("odd", 1, encode(sound[0]), odd, encode(sound[1])))
		f.writeSegments("sound", false, f.entries(2, 4)...)
		report, err := settle()
		Expect(err).NotTo(HaveOccurred())
		Expect(report.Requests).To(Equal(4))
		Expect(report.Unreadable).To(Equal(1))
		Expect(remaining("/segments/")).To(BeEmpty())
		stored, err := f.objects.Get(context.Background(), fmt.Sprintf("%s/unreadable/odd/%020d", prefix, 1))
		Expect(err).NotTo(HaveOccurred())
		Expect(stored).To(MatchJSON("[" + odd + "]"))
	},
		Entry("another type", `"x"`),
		Entry("a field of another type", `{"id":1}`),
		Entry("empty", `{}`),
		Entry("null", `null`),
		Entry("a number beyond the range", `{"id":"a","account":"b","time":"2001-09-09T01:46:40Z","amount":1e30}`),
		Entry("a negative amount", `{"id":"a","account":"b","time":"2001-09-09T01:46:40Z","amount":-5}`),
		Entry("a huge cost", `{"id":"a","account":"b","time":"2001-09-09T01:46:40Z","attempts":[{"cost":9000000000000000000}]}`),
		Entry("a time before 1970", `{"id":"a","account":"b","time":"1969-09-09T01:46:40Z"}`),
	)

	// Guards against one bucket row that stops the settlement of all accounts, and against a
	// row that is taken for one without requests, after which requests count twice.
	DescribeTable("settles the other accounts beside an odd bucket row", func(value string) {
		bucket := fmt.Sprintf("/buckets/other/%012d/", f.clock.Now().Unix()/300*300)
		versions := map[string]store.Version{}
		for _, shard := range []string{"000", "001"} {
			versions[bucket+shard] = insert(bucket+shard, value)
		}
		other := f.entries(0, 1)
		other[0].Account, other[0].Time = "other", f.clock.Now()
		f.writeSegments("a", false, other...)
		f.writeSegments("b", false, f.entries(1, 5)...)
		report, err := settle()
		Expect(errorx.IsOfType(err, ledger.ErrCorrupt)).To(BeTrue(), "%v", err)
		Expect(report.HeldBack).To(Equal(1))
		Expect(f.totals().Requests).To(Equal(int64(4)))
		Expect(remaining("/segments/")).To(HaveLen(1))

		for key, version := range versions {
			Expect(f.table.Delete(context.Background(), prefix+key, version)).To(Succeed())
		}
		report, err = settle()
		Expect(err).NotTo(HaveOccurred())
		Expect(report.Requests).To(Equal(1))
		Expect(remaining("/segments/")).To(BeEmpty())
	},
		Entry("no JSON", `{`),
		Entry("another type", `[]`),
		Entry("a negative sum", `{"sum":{"requests":-1}}`),
		Entry("a sum without keys", `{"sum":{"requests":7}}`),
		Entry("half a key", `{"keys":"AAAA"}`),
	)

	// Guards against one row of a writer that stops the settlement of the others, and against
	// one that makes its new segments look settled.
	DescribeTable("settles the other writers beside an odd row of one", func(value string) {
		insert("/incarnations/a", value)
		f.writeSegments("a", false, f.entries(0, 2)...)
		f.writeSegments("b", false, f.entries(2, 4)...)
		report, err := settle()
		Expect(errorx.IsOfType(err, ledger.ErrCorrupt)).To(BeTrue(), "%v", err)
		Expect(report.HeldBack).To(Equal(1))
		Expect(f.totals().Requests).To(Equal(int64(2)))
		Expect(remaining("/segments/")).To(HaveLen(1))
		incarnations, err := f.settler(1).Incarnations(context.Background())
		Expect(errorx.IsOfType(err, ledger.ErrCorrupt)).To(BeTrue(), "%v", err)
		Expect(incarnations).To(HaveLen(1))
	},
		Entry("no JSON", `x`),
		Entry("another type", `{"next":"a"}`),
		Entry("a negative number", `{"next":-1}`),
		Entry("a number that no writer reaches", `{"next":18446744073709551615}`),
	)

	// Guards against one row that stops the compaction of all others, so that they are kept
	// for good.
	It("compacts and prunes the other rows beside odd ones", func() {
		f.writeSegments("a", true, f.entries(0, 4)...)
		_, err := settle()
		Expect(err).NotTo(HaveOccurred())
		insert("/buckets/x", `{}`)
		insert("/buckets/a/000000000000/000", `{`)
		insert("/incarnations/A", `{`)
		f.clock.Advance(26 * time.Hour)
		compacted, err := f.settler(1).Compact(context.Background())
		Expect(errorx.IsOfType(err, ledger.ErrCorrupt)).To(BeTrue(), "%v", err)
		Expect(compacted).To(BeNumerically(">", 0))
		Expect(f.totals().Requests).To(Equal(int64(4)))
		pruned, err := f.settler(1).Prune(context.Background())
		Expect(errorx.IsOfType(err, ledger.ErrCorrupt)).To(BeTrue(), "%v", err)
		Expect(pruned).To(Equal(1))
	})
})

// FuzzSettle guards against segments and rows that end the process that settles the ledger: it
// passes each of its events to a counter, which panics on a negative number.
func FuzzSettle(f *testing.F) {
	f.Add([]byte(`{"format":1,"incarnation":"a","sequence":2,"entries":[{"id":"r","account":"x","time":"2026-01-01T00:00:00Z","amount":5}]}`),
		uint64(2), []byte(`{"sum":{"requests":1},"keys":"AAAAAAAAAAAAAAAAAAAAAA=="}`), []byte(`{"next":2}`))
	f.Add([]byte(`{"format":1,"incarnation":"a","sequence":9223372036854775813,"entries":[]}`), uint64(9223372036854775813), []byte(`{}`), []byte(`{"missing":[{"from":0,"to":18446744073709551615}]}`))
	f.Fuzz(func(t *testing.T, content []byte, sequence uint64, bucket, incarnation []byte) {
		ctx, table, objects := context.Background(), memory.NewTable(), memory.NewObjects()
		clock := clockwork.NewFakeClockAt(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC))
		sum := sha256.Sum256(content)
		body := append([]byte(hex.EncodeToString(sum[:])+"\n"), content...)
		if objects.Create(ctx, fmt.Sprintf("%s/segments/a/%020d", prefix, sequence), body) != nil {
			t.Skip()
		}
		_, _ = table.Insert(ctx, fmt.Sprintf("%s/buckets/x/%012d/000", prefix, clock.Now().Unix()), bucket)
		_, _ = table.Insert(ctx, prefix+"/incarnations/a", incarnation)
		s := ledger.NewSettler(ledger.SettlerOptions{
			Table: table, Objects: objects, Prefix: prefix, Fence: 1, Clock: clock, Shards: 1,
			Observer: billing.NewMetrics(prometheus.NewRegistry()),
		})
		_, _ = s.Settle(ctx)
		clock.Advance(26 * time.Hour)
		_, _ = s.Compact(ctx)
		_, _ = s.Prune(ctx)
		if totals, err := s.Totals(ctx, "x"); err == nil && (totals.Requests < 0 || totals.Amount < 0 || totals.Cost < 0) {
			t.Fatalf("totals %+v", totals)
		}
	})
}
