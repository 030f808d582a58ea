package revision_test

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

	"github.com/poplarshore/poplarshore/coord/revision"
	"github.com/poplarshore/poplarshore/coord/store/memory"
)

// replaceHead overwrites the head row as another program might.
func replaceHead(table *memory.Table, value string) {
	GinkgoHelper()
	row, err := table.Get(context.Background(), prefix+"/head")
	Expect(err).NotTo(HaveOccurred())
	_, err = table.Update(context.Background(), prefix+"/head", []byte(value), row.Version)
	Expect(err).NotTo(HaveOccurred())
}

var _ = Describe("A head row that another program wrote", func() {
	ctx := context.Background()
	hash := strings.Repeat("a", 64)

	// Guards against an odd head row that is taken for a head without a revision: each node
	// then counts its own revision as the newest one, and a proposal of a first revision is
	// accepted though it is never installed.
	DescribeTable("proves nothing, takes no proposal, and names nothing to install", func(value string) {
		c := newSettledCluster(ctx, 1)
		replaceHead(c.table, value)
		member := c.members[c.ids[0]]
		Expect(member.syncer.Poll(ctx)).To(BeFalse())
		Expect(member.node.Known().Number).To(Equal(uint64(1)))
		c.clock.Advance(freshFor + time.Second)
		Expect(member.syncer.Poll(ctx)).To(BeFalse())
		Expect(member.node.Ready()).To(BeFalse())
		for _, base := range []uint64{0, 1, math.MaxUint64} {
			_, err := c.publisher(c.ids[0]).Propose(ctx, base, []byte("next"), "op", "ana")
			Expect(errorx.IsOfType(err, revision.ErrCorrupt)).To(BeTrue(), "%v", err)
		}
	},
		Entry("empty object", `{}`),
		Entry("null", `null`),
		Entry("list", `[]`),
		Entry("no hash", `{"number":7}`),
		Entry("hash that is a path", `{"number":7,"hash":"../../secret"}`),
		Entry("hash in upper case", `{"number":7,"hash":"`+strings.ToUpper(hash)+`"}`),
		Entry("number zero", `{"number":0,"hash":"`+hash+`"}`),
		Entry("highest number", `{"number":18446744073709551615,"hash":"`+hash+`"}`),
		Entry("negative number", `{"number":-1,"hash":"`+hash+`"}`),
		Entry("nested deeper than the decoder follows", strings.Repeat("[", 20_000)),
	)
})

var _ = Describe("A digest of a peer", func() {
	// Guards against an age that overflows: it becomes a time to come, and the node counts as
	// fresh for years without any proof.
	It("with a huge age proves nothing", func() {
		clock := clockwork.NewFakeClock()
		node := revision.NewNode(revision.Options{
			ID: "a", Clock: clock, Members: func() []revision.NodeID { return []revision.NodeID{"a", "b"} },
		})
		body := []byte("x")
		rev := revision.Revision{Number: 1, Hash: revision.HashOf(body)}
		Expect(node.Install(rev, body)).To(BeTrue())
		for _, age := range []int64{math.MaxInt64, math.MaxInt64 / 1_000_000, math.MaxInt64/1_000_000 + 1, math.MaxInt64/100_000_000 + 1, 1 << 45} {
			node.ObserveReply(revision.Digest{
				From: "c", Installed: rev,
				LastHead:   &revision.HeadObservation{Number: 1, AgeMillis: age},
				Statements: revision.Statements{1: {"b": age}},
			}, clock.Now())
			Expect(node.Ready()).To(BeFalse(), "age %d", age)
		}
	})

	// Guards against an odd digest that makes all nodes look for a revision that doesn't exist.
	It("that names a revision without a valid hash or number names nothing", func() {
		node := revision.NewNode(revision.Options{ID: "a"})
		for _, rev := range []revision.Revision{
			{Number: 9}, {Number: 9, Hash: "../x"}, {Number: math.MaxUint64, Hash: revision.HashOf(nil)},
		} {
			node.ObserveRequest(revision.Digest{From: "b", Known: &rev})
			Expect(node.Known().Number).To(BeZero())
		}
	})
})

// FuzzReadHead guards against head rows that end the process or are taken for a revision
// that can't be one.
func FuzzReadHead(f *testing.F) {
	hash := strings.Repeat("a", 64)
	for _, value := range []string{`{}`, `null`, `{"number":7,"hash":"` + hash + `"}`, `{"number":1e30}`, `[[[`, `{"recent":[{}]}`} {
		f.Add([]byte(value))
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		table := memory.NewTable()
		if _, err := table.Insert(context.Background(), "p/head", value); err != nil {
			t.Skip()
		}
		head, err := revision.ReadHead(context.Background(), table, "p")
		if err == nil && (head.Number == 0 || len(head.Hash) != 64) {
			t.Fatalf("accepted as head: %+v", head)
		}
	})
}
