package lease_test

import (
	"context"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	"pgregory.net/rapid"

	"github.com/poplarshore/poplarshore/coord/lease"
	"github.com/poplarshore/poplarshore/coord/store/memory"
)

// operation is the input of an operation of a history. The output is the fencing
// token, or 0 for an operation without effect.
type operation string

const (
	opAcquire operation = "grant"
	opAct     operation = "act"
	opRelease operation = "give back"
)

// model is a job with one valid fencing token at a time. The state is that token.
var model = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		current, fence := state.(uint64), output.(uint64)
		switch {
		case fence == 0:
			return true, current
		case input.(operation) == opAcquire:
			return fence > current, fence
		default:
			return fence == current, current
		}
	},
}

// machine performs random operations on nodes whose clocks run at different speeds.
// Some operations start while another one is in progress.
type machine struct {
	t           *rapid.T
	table       *memory.Table
	nodes       []*node
	operating   *node // the node during whose operation another node operates
	logicalTime int64
	history     []porcupine.Operation
}

// node is one contender for the job.
type node struct {
	index   int
	speed   float64 // seconds on its clock per second
	clock   *clockwork.FakeClock
	manager *lease.Manager
	lease   *lease.Lease
}

func newMachine(t *rapid.T) *machine {
	m := &machine{t: t, table: memory.NewTable()}
	for i, speed := range []float64{0.9, 1, 1.1} {
		n := &node{index: i, speed: speed, clock: clockwork.NewFakeClock()}
		m.nodes = append(m.nodes, n)
		m.restart(n)
	}
	return m
}

// restart replaces the manager of the node by one without state.
func (m *machine) restart(n *node) {
	table := m.table.Client(func(context.Context, memory.Op, string) memory.Fault {
		m.interleave(n)
		return rapid.SampledFrom([]memory.Fault{
			memory.None, memory.None, memory.None, memory.None, memory.None,
			memory.Down, memory.ReplyLost, memory.RequestLost, memory.Late, memory.Twice,
		}).Draw(m.t, "fault")
	})
	n.lease = nil
	n.manager, _ = lease.New(table, "same name", lease.Options{Clock: n.clock, StoreTimeout: time.Hour})
}

// interleave may run one step, of another node or of time, during an operation of n.
func (m *machine) interleave(n *node) {
	if m.operating != nil || rapid.IntRange(0, 3).Draw(m.t, "interleave") > 0 {
		return
	}
	m.operating = n
	m.step()
	m.operating = nil
}

func (m *machine) step() {
	n := rapid.SampledFrom(m.nodes).Draw(m.t, "node")
	if n == m.operating {
		return
	}
	switch rapid.IntRange(0, 7).Draw(m.t, "step") {
	case 0, 1:
		m.record(n, opAcquire, m.acquire)
	case 2:
		m.record(n, opRelease, m.release)
	case 3:
		if n.lease != nil {
			_ = n.lease.Renew(context.Background())
		}
	case 4:
		m.restart(n)
	case 5:
		m.table.Deliver()
	default:
		m.advance(time.Duration(rapid.IntRange(1, 9).Draw(m.t, "seconds")) * time.Second)
	}
	for _, n := range m.nodes {
		m.record(n, opAct, m.act)
	}
}

func (m *machine) advance(d time.Duration) {
	for _, n := range m.nodes {
		n.clock.Advance(time.Duration(float64(d) * n.speed))
	}
}

func (m *machine) acquire(n *node) uint64 {
	l, err := n.manager.Acquire(context.Background(), job)
	if err != nil || l.Check() != nil {
		return 0
	}
	if n.lease != nil && n.lease.Check() == nil {
		m.t.Fatalf("node %d got a second lease while its first is valid", n.index)
	}
	n.lease = l
	return l.Fence()
}

func (m *machine) release(n *node) uint64 {
	if n.lease == nil {
		return 0
	}
	_ = n.lease.Release(context.Background())
	n.lease = nil
	return 0
}

// act fails the test if the lease of the node passes Check although the stored row no
// longer has its fencing token.
func (m *machine) act(n *node) uint64 {
	if n.lease == nil || n.lease.Check() != nil {
		return 0
	}
	if !rowHasToken(m.table, n.lease.Fence()) {
		m.t.Fatalf("lease of node %d with token %d passes Check after its end", n.index, n.lease.Fence())
	}
	return n.lease.Fence()
}

func (m *machine) record(n *node, op operation, run func(*node) uint64) {
	m.logicalTime++
	calledAt := m.logicalTime
	fence := run(n)
	m.logicalTime++
	m.history = append(m.history, porcupine.Operation{
		ClientId: n.index, Input: op, Output: fence, Call: calledAt, Return: m.logicalTime,
	})
}

var _ = Describe("Random histories", func() {
	It("are linearizable with one valid fencing token at a time", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			m := newMachine(t)
			for range 60 {
				m.step()
			}
			if !porcupine.CheckOperations(model, m.history) {
				t.Fatalf("not linearizable: %v", m.history)
			}
		})
	})
})
