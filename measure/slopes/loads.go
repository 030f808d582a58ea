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

// pullRounds is the number of reads per engine over which the cost is averaged.
// maxIdleConnectionsPerHost and pullTimeout apply to the measuring HTTP client.
const (
	pullRounds                = 5
	maxIdleConnectionsPerHost = 2
	pullTimeout               = 5 * time.Second
)

// loadPulls measures the reading of load reports: one report of each engine per
// round, over persistent connections.
func loadPulls() Probe {
	return Probe{Name: "load", SizeName: "engines", Sizes: []int{10, 50, 100, 200}, Measure: measureLoadPulls}
}

func measureLoadPulls(ctx context.Context, size int, record Recorder) error {
	engines, err := startEngines(size)
	defer closeAll(engines)
	if err != nil {
		return err
	}
	traffic := &meter.TrafficCounter{}
	client := newCountingClient(traffic, size)
	defer client.CloseIdleConnections()
	pull := func(i int) error { return fetch(ctx, client, engines[i%size].URL()+"/load") }
	if _, err := cpuPerOperation(size, pull); err != nil {
		return err
	}
	before := traffic.Read()
	cost, err := cpuPerOperation(size*pullRounds, pull)
	if err != nil {
		return err
	}
	after := traffic.Read()
	record("pull_cpu", Microseconds, cost)
	record("pull_bytes", Bytes, float64(after.Bytes()-before.Bytes())/float64(size*pullRounds))
	return nil
}

// startEngines starts stand-in engines. If it fails, it returns those that it
// has started.
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

// newCountingClient returns a client that reuses connections and whose traffic is
// counted.
func newCountingClient(traffic *meter.TrafficCounter, hosts int) *http.Client {
	return &http.Client{
		Timeout: pullTimeout,
		Transport: &http.Transport{
			DialContext: traffic.Dial, MaxIdleConnsPerHost: maxIdleConnectionsPerHost, MaxIdleConns: maxIdleConnectionsPerHost * hosts,
		},
	}
}

// fetch sends a GET request and discards the response.
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
