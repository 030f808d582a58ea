package revision_test

import (
	"context"
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/poplarshore/poplarshore/coord/revision"
	"github.com/poplarshore/poplarshore/coord/store/memory"
)

const (
	freshFor   = 10 * time.Second // the default bound
	storeFault = memory.Down
)

func (m *mesh) storeDown(down bool) {
	m.table.Faults, m.objects.Faults = nil, nil
	if down {
		m.table.Faults, m.objects.Faults = always(storeFault), always(storeFault)
	}
}

func (m *mesh) run(ctx context.Context, d time.Duration) {
	for range int(d / time.Second) {
		m.tick(ctx)
	}
}

func (m *mesh) accept(ctx context.Context, id revision.NodeID, base uint64) {
	GinkgoHelper()
	_, err := m.publisher(id).Propose(ctx, base, []byte(fmt.Sprint("body", base+1)), fmt.Sprint("op", base+1), "ana")
	Expect(err).NotTo(HaveOccurred())
}

// settled returns a mesh in which revision 1 is in force everywhere.
func settled(ctx context.Context, size int) *mesh {
	GinkgoHelper()
	m := newMesh(size)
	m.accept(ctx, m.order[0], 0)
	m.run(ctx, 12*time.Second)
	Expect(m.fresh()).To(Equal(size))
	return m
}

var _ = Describe("Node", func() {
	ctx := context.Background()

	It("only ever moves to a higher number, whatever the order", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			node := revision.NewNode(revision.Options{ID: "a"})
			highest := uint64(0)
			for _, number := range rapid.SliceOfN(rapid.Uint64Range(1, 9), 1, 20).Draw(t, "numbers") {
				body := []byte(fmt.Sprint(number))
				rev := revision.Revision{Number: number, Hash: revision.HashOf(body)}
				if node.Install(rev, []byte("forged")) {
					t.Fatal("installed a body with another hash")
				}
				if node.Install(rev, body) != (number > highest) {
					t.Fatalf("revision %d after %d", number, highest)
				}
				highest = max(highest, number)
			}
		})
	})

	DescribeTable("has a change in force everywhere within 6 s, with the store down right after the accept",
		func(size int, down bool) {
			m := settled(ctx, size)
			m.accept(ctx, m.order[size/2], 1)
			m.storeDown(down)
			m.spread(ctx)
			m.run(ctx, 5*time.Second)
			Expect(m.installed(2)).To(Equal(size))
		},
		Entry("7 nodes", 7, false), Entry("7 nodes, store down", 7, true),
		Entry("50 nodes, store down", 50, true), Entry("200 nodes, store down", 200, true),
	)

	It("is not ready after a restart before anyone answered, then takes the highest", func() {
		m := settled(ctx, 7)
		m.accept(ctx, m.order[0], 1)
		m.storeDown(true)
		v := m.start(m.order[0])
		Expect(v.node.Freshness(m.clock.Now())).To(Equal(revision.NotReady))
		m.run(ctx, 8*time.Second)
		Expect(m.installed(2)).To(Equal(7))
		Expect(v.node.Ready()).To(BeTrue())
	})

	It("turns not ready within the bound when it is cut off from all", func() {
		m := settled(ctx, 7)
		cut := m.order[3]
		m.blocked = func(from, to revision.NodeID) bool { return from == cut || to == cut }
		m.table.Faults = func(context.Context, memory.Op, string) memory.Fault { return memory.None }
		m.members[cut].polls = time.Hour
		m.run(ctx, freshFor+time.Second)
		Expect(m.members[cut].node.Freshness(m.clock.Now())).To(Equal(revision.CutOff))
		Expect(m.fresh()).To(Equal(6))
	})

	It("stays fresh through an outage of the store that all members see", func() {
		m := settled(ctx, 7)
		m.storeDown(true)
		for range 20 {
			m.run(ctx, 3*time.Second)
			Expect(m.fresh()).To(Equal(7))
		}
		Expect(m.members[m.order[2]].node.Freshness(m.clock.Now())).To(Equal(revision.FreshByMembers))
	})

	It("gives out no work on either side of a split during an outage", func() {
		m := settled(ctx, 6)
		side := func(id revision.NodeID) bool { return id < m.order[3] }
		m.blocked = func(from, to revision.NodeID) bool { return side(from) != side(to) }
		m.storeDown(true)
		m.run(ctx, freshFor+time.Second)
		Expect(m.fresh()).To(BeZero())
	})

	It("does not work by an old revision past the bound when one side of a split accepts", func() {
		m := settled(ctx, 6)
		side := func(id revision.NodeID) bool { return id < m.order[3] }
		m.blocked = func(from, to revision.NodeID) bool { return side(from) != side(to) }
		m.accept(ctx, m.order[0], 1)
		acceptedAt := m.clock.Now()
		for _, id := range m.order[3:] {
			m.members[id].polls = time.Hour
		}
		m.run(ctx, freshFor+2*time.Second)
		for _, id := range m.order[3:] {
			Expect(m.members[id].node.Ready()).To(BeFalse())
		}
		f := m.members[m.order[0]].node.InForce(2, acceptedAt, m.clock.Now())
		Expect(f.Confirmed).To(ConsistOf(m.order[:3]))
		Expect(f.Expired).To(ConsistOf(m.order[3:]))
		Expect(f.Everywhere()).To(BeTrue())
		f = m.members[m.order[0]].node.InForce(2, m.clock.Now(), m.clock.Now())
		Expect(f.Unknown).To(ConsistOf(m.order[3:]))
	})

	It("withdraws its vouching while the outcome of its own proposal is unknown", func() {
		m := settled(ctx, 5)
		m.table.Faults = onNth(memory.OpUpdate, 1, memory.ReplyLost)
		_, err := m.publisher(m.order[0]).Propose(ctx, 1, []byte("x"), "lost", "ana")
		Expect(err).To(HaveOccurred())
		m.storeDown(true)
		m.run(ctx, freshFor+time.Second)
		Expect(m.fresh()).To(BeZero())
		m.storeDown(false)
		m.run(ctx, 3*time.Second)
		Expect(m.fresh()).To(Equal(5))
		Expect(m.installed(2)).To(Equal(5))
	})

	It("is behind while a peer vouches for a revision that it can't fetch", func() {
		clock := clockwork.NewFakeClockAt(time.Unix(1e9, 0))
		node := revision.NewNode(revision.Options{
			ID: "a", Clock: clock, Members: func() []revision.NodeID { return []revision.NodeID{"a", "b"} },
		})
		rev := func(number uint64) revision.Revision {
			return revision.Revision{Number: number, Hash: revision.HashOf([]byte("x"))}
		}
		Expect(node.Install(rev(1), []byte("x"))).To(BeTrue())
		node.ObserveReply(revision.Digest{From: "b", Installed: rev(1), Vouches: true}, clock.Now())
		Expect(node.Freshness(clock.Now())).To(Equal(revision.FreshByMembers))
		clock.Advance(time.Second)
		node.ObserveReply(revision.Digest{From: "b", Installed: rev(2), Vouches: true}, clock.Now())
		Expect(node.Freshness(clock.Now())).To(Equal(revision.Behind))
		node.ObserveHead(rev(2), clock.Now())
		Expect(node.Freshness(clock.Now())).To(Equal(revision.Behind))
		Expect(node.Install(rev(2), []byte("x"))).To(BeTrue())
		Expect(node.Freshness(clock.Now())).To(Equal(revision.FreshByStore))
	})

	It("takes no proof of age from a request, which may have been long under way", func() {
		m := settled(ctx, 2)
		stale := m.members[m.order[0]].node.Digest(m.clock.Now())
		m.clock.Advance(freshFor + time.Second)
		late := m.members[m.order[1]]
		late.spreader.Answer(stale)
		Expect(late.node.Ready()).To(BeFalse())
	})
})
