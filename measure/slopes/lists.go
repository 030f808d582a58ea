package slopes

import (
	"context"
	"fmt"
	"net"

	"github.com/poplarshore/poplarshore/measure/meter"
	ports "github.com/poplarshore/poplarshore/platform"
	"github.com/poplarshore/poplarshore/platform/httplist"
	"github.com/poplarshore/poplarshore/standin/platform"
)

// listReads is the number of reads over which the cost is averaged.
const listReads = 20

// vmLists measures one read of the platform's list of VMs over HTTP.
func vmLists() Probe {
	return Probe{Name: "vmlist", SizeName: "nodes", Sizes: []int{10, 50, 100, 200, 400}, Measure: measureList}
}

func measureList(ctx context.Context, size int, record Recorder) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	server := platform.Start(l, platform.Options{})
	defer func() { _ = server.Close() }()
	for i := range size {
		server.SetMember(ports.Member{
			ID: fmt.Sprintf("vm-%05d", i), Address: "10.100.100.100:8082", Region: "region-1", Domain: "domain-01",
			State: ports.MemberLive,
		})
	}
	traffic := &meter.TrafficCounter{}
	client := newCountingClient(traffic, 1)
	defer client.CloseIdleConnections()
	list := httplist.New(httplist.Options{BaseURL: server.URL(), Transport: client.Transport})
	cost, err := cpuPerOperation(listReads, func(int) error {
		_, err := list.List(ctx)
		return err
	})
	record("read_cpu", Microseconds, cost)
	record("read_bytes", Bytes, float64(traffic.Read().Bytes())/listReads)
	return err
}
