package settings

import (
	"net"

	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/strictjson"
)

// Gateway is the settings of poplarshored's gateway.
type Gateway struct {
	VM      VM                          `json:"vm" doc:"Where this process runs."`
	Regions map[domain.ID]domain.Region `json:"regions" doc:"Region of each failure domain. Required."`
	Callers Listener                    `json:"callers" doc:"Where callers connect."`
	Health  Listener                    `json:"health" doc:"Where the balancer asks whether this VM is ready."`
	Metrics Listener                    `json:"metrics" doc:"Where metrics are read, under /metrics."`
	Hints   string                      `json:"hints" doc:"Where the other VMs' hints on heavy work arrive, over UDP; port 0 takes a free one."`
	Store   Store                       `json:"store" doc:"The platform's store."`
	Retries Retries                     `json:"retries" doc:"What all VMs together may send beyond the first attempts."`
	// MemoryMB is the memory that the process may use.
	MemoryMB int64       `json:"memory_mb" doc:"Memory that the process may use, in MB; 0 means no limit. Default 0."`
	Stop     GatewayStop `json:"stop" doc:"Planned stops."`
	Log      Log         `json:"log" doc:"Logs to standard output."`
}

// Store names the platform's store.
type Store struct {
	Address string `json:"address" doc:"IP address and port of the store. Required."`
	CallMS  Millis `json:"call_ms" doc:"Longest time for one transaction, in ms. Default 1000."`
}

// Retries bounds the further attempts of all VMs together, for each service.
type Retries struct {
	SpanMS Millis  `json:"span_ms" doc:"Time over which attempts are counted, in ms. Default 10000."`
	Ratio  float64 `json:"ratio" doc:"Further attempts for each request, over any span. Default 0.9."`
	Slack  float64 `json:"slack" doc:"Further attempts beyond that, over any span. Default 50."`
}

// GatewayStop says how a planned stop goes.
type GatewayStop struct {
	TakeMS  Millis `json:"take_ms" doc:"Time after the signal during which new requests are still taken, in ms. Default 2700."`
	GraceMS Millis `json:"grace_ms" doc:"Time after the signal at which what is still running is broken off, in ms. Default 7300."`
}

// DefaultGateway returns the defaults.
func DefaultGateway() *Gateway {
	return &Gateway{
		Callers: Listener{Address: "127.0.0.1:8080"},
		Health:  Listener{Address: "127.0.0.1:8081"},
		Metrics: Listener{Address: "127.0.0.1:8082"},
		Hints:   "127.0.0.1:8083",
		Store:   Store{CallMS: 1000},
		Retries: Retries{SpanMS: 10000, Ratio: 0.9, Slack: 50},
		Stop:    GatewayStop{TakeMS: 2700, GraceMS: 7300},
		Log:     Log{Format: "json", Level: "info"},
	}
}

func (g *Gateway) check(text *strictjson.Text) {
	g.VM.check(text)
	if g.Regions[g.VM.Domain] != g.VM.Region {
		text.Add("regions", "must name the region of the failure domain %q as vm.region does", g.VM.Domain)
	}
	g.Callers.check(text, "callers")
	g.Health.check(text, "health")
	g.Metrics.check(text, "metrics")
	if _, _, err := net.SplitHostPort(g.Hints); err != nil {
		text.Add("hints", "must be host:port: %v", err)
	}
	if _, _, err := net.SplitHostPort(g.Store.Address); err != nil {
		text.Add("store.address", "must be host:port: %v", err)
	}
	positive(text, "store.call_ms", g.Store.CallMS)
	positive(text, "retries.span_ms", g.Retries.SpanMS)
	if g.Retries.Ratio < 0 || g.Retries.Slack < 0 {
		text.Add("retries", "must not be negative")
	}
	if g.MemoryMB < 0 {
		text.Add("memory_mb", "must not be negative")
	}
	positive(text, "stop.take_ms", g.Stop.TakeMS)
	if g.Stop.GraceMS <= g.Stop.TakeMS {
		text.Add("stop.grace_ms", "must be over stop.take_ms")
	}
	g.Log.check(text)
}
