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
	freshFor       = 10 * time.Second // the default of Options.FreshFor
	storeDownFault = memory.Down
)

func (c *cluster) setStoreDown(down bool) {
	c.table.Faults, c.objects.Faults = nil, nil
	if down {
		c.table.Faults, c.objects.Faults = faultOnEvery(storeDownFault), faultOnEvery(storeDownFault)
	}
}

func (c *cluster) runFor(ctx context.Context, d time.Duration) {
	for range int(d / time.Second) {
		c.tick(ctx)
	}
}

func (c *cluster) propose(ctx context.Context, id revision.NodeID, base uint64) {
	GinkgoHelper()
	_, err := c.publisher(id).Propose(ctx, base, []byte(fmt.Sprint("body", base+1)), fmt.Sprint("op", base+1), "ana")
	Expect(err).NotTo(HaveOccurred())
}

// newSettledCluster returns a cluster in which revision 1 is in force on all nodes.
func newSettledCluster(ctx context.Context, size int) *cluster {
	GinkgoHelper()
	c := newCluster(size)
	c.propose(ctx, c.ids[0], 0)
	c.runFor(ctx, 12*time.Second)
	Expect(c.freshCount()).To(Equal(size))
	return c
}

var _ = Describe("Node", func() {
	ctx := context.Background()

	It("installs only higher numbers, in whatever order revisions arrive", func() {
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

	DescribeTable("installs a change on all nodes within 6 s, even if the store fails right after it was accepted",
		func(size int, down bool) {
			c := newSettledCluster(ctx, size)
			c.propose(ctx, c.ids[size/2], 1)
			c.setStoreDown(down)
			c.propagate(ctx)
			c.runFor(ctx, 5*time.Second)
			Expect(c.installedCount(2)).To(Equal(size))
		},
		Entry("7 nodes", 7, false), Entry("7 nodes, store down", 7, true),
		Entry("50 nodes, store down", 50, true), Entry("200 nodes, store down", 200, true),
	)

	It("is not ready after a restart until another node answers, then installs the highest revision", func() {
		c := newSettledCluster(ctx, 7)
		c.propose(ctx, c.ids[0], 1)
		c.setStoreDown(true)
		v := c.start(c.ids[0])
		Expect(v.node.Freshness(c.clock.Now())).To(Equal(revision.NotReady))
		c.runFor(ctx, 8*time.Second)
		Expect(c.installedCount(2)).To(Equal(7))
		Expect(v.node.Ready()).To(BeTrue())
	})

	It("stops being fresh within FreshFor after it lost contact with the store and all peers", func() {
		c := newSettledCluster(ctx, 7)
		isolated := c.ids[3]
		c.blocked = func(from, to revision.NodeID) bool { return from == isolated || to == isolated }
		c.table.Faults = func(context.Context, memory.Op, string) memory.Fault { return memory.None }
		c.members[isolated].untilPoll = time.Hour
		c.runFor(ctx, freshFor+time.Second)
		Expect(c.members[isolated].node.Freshness(c.clock.Now())).To(Equal(revision.CutOff))
		Expect(c.freshCount()).To(Equal(6))
	})

	It("stays fresh during a store outage while all members reach one another", func() {
		c := newSettledCluster(ctx, 7)
		c.setStoreDown(true)
		for range 20 {
			c.runFor(ctx, 3*time.Second)
			Expect(c.freshCount()).To(Equal(7))
		}
		Expect(c.members[c.ids[2]].node.Freshness(c.clock.Now())).To(Equal(revision.FreshByMembers))
	})

	It("is not fresh on either side of a network partition during a store outage", func() {
		c := newSettledCluster(ctx, 6)
		side := func(id revision.NodeID) bool { return id < c.ids[3] }
		c.blocked = func(from, to revision.NodeID) bool { return side(from) != side(to) }
		c.setStoreDown(true)
		c.runFor(ctx, freshFor+time.Second)
		Expect(c.freshCount()).To(BeZero())
	})

	It("is not fresh with an old revision longer than FreshFor after one side of a partition accepted a new one", func() {
		c := newSettledCluster(ctx, 6)
		side := func(id revision.NodeID) bool { return id < c.ids[3] }
		c.blocked = func(from, to revision.NodeID) bool { return side(from) != side(to) }
		c.propose(ctx, c.ids[0], 1)
		acceptedAt := c.clock.Now()
		for _, id := range c.ids[3:] {
			c.members[id].untilPoll = time.Hour
		}
		c.runFor(ctx, freshFor+2*time.Second)
		for _, id := range c.ids[3:] {
			Expect(c.members[id].node.Ready()).To(BeFalse())
		}
		f := c.members[c.ids[0]].node.InForce(2, acceptedAt, c.clock.Now())
		Expect(f.Confirmed).To(ConsistOf(c.ids[:3]))
		Expect(f.Expired).To(ConsistOf(c.ids[3:]))
		Expect(f.Everywhere()).To(BeTrue())
		f = c.members[c.ids[0]].node.InForce(2, c.clock.Now(), c.clock.Now())
		Expect(f.Unknown).To(ConsistOf(c.ids[3:]))
	})

	It("withholds its statement while the outcome of its own proposal is unknown", func() {
		c := newSettledCluster(ctx, 5)
		c.table.Faults = faultOnNth(memory.OpUpdate, 1, memory.ReplyLost)
		_, err := c.publisher(c.ids[0]).Propose(ctx, 1, []byte("x"), "lost", "ana")
		Expect(err).To(HaveOccurred())
		c.setStoreDown(true)
		c.runFor(ctx, freshFor+time.Second)
		Expect(c.freshCount()).To(BeZero())
		c.setStoreDown(false)
		c.runFor(ctx, 3*time.Second)
		Expect(c.freshCount()).To(Equal(5))
		Expect(c.installedCount(2)).To(Equal(5))
	})

	It("is behind while a peer states a higher revision that is not installed here", func() {
		clock := clockwork.NewFakeClockAt(time.Unix(1e9, 0))
		node := revision.NewNode(revision.Options{
			ID: "a", Clock: clock, Members: func() []revision.NodeID { return []revision.NodeID{"a", "b"} },
		})
		rev := func(number uint64) revision.Revision {
			return revision.Revision{Number: number, Hash: revision.HashOf([]byte("x"))}
		}
		Expect(node.Install(rev(1), []byte("x"))).To(BeTrue())
		node.ObserveReply(revision.Digest{From: "b", Installed: rev(1), NoOpenProposal: true}, clock.Now())
		Expect(node.Freshness(clock.Now())).To(Equal(revision.FreshByMembers))
		clock.Advance(time.Second)
		node.ObserveReply(revision.Digest{From: "b", Installed: rev(2), NoOpenProposal: true}, clock.Now())
		Expect(node.Freshness(clock.Now())).To(Equal(revision.Behind))
		node.ObserveHead(rev(2), clock.Now())
		Expect(node.Freshness(clock.Now())).To(Equal(revision.Behind))
		Expect(node.Install(rev(2), []byte("x"))).To(BeTrue())
		Expect(node.Freshness(clock.Now())).To(Equal(revision.FreshByStore))
	})

	It("does not become fresh by the digest in a request, which may have been delayed", func() {
		c := newSettledCluster(ctx, 2)
		stale := c.members[c.ids[0]].node.Digest(c.clock.Now())
		c.clock.Advance(freshFor + time.Second)
		receiver := c.members[c.ids[1]]
		receiver.syncer.HandleExchange(stale)
		Expect(receiver.node.Ready()).To(BeFalse())
	})
})
