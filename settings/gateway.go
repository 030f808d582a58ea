package settings

import (
	"net"
	"time"

	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/rollout/shift"
	"github.com/poplarshore/poplarshore/strictjson"
)

// Gateway contains the settings of poplarshored's gateway.
type Gateway struct {
	VM      VM                          `json:"vm" doc:"Where this process runs."`
	Regions map[domain.ID]domain.Region `json:"regions" doc:"Region of each failure domain. Required."`
	Callers Listener                    `json:"callers" doc:"Where callers connect."`
	Health  Listener                    `json:"health" doc:"Where the balancer asks whether this VM is ready."`
	Metrics Listener                    `json:"metrics" doc:"Where metrics are read, under /metrics."`
	Peers   Listener                    `json:"peers" doc:"Where other VMs ask what this one read from the store."`
	Relay   Listener                    `json:"relay" doc:"Where other VMs send their callers' requests while they can't reach upstreams. Only VMs are served there. Default 127.0.0.1:0, a free port."`
	Seeds   []string                    `json:"seeds" doc:"Addresses of some VMs' peers listeners, to ask after the start; may be stale. Default none."`
	Hints   string                      `json:"hints" doc:"Where the other VMs' hints on heavy work arrive, over UDP; port 0 takes a free one."`
	Store   Store                       `json:"store" doc:"The platform's store."`
	Changes Changes                     `json:"changes" doc:"Bounds for changes of the store to reach every VM."`
	Retries Retries                     `json:"retries" doc:"What all VMs together may send beyond the first attempts."`
	// Exposure is the maximum share of a service's requests, over 0 and at most 1,
	// that a new version may get by its deadline if it is bad.
	Exposure float64 `json:"exposure" doc:"Part of a service's requests, 0 to 1, that a new version may get by its deadline if it is bad. Default 0.15."`
	// ExposureSlack is a number of requests beyond Exposure.
	ExposureSlack float64 `json:"exposure_slack" doc:"Requests beyond that part which such a version may get. Default 0."`
	// MemoryMB is the memory limit of the process in MB; 0 means no limit.
	MemoryMB    int64       `json:"memory_mb" doc:"Memory that the process may use, in MB; 0 means no limit. Default 0."`
	Stop        GatewayStop `json:"stop" doc:"Planned stops."`
	Cold        ColdLimit   `json:"cold" doc:"What all VMs together may send upstreams that have just started, beyond the rate that the configuration gives."`
	LoadControl LoadControl `json:"load_control" doc:"Decisions under load that are off by default."`
	// DigestSecret is the key of the digests by which requests appear in logs and in messages
	// between VMs.
	DigestSecret string `json:"digest_secret" doc:"Key of the digests that stand for requests in logs and between VMs; the same on all VMs. Default poplarshore."`
	Log          Log    `json:"log" doc:"Logs to standard output."`
}

// Store configures the platform's store.
type Store struct {
	Address string `json:"address" doc:"IP address and port of the store. Required."`
	CallMS  Millis `json:"call_ms" doc:"Longest time for one transaction, in ms. Default 1000."`
}

// Changes bounds the time from the store's acceptance of a change until it has effect on
// every VM. The VMs read the store less often the longer the bounds are.
type Changes struct {
	ConfigMS Millis `json:"config_ms" doc:"Bound for configurations, in ms; under 2000 counts as 2000. Default 3000."`
	DrainMS  Millis `json:"drain_ms" doc:"Bound for upstreams that are leaving, in ms; under 2000 counts as 2000. Default 3000."`
}

// Bound returns the shorter one of the bounds, but at least minChangeBound.
func (c Changes) Bound() time.Duration {
	return max(min(c.ConfigMS, c.DrainMS), minChangeBound).Duration()
}

// minChangeBound is the shortest bound, in ms, that polls of the store and of other VMs
// can meet.
const minChangeBound Millis = 2000

// Retries limits the additional attempts of all VMs together, for each service: in any
// time span of SpanS, at most Ratio for each request, plus Slack.
type Retries struct {
	SpanS Seconds `json:"span_s" doc:"Time over which attempts are counted, in seconds. Default 10."`
	Ratio float64 `json:"ratio" doc:"Further attempts for each request, over any span. Default 0.9."`
	Slack float64 `json:"slack" doc:"Further attempts beyond that, over any span. Default 50."`
}

// GatewayStop configures the planned stop of a gateway. GraceS must be over TakeS.
type GatewayStop struct {
	TakeS  Seconds `json:"take_s" doc:"Time after the signal during which new requests are still taken, in seconds. Default 2.7."`
	GraceS Seconds `json:"grace_s" doc:"Time after the signal at which the process is killed, in seconds. Default 8."`
}

// ColdLimit bounds the requests that all VMs together send to a cold upstream in any second:
// Overrun times the service's rate for cold upstreams, plus Slack.
type ColdLimit struct {
	Overrun float64 `json:"overrun" doc:"Multiple of the rate for cold upstreams, at least 1. Default 1.5."`
	Slack   float64 `json:"slack" doc:"Requests beyond that. Default 0."`
}

// LoadControl switches decisions under load on.
type LoadControl struct {
	Admission bool `json:"admission" doc:"Bound the requests in flight for a service while its upstreams are overloaded, and queue the others by rank. Default false."`
	AnswerEnd bool `json:"answer_end" doc:"Choose upstreams and models also by when the answer is expected to end. Default false."`
	SlowStart bool `json:"slow_start" doc:"Find the pace of upstreams that have started or recovered from how they answer. Default false."`
}

// DefaultGateway returns the default settings of the gateway.
func DefaultGateway() *Gateway {
	return &Gateway{
		Callers:  Listener{Address: "127.0.0.1:8080"},
		Health:   Listener{Address: "127.0.0.1:8081"},
		Metrics:  Listener{Address: "127.0.0.1:8082"},
		Peers:    Listener{Address: "127.0.0.1:8084"},
		Relay:    Listener{Address: "127.0.0.1:0"},
		Seeds:    []string{},
		Hints:    "127.0.0.1:8083",
		Store:    Store{CallMS: 1000},
		Changes:  Changes{ConfigMS: 3000, DrainMS: 3000},
		Retries:  Retries{SpanS: 10, Ratio: 0.9, Slack: 50},
		Exposure: shift.DefaultExposure.Share, DigestSecret: "poplarshore",
		Stop: GatewayStop{TakeS: 2.7, GraceS: 8},
		Cold: ColdLimit{Overrun: 1.5},
		Log:  Log{Format: "json", Level: "info"},
	}
}

func (g *Gateway) check(text *strictjson.Text) {
	g.VM.check(text)
	if g.Regions[g.VM.Domain] != g.VM.Region {
		text.AddFault("regions", "must name the region of the failure domain %q as vm.region does", g.VM.Domain)
	}
	g.Callers.check(text, "callers")
	g.Health.check(text, "health")
	g.Metrics.check(text, "metrics")
	g.Peers.check(text, "peers")
	g.Relay.check(text, "relay")
	for _, seed := range g.Seeds {
		if _, _, err := net.SplitHostPort(seed); err != nil {
			text.AddFault("seeds", "must be host:port: %v", err)
		}
	}
	if _, _, err := net.SplitHostPort(g.Hints); err != nil {
		text.AddFault("hints", "must be host:port: %v", err)
	}
	if _, _, err := net.SplitHostPort(g.Store.Address); err != nil {
		text.AddFault("store.address", "must be host:port: %v", err)
	}
	checkPositive(text, "store.call_ms", g.Store.CallMS)
	checkPositive(text, "changes.config_ms", g.Changes.ConfigMS)
	checkPositive(text, "changes.drain_ms", g.Changes.DrainMS)
	checkPositive(text, "retries.span_s", g.Retries.SpanS)
	if g.Exposure <= 0 || g.Exposure > 1 {
		text.AddFault("exposure", "must be over 0 and at most 1")
	}
	if g.ExposureSlack < 0 {
		text.AddFault("exposure_slack", "must not be negative")
	}
	if g.Retries.Ratio < 0 || g.Retries.Slack < 0 {
		text.AddFault("retries", "must not be negative")
	}
	if g.MemoryMB < 0 {
		text.AddFault("memory_mb", "must not be negative")
	}
	checkPositive(text, "stop.take_s", g.Stop.TakeS)
	if g.Stop.GraceS <= g.Stop.TakeS {
		text.AddFault("stop.grace_s", "must be over stop.take_s")
	}
	if g.Cold.Overrun < 1 {
		text.AddFault("cold.overrun", "must be at least 1")
	}
	if g.Cold.Slack < 0 {
		text.AddFault("cold.slack", "must not be negative")
	}
	g.Log.check(text)
}
