// Package upstream describes what the system routes to: model engines and
// plain services. Addresses are not part of it; each environment's settings
// give them.
package upstream

import (
	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/model"
)

// ID names an upstream.
type ID string

// Kind tells engines, services and the older router apart.
type Kind string

// The kinds of upstream.
const (
	Engine    Kind = "engine"
	Service   Kind = "service"
	OldRouter Kind = "old_router"
)

// Upstream is one process that requests are sent to.
type Upstream struct {
	ID     ID        `json:"id"`
	Kind   Kind      `json:"kind"`
	Domain domain.ID `json:"domain"`
	// Versions are the model versions an engine may serve.
	Versions []model.Ref `json:"versions,omitempty"`
	// Service names the plain service this upstream belongs to.
	Service string `json:"service,omitempty"`
	// Capacity is the number of requests an engine runs at once.
	Capacity int `json:"capacity,omitempty"`
	// Fencing tells that the engine refuses orders with an old fencing number.
	Fencing bool `json:"fencing,omitempty"`
	// Leaving tells that the upstream gets no new work.
	Leaving bool `json:"leaving,omitempty"`
}
