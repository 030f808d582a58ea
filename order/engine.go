package order

import (
	"context"
	"time"

	"github.com/poplarshore/poplarshore/upstream"
)

// Role is the function of an engine, for instance prefill or decode. The empty role
// means both.
type Role string

// Desired is the desired state of an engine.
type Desired struct {
	Engine upstream.ID
	// Fencing reports that the engine rejects orders with an older fencing token.
	Fencing bool
	// Generation increases with every change of this engine's desired state, for
	// instance the configuration's revision that last changed it.
	Generation uint64
	// Items lists the items to load. Remove an item only after the VMs have stopped
	// sending new work for it to this engine.
	Items []Item
	Role  Role
}

// Order is the complete target state for one engine, with the fencing token of the
// lease under which it is sent.
type Order struct {
	Engine     upstream.ID
	Fence      uint64
	Generation uint64
	Items      []Item
	Role       Role
}

// Loaded is an item in an engine's memory.
type Loaded struct {
	Item Item
	// Active is the number of requests in flight that use the item.
	Active int
}

// State is the state that an engine reports.
type State struct {
	// Fence is the highest fencing token accepted, 0 if the engine stores none.
	Fence uint64
	// Generation is the generation of the last accepted order.
	Generation uint64
	// Target lists the items of the last accepted order.
	Target []Item
	Role   Role
	// Loaded lists the items in memory.
	Loaded []Loaded
}

// Observation is a state read from an engine.
type Observation struct {
	State State
	// ReadStarted is when the read started.
	ReadStarted time.Time
}

// Engine is a client of one engine. There is one implementation per kind of engine.
type Engine interface {
	// State returns the engine's state. Errors: ErrUnavailable.
	State(ctx context.Context) (State, error)
	// Apply sends an order and returns once the engine has accepted it; loading
	// continues after that. Errors: ErrFenced, ErrRefused, ErrThrottled, ErrUnknown.
	// Any other error is treated as ErrUnknown.
	Apply(ctx context.Context, order Order) error
}

// loadedItems returns the items in memory.
func (s State) loadedItems() []Item {
	items := make([]Item, 0, len(s.Loaded))
	for _, loaded := range s.Loaded {
		items = append(items, loaded.Item)
	}
	return normalized(items)
}

// loading returns the items of the last accepted order that are not yet in memory.
func (s State) loading() []Item {
	return without(normalized(s.Target), s.loadedItems())
}
