package order

import (
	"slices"
	"time"
)

// Term is the current holder's term.
type Term struct {
	// Fence is the fencing token.
	Fence uint64
	// Since is when the term began, on the holder's clock.
	Since time.Time
}

// View is one engine as the holder sees it.
type View struct {
	Desired Desired
	// Observed is nil if the engine could not be read.
	Observed *Observation
	Record   Record
}

// Input is everything that Plan decides upon.
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
	Bucket   Bucket
}

// Plan decides the next order of each engine and tells how each one stands.
// It depends on nothing but its input.
func Plan(in Input) Decision {
	pace := &pacer{
		bucket: in.Bucket.refill(in.Now, in.Policy),
		slots:  in.Policy.MaxLoading - countLoading(in.Views, in.Policy),
	}
	var d Decision
	for _, view := range in.Views {
		p := planner{in: in, view: view, pace: pace}
		status, order := p.decide()
		d.Statuses = append(d.Statuses, status)
		if order != nil {
			d.Orders = append(d.Orders, *order)
		}
	}
	d.Bucket = pace.bucket
	return d
}

// pacer admits loads.
type pacer struct {
	bucket Bucket
	slots  int
}

func (p *pacer) admit() bool {
	if p.slots <= 0 || !p.bucket.take() {
		return false
	}
	p.slots--
	return true
}

// countLoading counts the loads under way, also those of an order whose
// outcome is open.
func countLoading(views []View, policy Policy) int {
	count := 0
	for _, view := range views {
		if view.Observed == nil {
			continue
		}
		items := view.Observed.State.loading()
		if view.Record.open(*view.Observed, policy) {
			items = append(items, without(view.Record.Unknown.Items, view.Observed.State.loadedItems())...)
		}
		count += len(normalized(items))
	}
	return count
}

// planner decides for one engine.
type planner struct {
	in   Input
	view View
	pace *pacer
}

func (p planner) decide() (Status, *Order) {
	status := p.compare()
	status.Phase = p.obstacle()
	if status.Phase != "" {
		return status, nil
	}
	order := p.target()
	status.Phase = p.phase(status)
	if !p.needed(order) {
		return status, nil
	}
	if p.in.Now.Before(p.view.Record.NotBefore) {
		status.Phase = PhaseBackoff
		return status, nil
	}
	if p.unsettled(order) {
		status.Phase = PhaseUnsettled
		return status, nil
	}
	order.Items = p.admitted(order.Items)
	if !p.needed(order) {
		return status, nil
	}
	return status, &order
}

// compare fills in what is loaded, missing and left over.
func (p planner) compare() Status {
	desired := p.view.Desired
	status := Status{Engine: desired.Engine, Generation: desired.Generation}
	if p.view.Observed == nil {
		status.Missing = normalized(desired.Items)
		return status
	}
	wanted, loaded := normalized(desired.Items), p.view.Observed.State.loadedItems()
	status.Missing = without(wanted, loaded)
	status.Loaded = without(wanted, status.Missing)
	status.Leftover = without(loaded, wanted)
	status.Read = p.view.Observed.Began
	return status
}

// obstacle returns the phase in which nothing may be decided, or none.
func (p planner) obstacle() Phase {
	observed := p.view.Observed
	switch {
	case observed == nil || p.in.Now.Sub(observed.Began) > p.in.Policy.MaxAge:
		return PhaseUnread
	case observed.Began.Before(p.settledFrom()):
		return PhaseTakeover
	case p.view.Desired.Fencing && observed.State.Fence > p.in.Term.Fence:
		return PhaseFenced
	case observed.State.Generation > p.view.Desired.Generation:
		return PhaseBehind
	default:
		return ""
	}
}

// settledFrom returns when states begin to be free of an earlier holder's orders.
func (p planner) settledFrom() time.Time {
	if p.view.Desired.Fencing {
		return p.in.Term.Since
	}
	return p.in.Term.Since.Add(p.in.Policy.LongestOrder)
}

// target returns the order that brings the engine to its desired state as far
// as its requests in flight allow.
func (p planner) target() Order {
	desired, state := p.view.Desired, p.view.Observed.State
	busy := p.view.Record.inUse(p.in.Now, p.in.Policy)
	order := Order{
		Engine:     desired.Engine,
		Fence:      p.in.Term.Fence,
		Generation: desired.Generation,
		Items:      normalized(append(slices.Clone(desired.Items), busy...)),
		Role:       desired.Role,
	}
	if !p.view.Record.idle(p.in.Now, p.in.Policy) {
		order.Role = state.Role
	}
	return order
}

// phase tells how far the engine is, if nothing stands in the way.
func (p planner) phase(status Status) Phase {
	state := p.view.Observed.State
	switch {
	case len(status.Missing) > 0:
		return PhaseLoading
	case state.Role != p.view.Desired.Role:
		return PhaseDraining
	case p.view.Desired.Fencing && state.Fence < p.in.Term.Fence:
		return PhaseFencing
	default:
		return PhaseReady
	}
}

// needed reports whether the order would change the engine's target, role or
// fencing token.
func (p planner) needed(order Order) bool {
	state := p.view.Observed.State
	return !slices.Equal(order.Items, normalized(state.Target)) ||
		order.Role != state.Role ||
		p.view.Desired.Fencing && state.Fence < order.Fence
}

// unsettled reports whether an order other than this one may still arrive.
func (p planner) unsettled(order Order) bool {
	record := p.view.Record
	return record.open(*p.view.Observed, p.in.Policy) && !sameOrder(*record.Unknown, order)
}

func sameOrder(a, b Order) bool {
	return a.Fence == b.Fence && a.Generation == b.Generation &&
		a.Role == b.Role && slices.Equal(a.Items, b.Items)
}

// admitted returns the items without those whose load has to wait. An adapter
// waits for its version.
func (p planner) admitted(items []Item) []Item {
	state := p.view.Observed.State
	started := append(state.loadedItems(), state.Target...)
	var admitted []Item
	for _, item := range items {
		switch version := (Item{Version: item.Version}); {
		case slices.Contains(started, item):
			admitted = append(admitted, item)
		case slices.Contains(items, version) && version != item && !slices.Contains(admitted, version):
		case p.pace.admit():
			admitted = append(admitted, item)
		}
	}
	return admitted
}
