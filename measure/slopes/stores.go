package slopes

import (
	"context"
	"fmt"
	"net"

	"github.com/poplarshore/poplarshore/measure/meter"
	"github.com/poplarshore/poplarshore/platform/httpstore"
	"github.com/poplarshore/poplarshore/standin/platform"
)

// storeOperations is the number of reads, and of writes, over which the cost is
// averaged.
const storeOperations = 200

// storeCalls measures one read and one write of a row of the store over HTTP, for
// several sizes of the row.
func storeCalls() Probe {
	return Probe{Name: "store", SizeName: "bytes", Sizes: []int{100, 1000, 10000, 100000}, Measure: measureStoreCalls}
}

func measureStoreCalls(ctx context.Context, size int, record Recorder) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	server := platform.Start(l, platform.Options{})
	defer func() { _ = server.Close() }()
	traffic := &meter.TrafficCounter{}
	client := newCountingClient(traffic, 1)
	defer client.CloseIdleConnections()
	table := httpstore.NewTable(httpstore.Options{BaseURL: server.URL(), Transport: client.Transport})
	value := make([]byte, size)
	before := traffic.Read()
	writeCost, err := cpuPerOperation(storeOperations, func(i int) error {
		_, err := table.Insert(ctx, fmt.Sprintf("row/%06d", i), value)
		return err
	})
	if err != nil {
		return err
	}
	afterWrites := traffic.Read()
	readCost, err := cpuPerOperation(storeOperations, func(i int) error {
		_, err := table.Get(ctx, fmt.Sprintf("row/%06d", i))
		return err
	})
	record("write_cpu", Microseconds, writeCost)
	record("write_bytes", Bytes, float64(afterWrites.Bytes()-before.Bytes())/storeOperations)
	record("read_cpu", Microseconds, readCost)
	record("read_bytes", Bytes, float64(traffic.Read().Bytes()-afterWrites.Bytes())/storeOperations)
	return err
}
