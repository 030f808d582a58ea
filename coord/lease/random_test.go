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

// grant, act and giveBack are the inputs of a history; the output is the
// fencing token, 0 for an operation without effect.
type call string

const (
	grant    call = "grant"
	act      call = "act"
	giveBack call = "give back"
)

// model is a job of which one fencing token at a time is valid.
var model = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		current, fence := state.(uint64), output.(uint64)
		switch {
		case fence == 0:
			return true, current
		case input.(call) == grant:
			return fence > current, fence
		default:
			return fence == current, current
		}
	},
}

// machine drives nodes whose clocks run at different speeds through random
// operations, some of which begin while another one is under way.
type machine struct {
	t       *rapid.T
	table   *memory.Table
	nodes   []*randomNode
	busy    *randomNode // the node within whose operation another one runs
	now     int64
	history []porcupine.Operation
}

type randomNode struct {
	index   int
	speed   float64 // seconds of its clock per second
	clock   *clockwork.FakeClock
	manager *lease.Manager
	lease   *lease.Lease
}

func newMachine(t *rapid.T) *machine {
	m := &machine{t: t, table: memory.NewTable()}
	for i, speed := range []float64{0.9, 1, 1.1} {
		n := &randomNode{index: i, speed: speed, clock: clockwork.NewFakeClock()}
		m.nodes = append(m.nodes, n)
		m.restart(n)
	}
	return m
}

// restart gives the node a manager that remembers nothing.
func (m *machine) restart(n *randomNode) {
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

// interleave may let time pass and another node operate within an operation of n.
func (m *machine) interleave(n *randomNode) {
	if m.busy != nil || rapid.IntRange(0, 3).Draw(m.t, "interleave") > 0 {
		return
	}
	m.busy = n
	m.step()
	m.busy = nil
}

func (m *machine) step() {
	n := rapid.SampledFrom(m.nodes).Draw(m.t, "node")
	if n == m.busy {
		return
	}
	switch rapid.IntRange(0, 7).Draw(m.t, "step") {
	case 0, 1:
		m.record(n, grant, m.acquire)
	case 2:
		m.record(n, giveBack, m.release)
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
		m.record(n, act, m.act)
	}
}

func (m *machine) advance(d time.Duration) {
	for _, n := range m.nodes {
		n.clock.Advance(time.Duration(float64(d) * n.speed))
	}
}

func (m *machine) acquire(n *randomNode) uint64 {
	l, err := n.manager.Acquire(context.Background(), job)
	if err != nil || l.Check() != nil {
		return 0
	}
	if n.lease != nil && n.lease.Check() == nil {
		m.t.Fatalf("node %d holds the job twice", n.index)
	}
	n.lease = l
	return l.Fence()
}

func (m *machine) release(n *randomNode) uint64 {
	if n.lease == nil {
		return 0
	}
	_ = n.lease.Release(context.Background())
	n.lease = nil
	return 0
}

// act fails if the node regards a lease as held that the table says is over.
func (m *machine) act(n *randomNode) uint64 {
	if n.lease == nil || n.lease.Check() != nil {
		return 0
	}
	if !holds(m.table, n.lease.Fence()) {
		m.t.Fatalf("node %d acts with token %d after its term", n.index, n.lease.Fence())
	}
	return n.lease.Fence()
}

func (m *machine) record(n *randomNode, input call, do func(*randomNode) uint64) {
	m.now++
	begun := m.now
	fence := do(n)
	m.now++
	m.history = append(m.history, porcupine.Operation{
		ClientId: n.index, Input: input, Output: fence, Call: begun, Return: m.now,
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
