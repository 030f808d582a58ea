package slopes

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"github.com/poplarshore/poplarshore/coord/revision"
	"github.com/poplarshore/poplarshore/coord/store/memory"
	"github.com/poplarshore/poplarshore/internal/peer"
	"github.com/poplarshore/poplarshore/limit"
	"github.com/poplarshore/poplarshore/measure/meter"
	"github.com/poplarshore/poplarshore/standin/host"
	"github.com/poplarshore/poplarshore/vm"
)

var namespace = errorx.NewNamespace("slopes")

// errPeer reports a call to a peer of the mesh that failed.
var errPeer = namespace.NewType("peer")

// The mesh runs at the defaults of package revision.
const (
	meshTick   = time.Second
	meshFanOut = 2
	meshPolls  = 20
	meshSeed   = 11
)

var meshToken = []byte("token-of-the-measured-mesh")

// mesh is a number of entry VMs' control planes in this process, which speak to
// one another over HTTP by the entry's own peer protocol.
type mesh struct {
	clock   *steppedClock
	table   *memory.Table
	objects *memory.Objects
	wire    *meter.Wire
	nodes   []*meshNode
	ids     []vm.ID
}

type meshNode struct {
	number  int
	id      vm.ID
	client  *peer.Client
	node    *revision.Node
	syncer  *revision.Syncer
	limiter *limit.Limiter
	host    *host.Server
}

// newMesh starts a mesh whose digests hold so many statements, or the default.
func newMesh(size, statements int) (*mesh, error) {
	m := &mesh{
		clock: newSteppedClock(), table: memory.NewTable(), objects: memory.NewObjects(), wire: &meter.Wire{},
	}
	publisher := revision.NewPublisher(revision.PublisherOptions{Table: m.table, Objects: m.objects})
	if _, err := publisher.Propose(context.Background(), 0, []byte("{}"), "first", "measure"); err != nil {
		return m, err
	}
	for i := range size {
		m.ids = append(m.ids, vm.ID(fmt.Sprintf("vm-%05d", i)))
	}
	transport := meshTransport(m.wire, false, size)
	for i := range size {
		n := m.node(i, statements, transport)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return m, err
		}
		n.host = host.Start(l, peer.NewServer(meshToken, n.node, n.syncer, n.limiter, m.clock))
		m.nodes = append(m.nodes, n)
	}
	addresses := make(map[vm.ID]string, size)
	for _, n := range m.nodes {
		addresses[n.id] = strings.TrimPrefix(n.host.URL(), "http://")
	}
	for _, n := range m.nodes {
		n.client.Book.Set(addresses)
		n.limiter.SetMembers(m.ids)
	}
	return m, nil
}

// node returns one VM's control plane.
func (m *mesh) node(i, statements int, via http.RoundTripper) *meshNode {
	id := m.ids[i]
	n := &meshNode{number: i, id: id}
	n.client = &peer.Client{Scheme: "http", Token: meshToken, Book: peer.NewBook(id), Transport: via}
	n.node = revision.NewNode(revision.Options{
		ID: revision.NodeID(id), Clock: m.clock, Statements: statements,
		Members: func() []revision.NodeID {
			return append([]revision.NodeID{revision.NodeID(id)}, n.client.Book.Others()...)
		},
	})
	n.syncer = revision.NewSyncer(revision.SyncerOptions{
		Node: n.node, Table: m.table, Objects: m.objects, Directory: n.client, Clock: m.clock,
		Rand: rand.New(rand.NewPCG(meshSeed, uint64(i))),
	})
	n.limiter = limit.New(limit.DefaultOptions(id, vm.Incarnation("1")))
	return n
}

func (m *mesh) close() {
	m.setTransport(nil)
	for _, n := range m.nodes {
		_ = n.host.Close()
	}
}

// setTransport makes all nodes call through via, and closes what they used.
func (m *mesh) setTransport(via *http.Transport) {
	for _, n := range m.nodes {
		if old, ok := n.client.Transport.(*http.Transport); ok && old != nil {
			old.CloseIdleConnections()
		}
		n.client.Transport = via
	}
}

func meshTransport(wire *meter.Wire, kept bool, hosts int) *http.Transport {
	return &http.Transport{
		DialContext: wire.Dial, DisableKeepAlives: !kept, MaxIdleConnsPerHost: idleConnections,
		MaxIdleConns: idleConnections * hosts,
	}
}

// rounds lets every node act once a round, a tick apart, and returns the cost
// of one act in microseconds.
func (m *mesh) rounds(count int, act func(round int, n *meshNode) error) (float64, error) {
	return perOperation(count*len(m.nodes), func(i int) error {
		if i%len(m.nodes) == 0 {
			m.clock.step(meshTick)
		}
		return act(i/len(m.nodes), m.nodes[i%len(m.nodes)])
	})
}

// exchange lets a node exchange digests as often as in one tick of its own, and
// read the head row when that is due.
func (m *mesh) exchange(ctx context.Context) func(int, *meshNode) error {
	period := int(revision.PollPeriod(len(m.nodes), meshPolls, meshTick) / meshTick)
	return func(round int, n *meshNode) error {
		if (round+n.number)%period == 0 {
			n.syncer.Poll(ctx)
		}
		for range meshFanOut {
			if !n.syncer.ExchangeOnce(ctx) {
				return errPeer.New("node %q did not exchange", n.id)
			}
		}
		return nil
	}
}
