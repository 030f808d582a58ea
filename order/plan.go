package order

import (
	"slices"
	"time"
)

// Term is the term of the current lease holder.
type Term struct {
	// Fence is the fencing token.
	Fence uint64
	// Since is the start of the term on the holder's clock.
	Since time.Time
}

// View is the information about one engine that Plan uses.
type View struct {
	Desired Desired
	// Observed is nil if the engine could not be read.
	Observed *Observation
	Record   Record
}

// Input is the input of Plan.
type Input struct {
	Now    time.Time
	Term   Term
	Policy Policy
	Views  []View
	Bucket Bucket
}

// Decision is the result of Plan.
type Decision struct {
	// Orders has at most one order per engine.
	Orders []Order
	// Statuses has one entry per view, in the same order.
	Statuses []Status
	// Bucket is the bucket after the loads of this decision.
	Bucket Bucket
}

// Plan decides the next order of each engine and determines its status. It is a pure
// function of its input.
func Plan(input Input) Decision {
	loads := &loadLimiter{
		bucket:    input.Bucket.refill(input.Now, input.Policy),
		freeSlots: input.Policy.MaxLoading - countLoading(input.Views, input.Policy),
	}
	var d Decision
	for _, view := range input.Views {
		p := planner{input: input, view: view, loads: loads}
		status, order := p.decide()
		d.Statuses = append(d.Statuses, status)
		if order != nil {
			d.Orders = append(d.Orders, *order)
		}
	}
	d.Bucket = loads.bucket
	return d
}

// loadLimiter limits the rate and the number of concurrent loads.
type loadLimiter struct {
	bucket Bucket
	// freeSlots is the number of loads that may start before MaxLoading is reached.
	freeSlots int
}

// admit reports whether a load may start, and accounts for it.
func (l *loadLimiter) admit() bool {
	if l.freeSlots <= 0 || !l.bucket.consume() {
		return false
	}
	l.freeSlots--
	return true
}

// countLoading returns the number of loads in progress, including those of orders of
// unknown outcome that may still arrive.
func countLoading(views []View, policy Policy) int {
	count := 0
	for _, view := range views {
		if view.Observed == nil {
			continue
		}
		items := view.Observed.State.loading()
		if view.Record.mayArrive(*view.Observed, policy) {
			items = append(items, without(view.Record.UnknownOrder.Items, view.Observed.State.loadedItems())...)
		}
		count += len(normalized(items))
	}
	return count
}

// planner decides the order and status of one engine.
type planner struct {
	input Input
	view  View
	loads *loadLimiter
}

func (p planner) decide() (Status, *Order) {
	status := p.compare()
	status.Phase = p.blockingPhase()
	if status.Phase != "" {
		return status, nil
	}
	order := p.targetOrder()
	status.Phase = p.progressPhase(status)
	if !p.changesEngine(order) {
		return status, nil
	}
	if p.input.Now.Before(p.view.Record.NotBefore) {
		status.Phase = PhaseBackoff
		return status, nil
	}
	if p.conflictsWithUnknownOrder(order) {
		status.Phase = PhaseOutcomeUnknown
		return status, nil
	}
	order.Items = p.admitItems(order.Items)
	if !p.changesEngine(order) {
		return status, nil
	}
	return status, &order
}

// compare returns a status with the loaded, missing and leftover items but no phase.
func (p planner) compare() Status {
	desired := p.view.Desired
	status := Status{Engine: desired.Engine, Generation: desired.Generation}
	if p.view.Observed == nil {
		status.Missing = normalized(desired.Items)
		return status
	}
	desiredItems, loaded := normalized(desired.Items), p.view.Observed.State.loadedItems()
	status.Missing = without(desiredItems, loaded)
	status.Loaded = without(desiredItems, status.Missing)
	status.Leftover = without(loaded, desiredItems)
	status.ReadStarted = p.view.Observed.ReadStarted
	return status
}

// blockingPhase returns the phase that forbids any order at present, or an empty one.
func (p planner) blockingPhase() Phase {
	observed := p.view.Observed
	switch {
	case observed == nil || p.input.Now.Sub(observed.ReadStarted) > p.input.Policy.MaxAge:
		return PhaseStateUnavailable
	case observed.ReadStarted.Before(p.earliestUsableRead()):
		return PhaseTakeover
	case p.view.Desired.Fencing && observed.State.Fence > p.input.Term.Fence:
		return PhaseFenced
	case observed.State.Generation > p.view.Desired.Generation:
		return PhaseDesiredOutdated
	default:
		return ""
	}
}

// earliestUsableRead returns the time from which on a state that is read reflects all
// orders of earlier holders: the start of the term if the engine fences, otherwise
// LongestOrder later.
func (p planner) earliestUsableRead() time.Time {
	if p.view.Desired.Fencing {
		return p.input.Term.Since
	}
	return p.input.Term.Since.Add(p.input.Policy.LongestOrder)
}

// targetOrder returns the order that brings the engine as close to its desired state as
// its requests in flight allow.
func (p planner) targetOrder() Order {
	desired, state := p.view.Desired, p.view.Observed.State
	inUse := p.view.Record.itemsInUse(p.input.Now, p.input.Policy)
	order := Order{
		Engine:     desired.Engine,
		Fence:      p.input.Term.Fence,
		Generation: desired.Generation,
		Items:      normalized(append(slices.Clone(desired.Items), inUse...)),
		Role:       desired.Role,
	}
	if !p.view.Record.isIdle(p.input.Now, p.input.Policy) {
		order.Role = state.Role
	}
	return order
}

// progressPhase returns the phase of an engine for which blockingPhase returns none.
func (p planner) progressPhase(status Status) Phase {
	state := p.view.Observed.State
	switch {
	case len(status.Missing) > 0:
		return PhaseLoading
	case state.Role != p.view.Desired.Role:
		return PhaseDraining
	case p.view.Desired.Fencing && state.Fence < p.input.Term.Fence:
		return PhaseFencing
	default:
		return PhaseReady
	}
}

// changesEngine reports whether the order would change the engine's target, role or
// fencing token.
func (p planner) changesEngine(order Order) bool {
	state := p.view.Observed.State
	return !slices.Equal(order.Items, normalized(state.Target)) ||
		order.Role != state.Role ||
		p.view.Desired.Fencing && state.Fence < order.Fence
}

// conflictsWithUnknownOrder reports whether a different order of unknown outcome may
// still arrive.
func (p planner) conflictsWithUnknownOrder(order Order) bool {
	record := p.view.Record
	return record.mayArrive(*p.view.Observed, p.input.Policy) && !sameOrder(*record.UnknownOrder, order)
}

func sameOrder(a, b Order) bool {
	return a.Fence == b.Fence && a.Generation == b.Generation &&
		a.Role == b.Role && slices.Equal(a.Items, b.Items)
}

// admitItems returns the items without those whose load has to wait for the load limiter.
// An adapter also waits for its version.
func (p planner) admitItems(items []Item) []Item {
	state := p.view.Observed.State
	started := append(state.loadedItems(), state.Target...)
	var admitted []Item
	for _, item := range items {
		switch version := (Item{Version: item.Version}); {
		case slices.Contains(started, item):
			admitted = append(admitted, item)
		case slices.Contains(items, version) && version != item && !slices.Contains(admitted, version):
		case p.loads.admit():
			admitted = append(admitted, item)
		}
	}
	return admitted
}
