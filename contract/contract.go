// Package contract defines the terms of a client account: the models and
// services it may use, its limits, its quality target and its default deadline.
package contract

import (
	"time"

	"github.com/poplarshore/poplarshore/model"
)

// ID identifies a contract.
type ID string

// Limits bounds the usage of one client account across the whole environment.
// A zero field means no limit.
type Limits struct {
	// RequestsPerSecond is the maximum sustained request rate.
	RequestsPerSecond float64 `json:"requests_per_second,omitempty"`
	// TokensPerSecond is the maximum sustained rate of prompt and generated
	// tokens together.
	TokensPerSecond float64 `json:"tokens_per_second,omitempty"`
	// Concurrency is the maximum number of requests in flight.
	Concurrency int `json:"concurrency,omitempty"`
}

// Weights are the relative importance of cost, latency and exposure when
// versions and upstreams are selected. Only their ratios matter.
type Weights struct {
	Cost     float64 `json:"cost"`
	Latency  float64 `json:"latency"`
	Exposure float64 `json:"exposure"`
}

// Contract is a set of terms shared by one or more client accounts.
type Contract struct {
	ID ID `json:"id"`
	// Models lists the models and cascades that callers may request.
	Models []model.Name `json:"models"`
	// Versions restricts requests to these versions of the models; empty allows
	// all versions.
	Versions []model.Ref `json:"versions,omitempty"`
	// Services lists the non-model services that callers may use.
	Services []string `json:"services,omitempty"`
	// QualityTarget is the mean rating to provide, 0 to 1.
	QualityTarget float64 `json:"quality_target,omitempty"`
	// DeadlineMS is the maximum time to a complete response, in milliseconds, at most
	// MaxDeadlineMS. Zero means DefaultDeadline.
	DeadlineMS int64 `json:"deadline_ms,omitempty"`
	// Priority orders queued requests and is forwarded to engines; higher values
	// are served first.
	Priority int     `json:"priority,omitempty"`
	Limits   Limits  `json:"limits,omitzero"`
	Weights  Weights `json:"weights,omitzero"`
}

// MaxDeadlineMS is the maximum of Contract.DeadlineMS, 366 days. Deadline treats higher
// values as this one.
const MaxDeadlineMS = 366 * 24 * 60 * 60 * 1000

// DefaultDeadline applies to contracts that set no deadline.
const DefaultDeadline = 60 * time.Second

// Deadline returns the maximum time to a complete response, DefaultDeadline if
// the contract sets none.
func (c Contract) Deadline() time.Duration {
	if c.DeadlineMS <= 0 {
		return DefaultDeadline
	}
	return time.Duration(min(c.DeadlineMS, MaxDeadlineMS)) * time.Millisecond
}

// AllowsModel reports whether callers may request the model or cascade.
func (c Contract) AllowsModel(name model.Name) bool {
	for _, m := range c.Models {
		if m == name {
			return true
		}
	}
	return false
}

// AllowsVersion reports whether requests may run on the version.
func (c Contract) AllowsVersion(ref model.Ref) bool {
	if len(c.Versions) == 0 {
		return true
	}
	for _, v := range c.Versions {
		if v == ref {
			return true
		}
	}
	return false
}

// AllowsService reports whether callers may use the non-model service.
func (c Contract) AllowsService(name string) bool {
	for _, s := range c.Services {
		if s == name {
			return true
		}
	}
	return false
}
