package order

import (
	"context"
	"time"

	"github.com/poplarshore/poplarshore/upstream"
)

// Role is what an engine does, for instance prefill or decode. The empty role
// means both.
type Role string

// Desired is the state that an engine is to reach.
type Desired struct {
	Engine upstream.ID
	// Fencing tells that the engine refuses orders with an older fencing token.
	Fencing bool
	// Generation rises with every change of this engine's desired state, for
	// instance the configuration's revision that last changed it.
	Generation uint64
	// Items are to be loaded. Take an item out only after the VMs have stopped
	// sending new work to it here.
	Items []Item
	Role  Role
}

// Order is a whole target for one engine.
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
	// Active is the number of requests in flight on it.
	Active int
}

// State is what an engine reports of itself.
type State struct {
	// Fence is the highest fencing token taken, 0 if the engine keeps none.
	Fence uint64
	// Generation is that of the order taken last.
	Generation uint64
	// Target lists the items of the order taken last.
	Target []Item
	Role   Role
	Loaded []Loaded
}

// Observation is a state and when the reading of it began.
type Observation struct {
	State State
	Began time.Time
}

// Engine takes orders. Implementations exist per kind of engine.
type Engine interface {
	// State returns the engine's state. Errors: ErrUnavailable.
	State(ctx context.Context) (State, error)
	// Apply sends an order and returns once the engine has taken it; loading
	// goes on after that. Errors: ErrFenced, ErrRefused, ErrThrottled,
	// ErrUnknown. Any other error counts as ErrUnknown.
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

// loading returns the items ordered but not yet in memory.
func (s State) loading() []Item {
	return without(normalized(s.Target), s.loadedItems())
}
