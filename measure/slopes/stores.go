package slopes

import (
	"context"
	"fmt"
	"net"

	"github.com/poplarshore/poplarshore/measure/meter"
	"github.com/poplarshore/poplarshore/platform/httpstore"
	"github.com/poplarshore/poplarshore/standin/platform"
)

const storeOperations = 200

// storeCalls measures one read and one write of the table over HTTP, by the
// size of the row.
func storeCalls() Probe {
	return Probe{Name: "store", Of: "bytes", Sizes: []int{100, 1000, 10000, 100000}, Measure: measureStoreCalls}
}

func measureStoreCalls(ctx context.Context, size int, record Recorder) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	server := platform.Start(l, platform.Options{})
	defer func() { _ = server.Close() }()
	wire := &meter.Wire{}
	client := countedClient(wire, 1)
	defer client.CloseIdleConnections()
	table := httpstore.NewTable(httpstore.Options{BaseURL: server.URL(), Transport: client.Transport})
	value := make([]byte, size)
	before := wire.Read()
	write, err := perOperation(storeOperations, func(i int) error {
		_, err := table.Insert(ctx, fmt.Sprintf("row/%06d", i), value)
		return err
	})
	if err != nil {
		return err
	}
	between := wire.Read()
	read, err := perOperation(storeOperations, func(i int) error {
		_, err := table.Get(ctx, fmt.Sprintf("row/%06d", i))
		return err
	})
	record("write_cpu", Microseconds, write)
	record("write_bytes", Bytes, float64(between.Bytes()-before.Bytes())/storeOperations)
	record("read_cpu", Microseconds, read)
	record("read_bytes", Bytes, float64(wire.Read().Bytes()-between.Bytes())/storeOperations)
	return err
}
