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

// mesh is a group of processes in one.
type mesh struct {
	clock   clockwork.Clock
	rosters []*roster.Roster
	gossips []*roster.Gossip
	lost    func(from, to int) bool
	bytes   int
	calls   int
	largest int
	steps   int
}

func newMesh(size int, clock clockwork.Clock) *mesh {
	m := &mesh{clock: clock, lost: func(int, int) bool { return false }}
	for i := range size {
		r := roster.New(roster.Options{Self: roster.ID(fmt.Sprintf("vm-%04d", i)), Clock: clock})
		m.rosters = append(m.rosters, r)
		m.gossips = append(m.gossips, roster.NewGossip(roster.GossipOptions{
			Roster: r, Directory: directory{m, i}, Clock: clock, Rand: rand.New(rand.NewPCG(5, uint64(i))),
		}))
	}
	return m
}

type directory struct {
	mesh *mesh
	self int
}

func (d directory) Peers() []roster.Peer {
	var peers []roster.Peer
	for i := range d.mesh.rosters {
		if i != d.self {
			peers = append(peers, link{d.mesh, d.self, i})
		}
	}
	return peers
}

type link struct {
	mesh     *mesh
	from, to int
}

func (l link) Exchange(_ context.Context, d roster.Digest) (roster.Digest, error) {
	if l.mesh.lost(l.from, l.to) {
		return roster.Digest{}, store.ErrUnavailable.New("lost")
	}
	return l.mesh.gossips[l.to].Answer(d)
}

// measure counts the bytes of one node's exchanges during one second.
func (m *mesh) measure(i int) {
	d := m.rosters[i].Digest(len(m.rosters) - 1)
	encoded, _ := json.Marshal(d)
	m.bytes += len(encoded)
	m.calls++
	m.largest = max(m.largest, len(encoded))
}

// list gives every process the platform's list.
func (m *mesh) list(entries ...roster.ListEntry) {
	for _, r := range m.rosters {
		r.List(m.clock.Now(), entries)
	}
}

// round lets every node exchange with two peers, as in one tick.
func (m *mesh) round(ctx context.Context) {
	for i := range m.gossips {
		m.exchange(ctx, i, 2)
	}
}

func (m *mesh) exchange(ctx context.Context, node, times int) {
	for range times {
		m.gossips[node].ExchangeOnce(ctx)
	}
}

// step lets the time of one hop pass: nodes with news pass it on, and a part of
// the others, in turn, has its tick.
func (m *mesh) step(ctx context.Context) {
	const hopsPerTick = int(500 * time.Millisecond / hop)
	m.steps++
	var news []int
	for i, r := range m.rosters {
		if len(r.Changed()) > 0 {
			<-r.Changed()
			news = append(news, i)
		}
	}
	for _, i := range news {
		m.exchange(ctx, i, 3) // the default NewsFanOut
	}
	for i := range m.gossips {
		if i%hopsPerTick == m.steps%hopsPerTick {
			m.exchange(ctx, i, 2)
		}
	}
}

// until returns the virtual time until every node sees the member in the phase.
func (m *mesh) until(ctx context.Context, id roster.ID, phase roster.Phase) time.Duration {
	took := time.Duration(0)
	for m.seeing(id, phase) < len(m.rosters) {
		m.step(ctx)
		took += hop
	}
	return took
}

func (m *mesh) seeing(id roster.ID, phase roster.Phase) int {
	count := 0
	for _, r := range m.rosters {
		if r.Phase(id) == phase {
			count++
		}
	}
	return count
}

func engines(count int) []roster.ListEntry {
	var entries []roster.ListEntry
	for i := range count {
		entries = append(entries, roster.ListEntry{ID: roster.ID(fmt.Sprintf("engine-%04d", i))})
	}
	return entries
}

const hop = 160 * time.Millisecond // one exchange between regions
