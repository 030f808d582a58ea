// Package contract describes what a client account may use and what it is owed.
package contract

import (
	"time"

	"github.com/poplarshore/poplarshore/model"
)

// ID names a contract.
type ID string

// Limits bound what one client account may use in the whole environment.
// Zero means no limit.
type Limits struct {
	// RequestsPerSecond is the sustained rate of requests.
	RequestsPerSecond float64 `json:"requests_per_second,omitempty"`
	// TokensPerSecond is the sustained rate of prompt and generated tokens.
	TokensPerSecond float64 `json:"tokens_per_second,omitempty"`
	// Concurrency is the number of requests in flight.
	Concurrency int `json:"concurrency,omitempty"`
}

// Weights tell what matters to the account when versions and upstreams are
// chosen; only their ratios count.
type Weights struct {
	Cost     float64 `json:"cost"`
	Latency  float64 `json:"latency"`
	Exposure float64 `json:"exposure"`
}

// Contract is what one or more client accounts may use.
type Contract struct {
	ID ID `json:"id"`
	// Models lists the models and cascades that callers may name.
	Models []model.Name `json:"models"`
	// Versions narrows the versions of those models; empty means all.
	Versions []model.Ref `json:"versions,omitempty"`
	// Services lists the plain services that callers may use.
	Services []string `json:"services,omitempty"`
	// QualityTarget is the mean rating owed, 0 to 1.
	QualityTarget float64 `json:"quality_target,omitempty"`
	// DeadlineMS is the time for a whole answer in milliseconds.
	DeadlineMS int64 `json:"deadline_ms,omitempty"`
	// Priority is passed on to engines; higher goes first.
	Priority int     `json:"priority,omitempty"`
	Limits   Limits  `json:"limits,omitzero"`
	Weights  Weights `json:"weights,omitzero"`
}

// DefaultDeadline holds where a contract gives none.
const DefaultDeadline = 60 * time.Second

// Deadline returns the time for a whole answer.
func (c Contract) Deadline() time.Duration {
	if c.DeadlineMS <= 0 {
		return DefaultDeadline
	}
	return time.Duration(c.DeadlineMS) * time.Millisecond
}

// AllowsModel tells whether callers may name the model or cascade.
func (c Contract) AllowsModel(name model.Name) bool {
	for _, m := range c.Models {
		if m == name {
			return true
		}
	}
	return false
}

// AllowsVersion tells whether work may run on the version.
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

// AllowsService tells whether callers may use the plain service.
func (c Contract) AllowsService(name string) bool {
	for _, s := range c.Services {
		if s == name {
			return true
		}
	}
	return false
}
