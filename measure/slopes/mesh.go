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

// errPeer reports a failed call to a peer of the mesh.
var errPeer = namespace.NewType("peer")

// The period and the rates of the mesh, which are the defaults of package
// revision, and the seed of its random choices.
const (
	meshTick               = time.Second
	meshFanOut             = 2
	meshHeadReadsPerSecond = 20
	meshSeed               = 11
)

var meshToken = []byte("token-of-the-measured-mesh")

// mesh is a number of entry VMs' control planes in this process that call one
// another over HTTP, by the entry's peer protocol. They share one clock and one
// in-memory store.
type mesh struct {
	clock   *steppedClock
	table   *memory.Table
	objects *memory.Objects
	traffic *meter.TrafficCounter
	nodes   []*meshNode
	ids     []vm.ID
}

// meshNode is the control plane of one entry VM.
type meshNode struct {
	index   int
	id      vm.ID
	client  *peer.Client
	node    *revision.Node
	syncer  *revision.Syncer
	limiter *limit.Limiter
	host    *host.Server
}

// newMesh starts a mesh of size nodes. statements is the maximum number of
// statements in a digest; 0 means the default. If it fails, it returns a mesh to
// close.
func newMesh(size, statements int) (*mesh, error) {
	m := &mesh{
		clock: newSteppedClock(), table: memory.NewTable(), objects: memory.NewObjects(), traffic: &meter.TrafficCounter{},
	}
	publisher := revision.NewPublisher(revision.PublisherOptions{Table: m.table, Objects: m.objects})
	if _, err := publisher.Propose(context.Background(), 0, []byte("{}"), "first", "measure"); err != nil {
		return m, err
	}
	for i := range size {
		m.ids = append(m.ids, vm.ID(fmt.Sprintf("vm-%05d", i)))
	}
	transport := newMeshTransport(m.traffic, false, size)
	for i := range size {
		n := m.newNode(i, statements, transport)
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

// newNode returns the control plane of the i-th VM.
func (m *mesh) newNode(i, statements int, transport http.RoundTripper) *meshNode {
	id := m.ids[i]
	n := &meshNode{index: i, id: id}
	n.client = &peer.Client{Scheme: "http", Token: meshToken, Book: peer.NewBook(id), Transport: transport}
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

// setTransport sets the transport of all nodes' calls and closes the idle
// connections of the previous one.
func (m *mesh) setTransport(transport *http.Transport) {
	for _, n := range m.nodes {
		if previous, ok := n.client.Transport.(*http.Transport); ok && previous != nil {
			previous.CloseIdleConnections()
		}
		n.client.Transport = transport
	}
}

// newMeshTransport returns a transport whose traffic is counted. Without
// keepAlive it opens a new connection for each request.
func newMeshTransport(traffic *meter.TrafficCounter, keepAlive bool, hosts int) *http.Transport {
	return &http.Transport{
		DialContext: traffic.Dial, DisableKeepAlives: !keepAlive, MaxIdleConnsPerHost: maxIdleConnectionsPerHost,
		MaxIdleConns: maxIdleConnectionsPerHost * hosts,
	}
}

// runRounds runs the operation once per node and round and advances the clock by
// one tick before each round. It returns the CPU time of one operation in
// microseconds.
func (m *mesh) runRounds(count int, operation func(round int, n *meshNode) error) (float64, error) {
	return cpuPerOperation(count*len(m.nodes), func(i int) error {
		if i%len(m.nodes) == 0 {
			m.clock.advance(meshTick)
		}
		return operation(i/len(m.nodes), m.nodes[i%len(m.nodes)])
	})
}

// exchangeDigests returns an operation for runRounds that exchanges digests as
// often as a node does in one tick, and reads the head row if that is due.
func (m *mesh) exchangeDigests(ctx context.Context) func(int, *meshNode) error {
	period := int(revision.PollPeriod(len(m.nodes), meshHeadReadsPerSecond, meshTick) / meshTick)
	return func(round int, n *meshNode) error {
		if (round+n.index)%period == 0 {
			n.syncer.Poll(ctx)
		}
		for range meshFanOut {
			if !n.syncer.ExchangeOnce(ctx) {
				return errPeer.New("node %q could not exchange digests with a peer", n.id)
			}
		}
		return nil
	}
}
