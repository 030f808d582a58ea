package roster_test

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/coord/roster"
	"github.com/poplarshore/poplarshore/coord/store"
)

var suite *testing.T

func TestRoster(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	Expect(flag.Set("rapid.seed", "1")).To(Succeed())
	RunSpecs(t, "roster")
}

// cluster is a group of nodes in one process, each with a roster and a gossip.
type cluster struct {
	clock         clockwork.Clock
	rosters       []*roster.Roster
	gossips       []*roster.Gossip
	isDropped     func(from, to int) bool // whether an exchange fails
	digestBytes   int                     // of all measured digests
	digestCount   int                     // measured digests
	largestDigest int                     // in bytes
	hops          int                     // calls of advanceHop
}

func newCluster(size int, clock clockwork.Clock) *cluster {
	c := &cluster{clock: clock, isDropped: func(int, int) bool { return false }}
	for i := range size {
		r := roster.New(roster.Options{Self: roster.ID(fmt.Sprintf("vm-%04d", i)), Clock: clock})
		c.rosters = append(c.rosters, r)
		c.gossips = append(c.gossips, roster.NewGossip(roster.GossipOptions{
			Roster: r, Directory: peerDirectory{c, i}, Clock: clock, Rand: rand.New(rand.NewPCG(5, uint64(i))),
		}))
	}
	return c
}

// peerDirectory implements roster.Directory for one node.
type peerDirectory struct {
	cluster *cluster
	self    int
}

func (d peerDirectory) Peers() []roster.Peer {
	var peers []roster.Peer
	for i := range d.cluster.rosters {
		if i != d.self {
			peers = append(peers, clusterPeer{d.cluster, d.self, i})
		}
	}
	return peers
}

// clusterPeer implements roster.Peer between two nodes.
type clusterPeer struct {
	cluster  *cluster
	from, to int
}

func (p clusterPeer) Exchange(_ context.Context, d roster.Digest) (roster.Digest, error) {
	if p.cluster.isDropped(p.from, p.to) {
		return roster.Digest{}, store.ErrUnavailable.New("exchange dropped")
	}
	return p.cluster.gossips[p.to].HandleExchange(d)
}

// measureDigest adds the encoded size of the next digest of node i to the counts.
func (c *cluster) measureDigest(i int) {
	d := c.rosters[i].Digest(len(c.rosters) - 1)
	encoded, _ := json.Marshal(d)
	c.digestBytes += len(encoded)
	c.digestCount++
	c.largestDigest = max(c.largestDigest, len(encoded))
}

// applyList gives every node the platform's list.
func (c *cluster) applyList(entries ...roster.ListEntry) {
	for _, r := range c.rosters {
		r.ApplyList(c.clock.Now(), entries)
	}
}

// runRound lets every node exchange with two peers, as in one interval.
func (c *cluster) runRound(ctx context.Context) {
	for i := range c.gossips {
		c.exchange(ctx, i, 2)
	}
}

// exchange lets one node exchange with as many random peers as times says.
func (c *cluster) exchange(ctx context.Context, node, times int) {
	for range times {
		c.gossips[node].ExchangeOnce(ctx)
	}
}

// advanceHop simulates the duration of one hop: nodes with new updates exchange at once, and a part
// of all nodes, in rotation, makes its periodic exchanges.
func (c *cluster) advanceHop(ctx context.Context) {
	const hopsPerInterval = int(500 * time.Millisecond / hopDuration)
	c.hops++
	var nodesWithUpdates []int
	for i, r := range c.rosters {
		if len(r.Changed()) > 0 {
			<-r.Changed()
			nodesWithUpdates = append(nodesWithUpdates, i)
		}
	}
	for _, i := range nodesWithUpdates {
		c.exchange(ctx, i, 3) // the default UpdateFanOut
	}
	for i := range c.gossips {
		if i%hopsPerInterval == c.hops%hopsPerInterval {
			c.exchange(ctx, i, 2)
		}
	}
}

// timeUntilPhase returns the simulated time until every node sees the member in the phase.
func (c *cluster) timeUntilPhase(ctx context.Context, id roster.ID, phase roster.Phase) time.Duration {
	elapsed := time.Duration(0)
	for c.countInPhase(id, phase) < len(c.rosters) {
		c.advanceHop(ctx)
		elapsed += hopDuration
	}
	return elapsed
}

// countInPhase returns how many nodes see the member in the phase.
func (c *cluster) countInPhase(id roster.ID, phase roster.Phase) int {
	count := 0
	for _, r := range c.rosters {
		if r.Phase(id) == phase {
			count++
		}
	}
	return count
}

// engines returns list entries of upstreams engine-0000 and up.
func engines(count int) []roster.ListEntry {
	var entries []roster.ListEntry
	for i := range count {
		entries = append(entries, roster.ListEntry{ID: roster.ID(fmt.Sprintf("engine-%04d", i))})
	}
	return entries
}

const hopDuration = 160 * time.Millisecond // duration of one exchange between regions
