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
	limitAccounts = 10
	limitRounds   = 2
	// limitRate makes one request a round worth a report.
	limitRate = 1000
)

// limitReports measures one report of client accounts' demand from one node to
// another, and the state that a node keeps of the others.
func limitReports() Probe {
	return Probe{Name: "limit", Of: "nodes", Sizes: []int{10, 30, 60, 100}, Measure: measureLimits}
}

func measureLimits(ctx context.Context, size int, record Recorder) error {
	m, err := newMesh(size, 0)
	defer m.close()
	if err != nil {
		return err
	}
	m.setTransport(meshTransport(m.wire, true, size))
	before := meter.Heap()
	if _, err := m.report(ctx, 1); err != nil {
		return err
	}
	traffic := m.wire.Read()
	cost, err := m.report(ctx, limitRounds)
	if err != nil {
		return err
	}
	reports := float64(limitRounds * size * (size - 1))
	record("report_cpu", Microseconds, cost/float64(size-1))
	record("report_bytes", Bytes, float64(m.wire.Read().Bytes()-traffic.Bytes())/reports)
	m.setTransport(meshTransport(m.wire, false, size))
	record("heap", Bytes, max(float64(meter.Heap())-float64(before), 0)/float64(size))
	return nil
}

// report lets every node that has callers tell every other one of its demand.
func (m *mesh) report(ctx context.Context, rounds int) (float64, error) {
	return m.rounds(rounds, func(_ int, n *meshNode) error {
		now := m.clock.Now()
		for i := range limitAccounts {
			id := account.ID(fmt.Sprintf("account-%d", i))
			ticket, err := n.limiter.Admit(id, contract.Limits{RequestsPerSecond: limitRate}, limit.Estimate{Tokens: 1}, now)
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
