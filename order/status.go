package order

import (
	"slices"
	"time"

	"github.com/poplarshore/poplarshore/upstream"
)

// Phase is how far an engine is from its desired state.
type Phase string

// The phases.
const (
	// PhaseUnread: there is no fresh state of the engine.
	PhaseUnread Phase = "unread"
	// PhaseTakeover: orders of an earlier holder may still be on their way.
	PhaseTakeover Phase = "takeover"
	// PhaseFenced: the engine has taken a higher fencing token than this
	// holder's, so this holder's term is over or the token was not ours.
	PhaseFenced Phase = "fenced"
	// PhaseBehind: the engine has taken a higher generation than the one
	// desired here, so the desired state is out of date.
	PhaseBehind Phase = "behind"
	// PhaseUnsettled: an order of unknown outcome may still be on its way.
	PhaseUnsettled Phase = "unsettled"
	// PhaseBackoff: the engine failed to take orders and is left alone a while.
	PhaseBackoff Phase = "backoff"
	// PhaseLoading: items are loading or wait for the pace of loads.
	PhaseLoading Phase = "loading"
	// PhaseDraining: the role changes when the engine is idle.
	PhaseDraining Phase = "draining"
	// PhaseFencing: the engine has not yet taken this holder's fencing token.
	PhaseFencing Phase = "fencing"
	// PhaseReady: everything desired is loaded in the desired role.
	PhaseReady Phase = "ready"
)

// Status tells a roll-out how an engine stands.
type Status struct {
	Engine upstream.ID
	Phase  Phase
	// Generation is that of the desired state compared with.
	Generation uint64
	// Loaded lists the desired items that are loaded.
	Loaded []Item
	// Missing lists the desired items that are not loaded.
	Missing []Item
	// Leftover lists loaded items that are no longer desired.
	Leftover []Item
	// Read is when the reading of the state began, zero if there is none.
	Read time.Time
}

// Ready returns the engines that have the item loaded, are in phase ready and
// whose state was read at or after since.
func Ready(statuses []Status, item Item, since time.Time) []upstream.ID {
	var ready []upstream.ID
	for _, s := range statuses {
		if s.Phase == PhaseReady && !s.Read.Before(since) && slices.Contains(s.Loaded, item) {
			ready = append(ready, s.Engine)
		}
	}
	return ready
}
