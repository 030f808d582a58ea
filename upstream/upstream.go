// Package upstream describes the processes that requests are routed to: model
// engines, instances of plain services and the older router. Their addresses are
// not included; they are in the settings of each environment.
package upstream

import (
	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/model"
)

// ID identifies an upstream.
type ID string

// Kind is the kind of an upstream.
type Kind string

// The kinds of upstream.
const (
	// Engine serves language models.
	Engine Kind = "engine"
	// Service is an instance of a plain service.
	Service Kind = "service"
	// OldRouter is an instance of the older router.
	OldRouter Kind = "old_router"
)

// Upstream is one process that requests are sent to.
type Upstream struct {
	ID     ID        `json:"id"`
	Kind   Kind      `json:"kind"`
	Domain domain.ID `json:"domain"`
	// Versions lists the model versions that an engine may serve.
	Versions []model.Ref `json:"versions,omitempty"`
	// Service is the name of the plain service that the upstream belongs to.
	Service string `json:"service,omitempty"`
	// Capacity is the number of requests that an engine runs at once; zero means
	// unknown.
	Capacity int `json:"capacity,omitempty"`
	// Fencing is set if the engine refuses orders with an outdated fencing token.
	Fencing bool `json:"fencing,omitempty"`
	// Leaving is set if the upstream gets no new work.
	Leaving bool `json:"leaving,omitempty"`
}
