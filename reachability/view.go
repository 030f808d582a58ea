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
	// Quiet is the time without anything from any upstream after which the way counts as lost if
	// MinUnreached contacts failed since, and UnreachedShare the share of unreached upstreams, 0 to
	// 1, from which it does whatever comes from the others.
	Quiet          time.Duration
	UnreachedShare float64
	// Memory is how long an upstream counts as unreached after its last failure, or as silent.
	Memory time.Duration
	// RecentLoss is the time after the way was lost in which one unreached upstream suffices, as
	// it is often lost again.
	RecentLoss time.Duration
	// Vouched is the time after a new connection to any upstream in which silence leaves no doubt
	// whether the way is lost.
	Vouched time.Duration
	// ClearingProbes is the number of upstreams that have to be reached again, one after the
	// other, for the way to be back.
	ClearingProbes int
}

// DefaultOptions returns the default options.
func DefaultOptions() Options {
	return Options{
		MinUnreached: 3, Quiet: 100 * time.Millisecond, UnreachedShare: 0.75,
		Memory: 10 * time.Second, RecentLoss: 15 * time.Second, Vouched: time.Second, ClearingProbes: 3,
	}
}

// View is what one VM knows of its way to the upstreams of one service. It is not safe for
// concurrent use.
type View struct {
	opts Options
	// unreached holds the upstreams with which the last contact failed, and silent those that
	// were silent.
	unreached map[upstream.ID]failure
	silent    map[upstream.ID]time.Time
	// contactAt is when anything last came from any upstream, and connectedAt when a connection to
	// one was last opened.
	contactAt, connectedAt time.Time
	// lostAt is when the way was last seen lost.
	lostAt time.Time
	// regained is the number of unreached upstreams that were connected to again since the
	// last failure.
	regained int
}

// NewView returns a View without contacts.
func NewView(opts Options) *View {
	return &View{opts: opts, unreached: make(map[upstream.ID]failure), silent: make(map[upstream.ID]time.Time)}
}

// Record records a contact.
func (v *View) Record(u upstream.ID, c Contact, now time.Time) {
	switch c {
	case Received:
		v.contactAt = now
		delete(v.unreached, u)
		delete(v.silent, u)
	case Connected:
		v.contactAt, v.connectedAt = now, now
		v.regain(u)
	case NotConnected, Lost:
		v.unreached[u] = failure{at: now, kind: c}
		delete(v.silent, u)
		v.regained = 0
	case Silent:
		v.recordSilence(u, now)
	}
}

// recordSilence records that an upstream was silent. That says nothing new of one that can't be reached.
func (v *View) recordSilence(u upstream.ID, now time.Time) {
	if v.isUnreached(u, now) {
		return
	}
	delete(v.unreached, u)
	v.silent[u] = now
}

// isUnreached reports whether the last contact with an upstream failed lately.
func (v *View) isUnreached(u upstream.ID, now time.Time) bool {
	f, failed := v.unreached[u]
	return failed && now.Sub(f.at) < v.opts.Memory
}

// Unreached returns the upstreams that can't be reached.
func (v *View) Unreached(now time.Time) []upstream.ID {
	var unreached []upstream.ID
	for u := range v.unreached {
		if v.isUnreached(u, now) {
			unreached = append(unreached, u)
		}
	}
	return unreached
}

// regain records that an upstream was connected to. If enough of those that can't be reached
// were, all others are given another chance. If a silent one was, the way is not to blame for the
// silence of the others.
func (v *View) regain(u upstream.ID) {
	if _, wasSilent := v.silent[u]; wasSilent {
		clear(v.silent)
	}
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
	maps.DeleteFunc(v.silent, func(u upstream.ID, _ time.Time) bool { return !keep(u) })
}

// AllReached reports that no upstream is known as unreached or silent.
func (v *View) AllReached() bool { return len(v.unreached) == 0 && len(v.silent) == 0 }

// Status is how a VM reaches the upstreams of a service.
type Status struct {
	// CutOff reports that the way to the service is lost.
	CutOff bool
	// InDoubt reports that the way is lost if the silent upstreams can't be reached, which a
	// connection to them shows.
	InDoubt bool
	// Quiet reports that nothing came from any upstream for Options.Quiet.
	Quiet bool
	// Unreached and Usable are the numbers of upstreams that can't be reached, and of all.
	Unreached, Usable int
	// Lost is the number of those among Unreached to which a connection was lost; no connection
	// could be opened to the others. Silent is the number of silent upstreams, which don't count as
	// unreached.
	Lost, Silent int
	// SinceContact is the time since anything came from any upstream.
	SinceContact time.Duration
}

// NoneReached reports that the way to the service is lost and no upstream is left to try: all are
// unreached, and some of them took no new connection. Those that only lost one may take another.
func (s Status) NoneReached() bool {
	return s.CutOff && s.Unreached == s.Usable && s.Lost < s.Unreached
}

// MayBeCutOff reports that the way to the service is lost, or that this is in doubt.
func (s Status) MayBeCutOff() bool { return s.CutOff || s.InDoubt }

// Status decides whether the way to the service is lost. Usable are the upstreams that
// requests may be sent to; othersCutOff reports whether the way to another service is lost.
func (v *View) Status(usable []upstream.ID, othersCutOff bool, now time.Time) Status {
	s := Status{Usable: len(usable), SinceContact: now.Sub(v.contactAt)}
	s.Quiet = s.SinceContact >= v.opts.Quiet
	var unreached, silent failures
	for _, u := range usable {
		if v.isUnreached(u, now) {
			f := v.unreached[u]
			s.countUnreached(f.kind)
			unreached.add(f.at, v.contactAt)
		}
		if v.isSilent(u, now) {
			s.Silent++
			silent.add(v.silent[u], v.contactAt)
		}
	}
	needed := min(v.opts.MinUnreached, s.Usable)
	if othersCutOff || !v.lostAt.IsZero() && now.Sub(v.lostAt) < v.opts.RecentLoss {
		needed = 1
	}
	s.CutOff = v.isLost(&s, unreached, needed)
	vouched := now.Sub(v.connectedAt) < v.opts.Vouched
	s.InDoubt = !s.CutOff && !vouched && s.Silent > 0 && v.isLost(&s, unreached.plus(silent), needed)
	if s.CutOff {
		v.lostAt = now
	}
	return s
}

// failures are the numbers of upstreams with which the last contact failed: all of them, and those with
// which it did since the last contact with any upstream.
type failures struct{ all, sinceContact int }

// add adds an upstream with which a contact failed at a time. The last contact with any upstream was at
// contactAt.
func (f *failures) add(failedAt, contactAt time.Time) {
	f.all++
	if !failedAt.Before(contactAt) {
		f.sinceContact++
	}
}

// plus returns the sums of both.
func (f failures) plus(other failures) failures {
	return failures{all: f.all + other.all, sinceContact: f.sinceContact + other.sinceContact}
}

// isLost reports whether the way is lost by the given failures, of which needed ones suffice. A contact
// shows that the way was there after the failures before it; these count only if nearly all upstreams fail.
func (v *View) isLost(s *Status, f failures, needed int) bool {
	if f.all == 0 || f.all < needed {
		return false
	}
	return s.Quiet && f.sinceContact >= needed || float64(f.all)/float64(s.Usable) >= v.opts.UnreachedShare
}

// isSilent reports whether an upstream was silent lately and nothing came from it since.
func (v *View) isSilent(u upstream.ID, now time.Time) bool {
	at, silent := v.silent[u]
	return silent && now.Sub(at) < v.opts.Memory
}

// countUnreached counts an upstream that can't be reached.
func (s *Status) countUnreached(kind Contact) {
	s.Unreached++
	if kind == Lost {
		s.Lost++
	}
}

// SilentAmong returns the upstreams that are silent among the usable ones, at most Options.MinUnreached.
func (v *View) SilentAmong(usable []upstream.ID, now time.Time) []upstream.ID {
	var silent []upstream.ID
	for _, u := range usable {
		if v.isSilent(u, now) && len(silent) < v.opts.MinUnreached {
			silent = append(silent, u)
		}
	}
	return silent
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
