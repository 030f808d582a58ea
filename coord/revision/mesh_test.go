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

var suite *testing.T

func TestRevision(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	Expect(flag.Set("rapid.seed", "1")).To(Succeed())
	Expect(flag.Set("rapid.checks", "50")).To(Succeed())
	RunSpecs(t, "revision")
}

const prefix = "env"

// member is one simulated process.
type member struct {
	id       revision.NodeID
	node     *revision.Node
	spreader *revision.Spreader
	polls    time.Duration // virtual time until the next poll
}

// mesh runs nodes in rounds of virtual time, without goroutines.
type mesh struct {
	clock   *clockwork.FakeClock
	table   *memory.Table
	objects *memory.Objects
	members map[revision.NodeID]*member
	order   []revision.NodeID
	blocked func(from, to revision.NodeID) bool
	rand    *rand.Rand
	bound   time.Duration
	measure bool
	bytes   atomic.Int64 // encoded digests, both directions
	calls   atomic.Int64
}

func newMesh(size int) *mesh { return newMeshWith(size, freshFor) }

func newMeshWith(size int, bound time.Duration) *mesh {
	m := &mesh{
		bound:   bound,
		clock:   clockwork.NewFakeClockAt(time.Unix(1e9, 0)),
		table:   memory.NewTable(),
		objects: memory.NewObjects(),
		members: make(map[revision.NodeID]*member),
		blocked: func(_, _ revision.NodeID) bool { return false },
		rand:    rand.New(rand.NewPCG(7, uint64(size))),
	}
	for i := range size {
		id := revision.NodeID(fmt.Sprintf("vm-%04d", i))
		m.order = append(m.order, id)
		m.start(id)
	}
	return m
}

// start (re)starts a process with nothing in memory.
func (m *mesh) start(id revision.NodeID) *member { return m.startOn(id, m.clock) }

func (m *mesh) startOn(id revision.NodeID, clock clockwork.Clock) *member {
	node := revision.NewNode(revision.Options{
		ID: id, Clock: clock, FreshFor: m.bound, Members: func() []revision.NodeID { return m.order },
	})
	spreader := revision.NewSpreader(revision.SpreaderOptions{
		Node: node, Table: m.table, Objects: m.objects, Prefix: prefix, Clock: clock,
		Directory: directory{m, id}, Rand: rand.New(rand.NewPCG(m.rand.Uint64(), 1)),
	})
	m.members[id] = &member{id: id, node: node, spreader: spreader, polls: time.Duration(m.rand.Int64N(int64(m.period())))}
	return m.members[id]
}

func (m *mesh) period() time.Duration {
	return revision.PollPeriod(max(len(m.order), 1), 20, time.Second)
}

// publisher returns a publisher on the member's process.
func (m *mesh) publisher(id revision.NodeID) *revision.Publisher {
	return revision.NewPublisher(revision.PublisherOptions{
		Table: m.table, Objects: m.objects, Prefix: prefix, Attempts: 1, Clock: m.clock,
		Node: m.members[id].node, Announcer: m.members[id].spreader,
	})
}

// tick lets one second pass: every node exchanges twice and polls when due.
func (m *mesh) tick(ctx context.Context) {
	m.clock.Advance(time.Second)
	for _, i := range m.rand.Perm(len(m.order)) {
		v := m.members[m.order[i]]
		if v == nil {
			continue
		}
		if v.polls -= time.Second; v.polls <= 0 {
			v.spreader.Poll(ctx)
			v.polls += m.period()
		}
		v.spreader.ExchangeOnce(ctx)
		v.spreader.ExchangeOnce(ctx)
	}
}

// spread lets every installation be announced until none is left; each wave
// takes one hop. It returns the number of waves.
func (m *mesh) spread(ctx context.Context) int {
	for waves := 0; ; waves++ {
		var woken []*member
		for _, id := range m.order {
			if v := m.members[id]; v != nil && len(v.node.Changed()) > 0 {
				<-v.node.Changed()
				woken = append(woken, v)
			}
		}
		if len(woken) == 0 {
			return waves
		}
		for _, v := range woken {
			v.spreader.ExchangeOnce(ctx)
			v.spreader.ExchangeOnce(ctx)
		}
	}
}

func (m *mesh) fresh() int {
	count := 0
	for _, v := range m.members {
		if v != nil && v.node.Ready() {
			count++
		}
	}
	return count
}

func (m *mesh) installed(number uint64) int {
	count := 0
	for _, v := range m.members {
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
	mesh *mesh
	self revision.NodeID
}

func (d directory) Peers() []revision.NodeID {
	peers := make([]revision.NodeID, 0, len(d.mesh.order))
	for _, id := range d.mesh.order {
		if id != d.self {
			peers = append(peers, id)
		}
	}
	return peers
}

func (d directory) Peer(id revision.NodeID) revision.Peer { return link{d.mesh, d.self, id} }

type link struct {
	mesh     *mesh
	from, to revision.NodeID
}

func (l link) target() (*member, error) {
	v := l.mesh.members[l.to]
	if v == nil || l.mesh.blocked(l.from, l.to) {
		return nil, store.ErrUnavailable.New("%s does not reach %s", l.from, l.to)
	}
	return v, nil
}

func (l link) Exchange(ctx context.Context, d revision.Digest) (revision.Digest, error) {
	v, err := l.target()
	if err != nil {
		return revision.Digest{}, err
	}
	reply := v.spreader.Answer(d)
	v.spreader.Follow(ctx, l.from)
	l.mesh.count(d)
	l.mesh.count(reply)
	return reply, nil
}

func (l link) Fetch(_ context.Context, hash revision.Hash) ([]byte, error) {
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

func (m *mesh) count(d revision.Digest) {
	if !m.measure {
		return
	}
	encoded, _ := json.Marshal(d)
	m.bytes.Add(int64(len(encoded)))
	m.calls.Add(1)
}
