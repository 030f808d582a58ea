package slopes

import (
	"context"

	"github.com/poplarshore/poplarshore/measure/meter"
)

const (
	warmRounds     = 20
	exchangeRounds = 5
	// smallStatements is a quarter of the default.
	smallStatements = 16
)

// revisionDigests measures one exchange of digests between two of the nodes,
// over a new connection and over a kept one, and one node's state. All sizes
// fill a digest, so that the line holds for larger ones.
func revisionDigests() Probe {
	return Probe{
		Name: "revision", Of: "nodes", Sizes: []int{80, 120, 160, 200},
		Measure: func(ctx context.Context, size int, record Recorder) error {
			return measureRevisions(ctx, size, 0, record)
		},
	}
}

// smallDigests measures the same with digests of fewer statements.
func smallDigests() Probe {
	return Probe{
		Name: "smalldigest", Of: "nodes", Sizes: []int{40, 80, 120, 200},
		Measure: func(ctx context.Context, size int, record Recorder) error {
			return measureRevisions(ctx, size, smallStatements, record)
		},
	}
}

func measureRevisions(ctx context.Context, size, statements int, record Recorder) error {
	m, err := newMesh(size, statements)
	defer m.close()
	if err != nil {
		return err
	}
	m.setTransport(meshTransport(m.wire, true, size))
	before := meter.Heap()
	if _, err := m.rounds(warmRounds, m.exchange(ctx)); err != nil {
		return err
	}
	for _, kept := range []bool{false, true} {
		if err := m.measureExchange(ctx, kept, record); err != nil {
			return err
		}
	}
	m.setTransport(meshTransport(m.wire, false, size))
	record("heap", Bytes, max(float64(meter.Heap())-float64(before), 0)/float64(size))
	return nil
}

// measureExchange records the cost of one exchange.
func (m *mesh) measureExchange(ctx context.Context, kept bool, record Recorder) error {
	name := "exchange_new"
	if kept {
		name = "exchange_kept"
	}
	m.setTransport(meshTransport(m.wire, kept, len(m.nodes)))
	if _, err := m.rounds(1, m.exchange(ctx)); err != nil {
		return err
	}
	before := m.wire.Read()
	cost, err := m.rounds(exchangeRounds, m.exchange(ctx))
	if err != nil {
		return err
	}
	exchanges := float64(exchangeRounds * len(m.nodes) * meshFanOut)
	record(name+"_cpu", Microseconds, cost/meshFanOut)
	record(name+"_bytes", Bytes, float64(m.wire.Read().Bytes()-before.Bytes())/exchanges)
	return nil
}
