package slopes

import (
	"context"

	"github.com/poplarshore/poplarshore/measure/meter"
)

const (
	warmUpRounds   = 20
	exchangeRounds = 5
	// smallDigestStatements is a quarter of the default number of statements in a
	// digest.
	smallDigestStatements = 16
)

// revisionDigests measures one exchange of digests between two of the nodes, over
// a new connection and over a persistent one, and the heap of one node. With all
// sizes the digests are full, so that the fitted line is valid for larger sizes.
func revisionDigests() Probe {
	return Probe{
		Name: "revision", SizeName: "nodes", Sizes: []int{80, 120, 160, 200},
		Measure: func(ctx context.Context, size int, record Recorder) error {
			return measureRevisions(ctx, size, 0, record)
		},
	}
}

// smallDigests measures the same as revisionDigests, with digests of
// smallDigestStatements statements.
func smallDigests() Probe {
	return Probe{
		Name: "smalldigest", SizeName: "nodes", Sizes: []int{40, 80, 120, 200},
		Measure: func(ctx context.Context, size int, record Recorder) error {
			return measureRevisions(ctx, size, smallDigestStatements, record)
		},
	}
}

func measureRevisions(ctx context.Context, size, statements int, record Recorder) error {
	m, err := newMesh(size, statements)
	defer m.close()
	if err != nil {
		return err
	}
	m.setTransport(newMeshTransport(m.traffic, true, size))
	before := meter.Heap()
	if _, err := m.runRounds(warmUpRounds, m.exchangeDigests(ctx)); err != nil {
		return err
	}
	for _, keepAlive := range []bool{false, true} {
		if err := m.measureExchange(ctx, keepAlive, record); err != nil {
			return err
		}
	}
	m.setTransport(newMeshTransport(m.traffic, false, size))
	record("heap", Bytes, max(float64(meter.Heap())-float64(before), 0)/float64(size))
	return nil
}

// measureExchange records the CPU time and the bytes of one exchange, over a
// persistent connection if keepAlive is set and over a new one otherwise.
func (m *mesh) measureExchange(ctx context.Context, keepAlive bool, record Recorder) error {
	name := "exchange_new"
	if keepAlive {
		name = "exchange_kept"
	}
	m.setTransport(newMeshTransport(m.traffic, keepAlive, len(m.nodes)))
	if _, err := m.runRounds(1, m.exchangeDigests(ctx)); err != nil {
		return err
	}
	before := m.traffic.Read()
	cost, err := m.runRounds(exchangeRounds, m.exchangeDigests(ctx))
	if err != nil {
		return err
	}
	exchanges := float64(exchangeRounds * len(m.nodes) * meshFanOut)
	record(name+"_cpu", Microseconds, cost/meshFanOut)
	record(name+"_bytes", Bytes, float64(m.traffic.Read().Bytes()-before.Bytes())/exchanges)
	return nil
}
