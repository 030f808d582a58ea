package reachability

import (
	"maps"
	"slices"
	"time"

	"github.com/poplarshore/poplarshore/upstream"
)

// Contact is what happened between a VM and an upstream.
type Contact uint8

// The contacts.
const (
	// Received means that something came from the upstream.
	Received Contact = iota
	// Connected means that a new connection to it was opened.
	Connected
	// NotConnected means that a new connection was refused or not answered.
	NotConnected
	// Lost means that a connection ended instead of an answer.
	Lost
	// Silent means that an open connection carried nothing for the idle timeout, nor did any
	// other one to the same upstream.
	Silent
)

// failure is the last contact with an upstream, which failed.
type failure struct {
	at   time.Time
	kind Contact
}

// Options configure a View.
type Options struct {
	// MinUnreached is the number of upstreams that can't be reached from which the way to the
	// service may be lost; fewer suffice if the service has fewer, or if the way to another
	// service is lost.
	MinUnreached int
	// Quiet is the time without anything from any upstream after which the way counts as lost,
	// and UnreachedShare the share of unreached upstreams, 0 to 1, from which it does whatever
	// comes from the others.
	Quiet          time.Duration
	UnreachedShare float64
	// Memory is how long an upstream counts as unreached after its last failure.
	Memory time.Duration
	// RecentLoss is the time after the way was lost in which one unreached upstream suffices, as
	// it is often lost again.
	RecentLoss time.Duration
	// ClearingProbes is the number of upstreams that have to be reached again, one after the
	// other, for the way to be back.
	ClearingProbes int
}

// DefaultOptions returns the default options.
func DefaultOptions() Options {
	return Options{
		MinUnreached: 3, Quiet: 100 * time.Millisecond, UnreachedShare: 0.75,
		Memory: 10 * time.Second, RecentLoss: 15 * time.Second, ClearingProbes: 3,
	}
}

// View is what one VM knows of its way to the upstreams of one service. It is not safe for
// concurrent use.
type View struct {
	opts Options
	// unreached holds the upstreams with which the last contact failed.
	unreached map[upstream.ID]failure
	// contactAt is when anything last came from any upstream.
	contactAt time.Time
	// lostAt is when the way was last seen lost.
	lostAt time.Time
	// regained is the number of unreached upstreams that were connected to again since the
	// last failure.
	regained int
}

// NewView returns a View without contacts.
func NewView(opts Options) *View {
	return &View{opts: opts, unreached: make(map[upstream.ID]failure)}
}

// Record records a contact.
func (v *View) Record(u upstream.ID, c Contact, now time.Time) {
	switch c {
	case Received:
		v.contactAt = now
		delete(v.unreached, u)
	case Connected:
		v.contactAt = now
		v.regain(u)
	case NotConnected, Lost, Silent:
		v.unreached[u] = failure{at: now, kind: c}
		v.regained = 0
	}
}

// regain records that an upstream was connected to. If enough of them were, all others are
// given another chance.
func (v *View) regain(u upstream.ID) {
	if _, wasUnreached := v.unreached[u]; !wasUnreached {
		return
	}
	delete(v.unreached, u)
	v.regained++
	if v.regained >= v.opts.ClearingProbes {
		clear(v.unreached)
	}
}

// Retain forgets the upstreams that keep returns false for.
func (v *View) Retain(keep func(upstream.ID) bool) {
	maps.DeleteFunc(v.unreached, func(u upstream.ID, _ failure) bool { return !keep(u) })
}

// AllReached reports that no upstream is known as unreached.
func (v *View) AllReached() bool { return len(v.unreached) == 0 }

// Status is how a VM reaches the upstreams of a service.
type Status struct {
	// CutOff reports that the way to the service is lost.
	CutOff bool
	// Quiet reports that nothing came from any upstream for Options.Quiet.
	Quiet bool
	// Unreached and Usable are the numbers of upstreams that can't be reached, and of all.
	Unreached, Usable int
	// Lost and Silent are the numbers of those among Unreached to which a connection was lost, and
	// from which nothing came over an open one. No connection could be opened to the others.
	Lost, Silent int
	// SinceContact is the time since anything came from any upstream.
	SinceContact time.Duration
}

// NoneReached reports that the way to the service is lost and every upstream was tried.
func (s Status) NoneReached() bool { return s.CutOff && s.Unreached == s.Usable }

// Status decides whether the way to the service is lost. Usable are the upstreams that
// requests may be sent to; othersCutOff reports whether the way to another service is lost.
func (v *View) Status(usable []upstream.ID, othersCutOff bool, now time.Time) Status {
	s := Status{Usable: len(usable), SinceContact: now.Sub(v.contactAt)}
	s.Quiet = s.SinceContact >= v.opts.Quiet
	for _, u := range usable {
		if f, unreached := v.unreached[u]; unreached && now.Sub(f.at) < v.opts.Memory {
			s.count(f.kind)
		}
	}
	needed := min(v.opts.MinUnreached, s.Usable)
	if othersCutOff || !v.lostAt.IsZero() && now.Sub(v.lostAt) < v.opts.RecentLoss {
		needed = 1
	}
	if s.Unreached == 0 || s.Unreached < needed {
		return s
	}
	share := float64(s.Unreached) / float64(s.Usable)
	s.CutOff = s.Quiet || share >= v.opts.UnreachedShare
	if s.CutOff {
		v.lostAt = now
	}
	return s
}

// count counts an upstream that can't be reached.
func (s *Status) count(kind Contact) {
	s.Unreached++
	switch kind {
	case Lost:
		s.Lost++
	case Silent:
		s.Silent++
	}
}

// Probe returns the upstream to connect to next, by a number drawn from 0 to 1, and false
// without usable upstreams. Half of the probes go to those that are not known as unreached: if
// one of them is reached, only some upstreams are not.
func (v *View) Probe(usable []upstream.ID, draw float64) (upstream.ID, bool) {
	var reached, unreached []upstream.ID
	for _, u := range usable {
		if _, failed := v.unreached[u]; failed {
			unreached = append(unreached, u)
			continue
		}
		reached = append(reached, u)
	}
	candidates := slices.Concat(unreached, reached)
	switch {
	case len(candidates) == 0:
		return "", false
	case len(unreached) == 0 || len(reached) == 0:
		return candidates[indexOf(draw, len(candidates))], true
	case draw < 0.5:
		return reached[indexOf(2*draw, len(reached))], true
	}
	return unreached[indexOf(2*draw-1, len(unreached))], true
}

// indexOf returns the index in n elements for a number drawn from 0 to 1.
func indexOf(draw float64, n int) int { return min(int(draw*float64(n)), n-1) }
