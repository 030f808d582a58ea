package settings

import "github.com/poplarshore/poplarshore/strictjson"

// Entry contains the settings of poplarshored.
type Entry struct {
	VM        VM        `json:"vm" doc:"Where this process runs."`
	Callers   Listener  `json:"callers" doc:"Where callers connect."`
	Operators Listener  `json:"operators" doc:"Where operators, metrics and health checks connect."`
	Peers     Listener  `json:"peers" doc:"Where the other entry VMs connect."`
	Platform  Platform  `json:"platform" doc:"The platform's services."`
	Upstreams Addresses `json:"upstreams" doc:"Base URL of each upstream, by its id in the document."`
	// UpstreamCAFile is used to verify upstreams and platform services with https
	// addresses.
	UpstreamCAFile string `json:"upstream_ca_file" doc:"PEM file with the authorities that sign upstreams' and peers' certificates; empty means the system's."`
	// PeerTokenFile names the file with the token by which entry VMs authenticate to
	// one another.
	PeerTokenFile string `json:"peer_token_file" doc:"File with the token shared by all entry VMs; it also signs resume tokens. Required."`
	// OperatorTokenFile names the file with the token by which operators authenticate.
	OperatorTokenFile string            `json:"operator_token_file" doc:"File with the operators' bearer token. Required."`
	SessionKeyFiles   map[string]string `json:"session_key_files" doc:"File with the secret of each session key that the document names."`
	Promotion         Promotion         `json:"promotion" doc:"How documents go from the trial environment to production."`
	Requests          Requests          `json:"requests" doc:"Bounds on what callers send."`
	Timeouts          Timeouts          `json:"timeouts" doc:"Limits on each wait."`
	// MemoryMB is the memory limit of the process in MB; 0 means no limit.
	MemoryMB int64 `json:"memory_mb" doc:"Memory that the process may use, in MB; 0 means no limit. Default 0."`
	Stop     Stop  `json:"stop" doc:"Planned stops."`
	Log      Log   `json:"log" doc:"Logs to standard error."`
}

// Promotion configures the role of the environment in the promotion of documents.
type Promotion struct {
	Role    string `json:"role" doc:"trial signs what it accepts, production accepts only what is signed; empty does neither."`
	KeyFile string `json:"key_file" doc:"File with the key shared by the trial environment and production."`
}

// The values of Promotion.Role. An empty role takes no part in promotion.
const (
	// RoleTrial signs the documents that it accepts.
	RoleTrial = "trial"
	// RoleProduction accepts only signed documents.
	RoleProduction = "production"
)

func (p Promotion) check(text *strictjson.Text) {
	switch p.Role {
	case "":
	case RoleTrial, RoleProduction:
		checkRequired(text, "promotion.key_file", p.KeyFile)
	default:
		text.AddFault("promotion.role", "must be %q, %q or empty", RoleTrial, RoleProduction)
	}
}

// Requests limits the requests of callers and the resources that they use.
type Requests struct {
	MaxBodyBytes     int64  `json:"max_body_bytes" doc:"Largest request body, in bytes. Default 4194304."`
	MaxHeaderBytes   int64  `json:"max_header_bytes" doc:"Largest request header, in bytes. Default 65536."`
	HeaderTimeoutMS  Millis `json:"header_timeout_ms" doc:"Longest time for a request header to arrive, in ms. Default 5000."`
	BodyTimeoutMS    Millis `json:"body_timeout_ms" doc:"Longest time for a request body to arrive, in ms. Default 10000."`
	WriteTimeoutMS   Millis `json:"write_timeout_ms" doc:"Longest time for a caller to take what it was sent, in ms. Default 30000."`
	KeepAliveMS      Millis `json:"keep_alive_ms" doc:"Longest time a caller's connection is kept without a request, in ms. Default 120000."`
	MaxTokens        int64  `json:"max_tokens" doc:"Largest max_tokens. Default 32768."`
	DefaultTokens    int64  `json:"default_tokens" doc:"Estimate of an answer whose request has no max_tokens. Default 256."`
	MaxHeldBytes     int64  `json:"max_held_bytes" doc:"Largest answer that is held whole, in bytes. Default 8388608."`
	MaxBillBacklog   int    `json:"max_bill_backlog" doc:"Billing records that wait at most while the store is out. Default 100000."`
	RatedSharePerMil int    `json:"rated_share_per_mille" doc:"Part of delivered answers that are offered for rating, in thousandths. Default 200."`
}

// Timeouts configures timeouts and the periods of background tasks.
type Timeouts struct {
	ConnectMS       Millis `json:"connect_ms" doc:"Opening a connection to an upstream, in ms. Default 1000."`
	HeadersMS       Millis `json:"headers_ms" doc:"Wait for an engine's headers, in ms. Default 2000."`
	IdleMS          Millis `json:"idle_ms" doc:"Wait between an engine's pieces, in ms. Default 2000."`
	ServiceIdleMS   Millis `json:"service_idle_ms" doc:"Wait for the headers of a plain service's answer and between its parts, in ms. Default 10000."`
	BillMS          Millis `json:"bill_ms" doc:"Wait for a billing record at the end of an answer, in ms. Default 2000."`
	StoreMS         Millis `json:"store_ms" doc:"Wait for one operation of the platform's store, in ms. Default 2000."`
	LoadPeriodMS    Millis `json:"load_period_ms" doc:"Time between reads of each engine's load report, in ms. Default 500."`
	FreshForMS      Millis `json:"fresh_for_ms" doc:"How long a VM serves without word on the newest configuration, in ms. Default 5000."`
	VMListPeriodMS  Millis `json:"vm_list_period_ms" doc:"Time between reads of the list of VMs, in ms. Default 5000."`
	ReportsPeriodMS Millis `json:"reports_period_ms" doc:"Time between roll-out reports and reads of roll-out progress, in ms. Default 2000."`
}

// Stop configures the planned stop of a process.
type Stop struct {
	BalancerGraceMS Millis `json:"balancer_grace_ms" doc:"Time between turning not ready and refusing new work, in ms, for the balancer to notice. Default 3000."`
	DrainMS         Millis `json:"drain_ms" doc:"Longest time for requests in flight to end, in ms. Default 300000."`
}

// DefaultEntry returns the default settings of poplarshored.
func DefaultEntry() *Entry {
	return &Entry{
		Callers:   Listener{Address: "127.0.0.1:8080"},
		Operators: Listener{Address: "127.0.0.1:8081"},
		Peers:     Listener{Address: "127.0.0.1:8082"},
		Platform:  Platform{Prefix: "poplarshore/"},
		Requests: Requests{
			MaxBodyBytes: 4 << 20, MaxHeaderBytes: 64 << 10, HeaderTimeoutMS: 5000, BodyTimeoutMS: 10000, WriteTimeoutMS: 30000,
			KeepAliveMS: 120000, MaxTokens: 32768, DefaultTokens: 256, MaxHeldBytes: 8 << 20,
			MaxBillBacklog: 100000, RatedSharePerMil: 200,
		},
		Timeouts: Timeouts{
			ConnectMS: 1000, HeadersMS: 2000, IdleMS: 2000, ServiceIdleMS: 10000, BillMS: 2000, StoreMS: 2000, LoadPeriodMS: 500,
			FreshForMS: 5000, VMListPeriodMS: 5000, ReportsPeriodMS: 2000,
		},
		Stop: Stop{BalancerGraceMS: 3000, DrainMS: 300000},
		Log:  Log{Format: "text", Level: "info"},
	}
}

func (e *Entry) check(text *strictjson.Text) {
	e.VM.check(text)
	e.Callers.check(text, "callers")
	e.Operators.check(text, "operators")
	e.Peers.check(text, "peers")
	e.Platform.check(text)
	e.Upstreams.check(text)
	e.Log.check(text)
	checkRequired(text, "peer_token_file", e.PeerTokenFile)
	checkRequired(text, "operator_token_file", e.OperatorTokenFile)
	e.Promotion.check(text)
	e.Requests.check(text)
	e.Timeouts.check(text)
	checkPositive(text, "stop.drain_ms", e.Stop.DrainMS)
	if e.MemoryMB < 0 {
		text.AddFault("memory_mb", "must not be negative")
	}
}

func (r Requests) check(text *strictjson.Text) {
	checkPositive(text, "requests.max_body_bytes", r.MaxBodyBytes)
	checkPositive(text, "requests.max_header_bytes", r.MaxHeaderBytes)
	checkPositive(text, "requests.header_timeout_ms", r.HeaderTimeoutMS)
	checkPositive(text, "requests.body_timeout_ms", r.BodyTimeoutMS)
	checkPositive(text, "requests.write_timeout_ms", r.WriteTimeoutMS)
	checkPositive(text, "requests.keep_alive_ms", r.KeepAliveMS)
	checkPositive(text, "requests.max_tokens", r.MaxTokens)
	checkPositive(text, "requests.default_tokens", r.DefaultTokens)
	checkPositive(text, "requests.max_held_bytes", r.MaxHeldBytes)
	checkPositive(text, "requests.max_bill_backlog", r.MaxBillBacklog)
	if r.RatedSharePerMil < 0 || r.RatedSharePerMil > 1000 {
		text.AddFault("requests.rated_share_per_mille", "must be between 0 and 1000")
	}
}

func (t Timeouts) check(text *strictjson.Text) {
	checkPositive(text, "timeouts.connect_ms", t.ConnectMS)
	checkPositive(text, "timeouts.headers_ms", t.HeadersMS)
	checkPositive(text, "timeouts.idle_ms", t.IdleMS)
	checkPositive(text, "timeouts.service_idle_ms", t.ServiceIdleMS)
	checkPositive(text, "timeouts.bill_ms", t.BillMS)
	checkPositive(text, "timeouts.store_ms", t.StoreMS)
	checkPositive(text, "timeouts.load_period_ms", t.LoadPeriodMS)
	checkPositive(text, "timeouts.fresh_for_ms", t.FreshForMS)
	checkPositive(text, "timeouts.vm_list_period_ms", t.VMListPeriodMS)
	checkPositive(text, "timeouts.reports_period_ms", t.ReportsPeriodMS)
}
