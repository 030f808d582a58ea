package routing

import (
	"time"

	"github.com/poplarshore/poplarshore/account"
	"github.com/poplarshore/poplarshore/model"
)

// Route leads requests of one host and path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Streaming routes answer with server-sent events.
	Streaming bool
	// Idempotent requests may run more than once.
	Idempotent bool
	// Resumable streams may go on at another engine after an event id.
	Resumable bool
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Target is the time within which an answer earns its full credit; for a
	// stream, the time to its first event.
	Target time.Duration
	// MaxPause is the longest pause between events of an answer in time.
	MaxPause time.Duration
	// Priority ranks routes; 0 is the most urgent.
	Priority int
	// Models are the models of a cascade, smallest first; empty where the
	// caller names the model.
	Models []model.Name
	// Targets are the services, with their weights.
	Targets []Target
	// MaxAttempts bounds the upstreams that one request may be sent to.
	MaxAttempts int
	// Public routes ask for no key.
	Public bool
}

// Repeatable tells whether a request may run again after it may have run.
func (r *Route) Repeatable() bool {
	return r.Idempotent || r.Streaming && r.Resumable
}

// Target is a service that gets a part of a route's requests.
type Target struct {
	Service string
	Weight  float64
}

// Service is a group of upstreams that serve the same.
type Service struct {
	Name string
	// MaxConnections bounds the connections to one upstream from all VMs.
	MaxConnections int
	// Costs holds the price of each model, for 1,000 generated tokens.
	Costs map[model.Name]float64
}

// Account is a client account with its keys.
type Account struct {
	ID account.ID
	// Keys are the bearer keys in force.
	Keys []string
	// Priority replaces the route's where Ranked is set.
	Priority int
	Ranked   bool
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Config is one accepted configuration.
type Config struct {
	// Version grows with each accepted configuration.
	Version  int64
	Routes   []Route
	Services []Service
	Limits   Limits
	Accounts []Account
	// Keyed tells that accounts are declared, so that routes ask for keys.
	Keyed bool
}
