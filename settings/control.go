package settings

import "github.com/poplarshore/poplarshore/strictjson"

// Control contains the settings of poplarshore-control.
type Control struct {
	VM             VM        `json:"vm" doc:"Where this process runs."`
	Operators      Listener  `json:"operators" doc:"Where metrics and health checks connect."`
	Platform       Platform  `json:"platform" doc:"The platform's services."`
	Upstreams      Addresses `json:"upstreams" doc:"Base URL of each upstream, by its id in the document."`
	UpstreamCAFile string    `json:"upstream_ca_file" doc:"PEM file with the authorities that sign upstreams' certificates; empty means the system's."`
	Jobs           Jobs      `json:"jobs" doc:"The jobs that one control process at a time holds."`
	Log            Log       `json:"log" doc:"Logs to standard error."`
}

// Jobs configures the leases and periods of the jobs, each of which runs on one control
// process at a time.
type Jobs struct {
	LeaseTTLMS      Millis `json:"lease_ttl_ms" doc:"Life of a job's lease, in ms. Default 10000."`
	SettlePeriodMS  Millis `json:"settle_period_ms" doc:"Time between rounds of ledger settlement, in ms. Default 5000."`
	RolloutPeriodMS Millis `json:"rollout_period_ms" doc:"Time between decisions on roll-outs, in ms. Default 2000."`
	OrderPeriodMS   Millis `json:"order_period_ms" doc:"Time between rounds of orders to engines, in ms. Default 5000."`
	LongestOrderMS  Millis `json:"longest_order_ms" doc:"Longest time an order to an engine can take, in ms; a new holder waits it out for engines that ignore fencing numbers. Default 60000."`
	LoadsPerMinute  int    `json:"loads_per_minute" doc:"Rate at which the weight store lets engines load versions. Default 6."`
	StoreMS         Millis `json:"store_ms" doc:"Wait for one operation of the platform's store, in ms. Default 2000."`
}

// minLongestOrderMS is the minimum of Jobs.LongestOrderMS: the time that sending one order
// may take, in ms.
const minLongestOrderMS = 2000

// DefaultControl returns the default settings of poplarshore-control.
func DefaultControl() *Control {
	return &Control{
		Operators: Listener{Address: "127.0.0.1:8083"},
		Platform:  Platform{Prefix: "poplarshore/"},
		Jobs: Jobs{
			LeaseTTLMS: 10000, SettlePeriodMS: 5000, RolloutPeriodMS: 2000, OrderPeriodMS: 5000,
			LongestOrderMS: 60000, LoadsPerMinute: 6, StoreMS: 2000,
		},
		Log: Log{Format: "text", Level: "info"},
	}
}

func (c *Control) check(text *strictjson.Text) {
	c.VM.check(text)
	c.Operators.check(text, "operators")
	c.Platform.check(text)
	c.Upstreams.check(text)
	c.Log.check(text)
	checkPositive(text, "jobs.lease_ttl_ms", c.Jobs.LeaseTTLMS)
	checkPositive(text, "jobs.settle_period_ms", c.Jobs.SettlePeriodMS)
	checkPositive(text, "jobs.rollout_period_ms", c.Jobs.RolloutPeriodMS)
	checkPositive(text, "jobs.order_period_ms", c.Jobs.OrderPeriodMS)
	if c.Jobs.LongestOrderMS < minLongestOrderMS {
		text.AddFault("jobs.longest_order_ms", "must be at least %d", minLongestOrderMS)
	}
	checkPositive(text, "jobs.loads_per_minute", c.Jobs.LoadsPerMinute)
	checkPositive(text, "jobs.store_ms", c.Jobs.StoreMS)
}
