package order

import (
	"slices"
	"time"

	"github.com/poplarshore/poplarshore/upstream"
)

// Phase is the progress of an engine towards its desired state, or the reason why no
// order is sent to it.
type Phase string

// The phases of an engine.
const (
	// PhaseStateUnavailable means that no recent state of the engine is available.
	PhaseStateUnavailable Phase = "unread"
	// PhaseTakeover means that orders of an earlier lease holder may still be in flight.
	PhaseTakeover Phase = "takeover"
	// PhaseFenced means that the engine has accepted a higher fencing token than this
	// holder's. Either the term of this holder is over, or the token was sent by
	// something other than a lease holder.
	PhaseFenced Phase = "fenced"
	// PhaseDesiredOutdated means that the engine has accepted an order with a higher
	// generation than the desired state has here, which is therefore out of date.
	PhaseDesiredOutdated Phase = "behind"
	// PhaseOutcomeUnknown means that a different order of unknown outcome may still be
	// in flight.
	PhaseOutcomeUnknown Phase = "unsettled"
	// PhaseBackoff means that the last order failed and the next one is delayed.
	PhaseBackoff Phase = "backoff"
	// PhaseLoading means that items are loading or delayed by the limits on loads.
	PhaseLoading Phase = "loading"
	// PhaseDraining means that the role will change once the engine is idle.
	PhaseDraining Phase = "draining"
	// PhaseFencing means that the engine has not yet accepted this holder's fencing
	// token.
	PhaseFencing Phase = "fencing"
	// PhaseReady means that all desired items are loaded in the desired role.
	PhaseReady Phase = "ready"
)

// Status is the state of an engine relative to its desired state, as a roll-out needs
// it.
type Status struct {
	Engine upstream.ID
	Phase  Phase
	// Generation is the generation of the desired state.
	Generation uint64
	// Loaded lists the desired items that are loaded.
	Loaded []Item
	// Missing lists the desired items that are not loaded.
	Missing []Item
	// Leftover lists loaded items that are no longer desired.
	Leftover []Item
	// ReadStarted is when the read of the engine's state started, zero if the state could
	// not be read.
	ReadStarted time.Time
}

// Ready returns the engines that are in phase ready and have the item loaded, and whose
// state was read at or after since.
func Ready(statuses []Status, item Item, since time.Time) []upstream.ID {
	var ready []upstream.ID
	for _, s := range statuses {
		if s.Phase == PhaseReady && !s.ReadStarted.Before(since) && slices.Contains(s.Loaded, item) {
			ready = append(ready, s.Engine)
		}
	}
	return ready
}
