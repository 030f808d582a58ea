package routing

import (
	"time"

	"github.com/poplarshore/poplarshore/account"
	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/model"
)

// Route sends the requests for one host and path prefix to services.
type Route struct {
	Name string
	// Host is compared without regard to case; it has no port.
	Host string
	// Prefix is the path prefix; it begins and ends with a slash.
	Prefix string
	// Streaming is set if answers are streams of server-sent events.
	Streaming bool
	// Idempotent is set if a request may safely run more than once.
	Idempotent bool
	// Resumable is set if a stream can be continued on another engine after a given
	// event ID.
	Resumable bool
	// Timeout is the longest time that a caller waits for the answer; zero means that
	// the route sets no timeout.
	Timeout time.Duration
	// TargetLatency is the latency objective: an answer within this time gets its
	// full credit. For a stream it applies to the first event.
	TargetLatency time.Duration
	// MaxPause is the longest pause between the events of a stream that still
	// counts as in time.
	MaxPause time.Duration
	// Priority is the priority of the route's requests; 0 is the most urgent.
	Priority int
	// Models lists the models of a cascade, smallest first; empty if the caller
	// names the model.
	Models []model.Name
	// Targets lists the services and their weights (see Pick).
	Targets []Target
	// MaxAttempts is the largest number of upstreams that one request may be sent
	// to.
	MaxAttempts int
	// Public is set if callers need no key.
	Public bool
	// AllowedRegions are the regions in which requests may be served and kept.
	AllowedRegions domain.RegionSet
}

// Repeatable reports whether a request may be sent again although an earlier
// attempt may have been executed.
func (r *Route) Repeatable() bool {
	return r.Idempotent || r.Streaming && r.Resumable
}

// Target is a service that receives a share of a route's requests.
type Target struct {
	Service string
	// Weight is the service's share, relative to the sum of the route's weights.
	Weight float64
}

// Service is a group of interchangeable upstreams.
type Service struct {
	Name string
	// MaxConnections is the largest number of connections to one upstream, from all
	// VMs together.
	MaxConnections int
	// Costs is the price of 1,000 generated tokens for each model.
	Costs map[model.Name]float64
	// ColdStart is how long an upstream is cold after its start, and ColdPerSecond the number
	// of requests per second that a cold one takes from all VMs together; zero if the service's
	// upstreams need no such limit.
	ColdStart     time.Duration
	ColdPerSecond float64
	// MemoryTokens is the memory of one upstream for prompts and answers, in tokens; zero if
	// unknown.
	MemoryTokens int
}

// Account is a client account and its keys.
type Account struct {
	ID account.ID
	// Keys lists the valid bearer keys.
	Keys []string
	// Priority replaces the priority of the route if HasPriority is set.
	Priority int
	// HasPriority is set if the account has a priority of its own.
	HasPriority bool
	// AllowedRegions are the regions in which the account's requests may be served and kept,
	// beside those of the route.
	AllowedRegions domain.RegionSet
}

// Limits are the bounds on what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// HeaderTimeout is the longest time for receiving the header of a request.
	HeaderTimeout time.Duration
	// IdleTimeout is the longest time that a connection stays open without a
	// request.
	IdleTimeout time.Duration
}

// Config is one accepted version of the configuration.
type Config struct {
	// Version increases with each accepted configuration.
	Version  int64
	Routes   []Route
	Services []Service
	Limits   Limits
	Accounts []Account
	// KeysRequired is set if any account is declared; routes that are not public
	// then require a key.
	KeysRequired bool
}
