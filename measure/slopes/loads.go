package slopes

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/poplarshore/poplarshore/measure/meter"
	"github.com/poplarshore/poplarshore/standin/engine"
)

const (
	pullRounds      = 5
	idleConnections = 2
	pullTimeout     = 5 * time.Second
)

// loadPulls measures the reading of load reports: one report of each engine a
// round, over connections that are kept.
func loadPulls() Probe {
	return Probe{Name: "load", Of: "engines", Sizes: []int{10, 50, 100, 200}, Measure: measureLoadPulls}
}

func measureLoadPulls(ctx context.Context, size int, record Recorder) error {
	engines, err := startEngines(size)
	defer closeAll(engines)
	if err != nil {
		return err
	}
	wire := &meter.Wire{}
	client := countedClient(wire, size)
	defer client.CloseIdleConnections()
	pull := func(i int) error { return fetch(ctx, client, engines[i%size].URL()+"/load") }
	if _, err := perOperation(size, pull); err != nil {
		return err
	}
	before := wire.Read()
	cost, err := perOperation(size*pullRounds, pull)
	if err != nil {
		return err
	}
	after := wire.Read()
	record("pull_cpu", Microseconds, cost)
	record("pull_bytes", Bytes, float64(after.Bytes()-before.Bytes())/float64(size*pullRounds))
	return nil
}

func startEngines(count int) ([]*engine.Server, error) {
	engines := make([]*engine.Server, 0, count)
	for range count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return engines, err
		}
		engines = append(engines, engine.Start(l, engine.Options{
			Versions: []engine.VersionRef{{Model: "model", Version: "v1"}, {Model: "model", Version: "v2"}},
		}))
	}
	return engines, nil
}

func closeAll(engines []*engine.Server) {
	for _, e := range engines {
		_ = e.Close()
	}
}

// countedClient returns a client whose connections are counted and kept.
func countedClient(wire *meter.Wire, hosts int) *http.Client {
	return &http.Client{
		Timeout: pullTimeout,
		Transport: &http.Transport{
			DialContext: wire.Dial, MaxIdleConnsPerHost: idleConnections, MaxIdleConns: idleConnections * hosts,
		},
	}
}

func fetch(ctx context.Context, client *http.Client, url string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return err
}
