package slopes

import (
	"context"
	"fmt"

	"github.com/poplarshore/poplarshore/account"
	"github.com/poplarshore/poplarshore/contract"
	"github.com/poplarshore/poplarshore/limit"
	"github.com/poplarshore/poplarshore/measure/meter"
	"github.com/poplarshore/poplarshore/vm"
)

const (
	limitAccountCount = 10
	limitRounds       = 2
	// limitRequestsPerSecond is the rate limit of each client account, low enough
	// that one request per round is reported as demand.
	limitRequestsPerSecond = 1000
)

// limitReports measures one report of client accounts' demand from one node to
// another, and the heap that a node uses for the state of the others.
func limitReports() Probe {
	return Probe{Name: "limit", SizeName: "nodes", Sizes: []int{10, 30, 60, 100}, Measure: measureLimits}
}

func measureLimits(ctx context.Context, size int, record Recorder) error {
	m, err := newMesh(size, 0)
	defer m.close()
	if err != nil {
		return err
	}
	m.setTransport(newMeshTransport(m.traffic, true, size))
	before := meter.Heap()
	if _, err := m.reportDemand(ctx, 1); err != nil {
		return err
	}
	trafficBefore := m.traffic.Read()
	cost, err := m.reportDemand(ctx, limitRounds)
	if err != nil {
		return err
	}
	reports := float64(limitRounds * size * (size - 1))
	record("report_cpu", Microseconds, cost/float64(size-1))
	record("report_bytes", Bytes, float64(m.traffic.Read().Bytes()-trafficBefore.Bytes())/reports)
	m.setTransport(newMeshTransport(m.traffic, false, size))
	record("heap", Bytes, max(float64(meter.Heap())-float64(before), 0)/float64(size))
	return nil
}

// reportDemand makes every node admit a request of each client account and send
// a limit report to every other node, once per round. It returns the CPU time per
// node and round, in microseconds.
func (m *mesh) reportDemand(ctx context.Context, rounds int) (float64, error) {
	return m.runRounds(rounds, func(_ int, n *meshNode) error {
		now := m.clock.Now()
		for i := range limitAccountCount {
			id := account.ID(fmt.Sprintf("account-%d", i))
			ticket, err := n.limiter.Admit(id, contract.Limits{RequestsPerSecond: limitRequestsPerSecond}, limit.Estimate{Tokens: 1}, now)
			if err != nil {
				return err
			}
			ticket.Settle(1, now)
		}
		report := n.limiter.Report(now)
		for _, other := range n.client.Book.Others() {
			if err := n.client.SendLimitReport(ctx, vm.ID(other), report); err != nil {
				return err
			}
		}
		return nil
	})
}
