package revision_test

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/coord/revision"
	"github.com/poplarshore/poplarshore/coord/store"
	"github.com/poplarshore/poplarshore/coord/store/memory"
)

// suiteT is the test that runs the suite, for specs that need a *testing.T.
var suiteT *testing.T

func TestRevision(t *testing.T) {
	suiteT = t
	RegisterFailHandler(Fail)
	Expect(flag.Set("rapid.seed", "1")).To(Succeed())
	Expect(flag.Set("rapid.checks", "50")).To(Succeed())
	RunSpecs(t, "revision")
}

const prefix = "env"

// member is one process of a cluster.
type member struct {
	id        revision.NodeID
	node      *revision.Node
	syncer    *revision.Syncer
	untilPoll time.Duration // virtual time until the next poll
}

// cluster simulates a group of processes. It runs them in rounds of virtual time,
// without goroutines.
type cluster struct {
	clock       *clockwork.FakeClock
	table       *memory.Table
	objects     *memory.Objects
	members     map[revision.NodeID]*member
	ids         []revision.NodeID
	blocked     func(from, to revision.NodeID) bool
	rand        *rand.Rand
	freshFor    time.Duration
	counting    bool
	digestBytes atomic.Int64 // encoded digests, both directions
	digestCount atomic.Int64
}

func newCluster(size int) *cluster { return newClusterWithFreshFor(size, freshFor) }

func newClusterWithFreshFor(size int, freshFor time.Duration) *cluster {
	c := &cluster{
		freshFor: freshFor,
		clock:    clockwork.NewFakeClockAt(time.Unix(1e9, 0)),
		table:    memory.NewTable(),
		objects:  memory.NewObjects(),
		members:  make(map[revision.NodeID]*member),
		blocked:  func(_, _ revision.NodeID) bool { return false },
		rand:     rand.New(rand.NewPCG(7, uint64(size))),
	}
	for i := range size {
		id := revision.NodeID(fmt.Sprintf("vm-%04d", i))
		c.ids = append(c.ids, id)
		c.start(id)
	}
	return c
}

// start starts or restarts a process, without any state of its earlier run.
func (c *cluster) start(id revision.NodeID) *member { return c.startWithClock(id, c.clock) }

func (c *cluster) startWithClock(id revision.NodeID, clock clockwork.Clock) *member {
	node := revision.NewNode(revision.Options{
		ID: id, Clock: clock, FreshFor: c.freshFor, Members: func() []revision.NodeID { return c.ids },
	})
	syncer := revision.NewSyncer(revision.SyncerOptions{
		Node: node, Table: c.table, Objects: c.objects, Prefix: prefix, Clock: clock,
		Directory: directory{c, id}, Rand: rand.New(rand.NewPCG(c.rand.Uint64(), 1)),
	})
	c.members[id] = &member{id: id, node: node, syncer: syncer, untilPoll: time.Duration(c.rand.Int64N(int64(c.pollPeriod())))}
	return c.members[id]
}

func (c *cluster) pollPeriod() time.Duration {
	return revision.PollPeriod(max(len(c.ids), 1), 20, time.Second)
}

// publisher returns a publisher in the process with the id.
func (c *cluster) publisher(id revision.NodeID) *revision.Publisher {
	return revision.NewPublisher(revision.PublisherOptions{
		Table: c.table, Objects: c.objects, Prefix: prefix, MaxAttempts: 1, Clock: c.clock,
		Node: c.members[id].node, Announcer: c.members[id].syncer,
	})
}

// tick advances the time by 1 s. Every node exchanges twice, and polls if that is due.
func (c *cluster) tick(ctx context.Context) {
	c.clock.Advance(time.Second)
	for _, i := range c.rand.Perm(len(c.ids)) {
		v := c.members[c.ids[i]]
		if v == nil {
			continue
		}
		if v.untilPoll -= time.Second; v.untilPoll <= 0 {
			v.syncer.Poll(ctx)
			v.untilPoll += c.pollPeriod()
		}
		v.syncer.ExchangeOnce(ctx)
		v.syncer.ExchangeOnce(ctx)
	}
}

// propagate makes each node that installed a revision announce it, until no node installs
// another one. It returns the number of rounds; each takes one hop.
func (c *cluster) propagate(ctx context.Context) int {
	for rounds := 0; ; rounds++ {
		var changed []*member
		for _, id := range c.ids {
			if v := c.members[id]; v != nil && len(v.node.Changed()) > 0 {
				<-v.node.Changed()
				changed = append(changed, v)
			}
		}
		if len(changed) == 0 {
			return rounds
		}
		for _, v := range changed {
			v.syncer.ExchangeOnce(ctx)
			v.syncer.ExchangeOnce(ctx)
		}
	}
}

func (c *cluster) freshCount() int {
	count := 0
	for _, v := range c.members {
		if v != nil && v.node.Ready() {
			count++
		}
	}
	return count
}

func (c *cluster) installedCount(number uint64) int {
	count := 0
	for _, v := range c.members {
		if v == nil {
			continue
		}
		if rev, _ := v.node.Current(); rev.Number >= number {
			count++
		}
	}
	return count
}

type directory struct {
	cluster *cluster
	self    revision.NodeID
}

func (d directory) Peers() []revision.NodeID {
	peers := make([]revision.NodeID, 0, len(d.cluster.ids))
	for _, id := range d.cluster.ids {
		if id != d.self {
			peers = append(peers, id)
		}
	}
	return peers
}

func (d directory) Peer(id revision.NodeID) revision.Peer { return peerLink{d.cluster, d.self, id} }

type peerLink struct {
	cluster  *cluster
	from, to revision.NodeID
}

func (l peerLink) target() (*member, error) {
	v := l.cluster.members[l.to]
	if v == nil || l.cluster.blocked(l.from, l.to) {
		return nil, store.ErrUnavailable.New("%s can't reach %s", l.from, l.to)
	}
	return v, nil
}

func (l peerLink) Exchange(ctx context.Context, d revision.Digest) (revision.Digest, error) {
	v, err := l.target()
	if err != nil {
		return revision.Digest{}, err
	}
	reply := v.syncer.HandleExchange(d)
	v.syncer.Follow(ctx, l.from)
	l.cluster.countDigest(d)
	l.cluster.countDigest(reply)
	return reply, nil
}

func (l peerLink) Fetch(_ context.Context, hash revision.Hash) ([]byte, error) {
	v, err := l.target()
	if err != nil {
		return nil, err
	}
	body, ok := v.node.Body(hash)
	if !ok {
		return nil, store.ErrNotFound.New("body %s", hash)
	}
	return body, nil
}

func (c *cluster) countDigest(d revision.Digest) {
	if !c.counting {
		return
	}
	encoded, _ := json.Marshal(d)
	c.digestBytes.Add(int64(len(encoded)))
	c.digestCount.Add(1)
}
