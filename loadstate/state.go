package loadstate

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/link"
	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/upstream"
)

var ns = errorx.NewNamespace("loadstate")

// ErrUnknownUpstream is returned for an upstream that is not in any group.
var ErrUnknownUpstream = ns.NewType("unknown_upstream")

// Key identifies a group of upstreams: those of a model version or of a plain
// service.
type Key struct {
	Ref model.Ref
	// Service is the name of the plain service; Ref is then zero.
	Service string
}

// Breakers is the state of the circuit breakers.
type Breakers interface {
	// Ready reports whether the breaker of the upstream and version would admit an
	// attempt.
	Ready(id upstream.ID, ref model.Ref, now time.Time) bool
}

// Options configures a State.
type Options struct {
	// SmoothingWeight is the weight of a new sample in the moving averages, 0 to 1.
	SmoothingWeight float64
	// Breakers may be nil; no upstream then counts as refused by a breaker.
	Breakers Breakers
}

const defaultSmoothingWeight = 0.1

// DefaultOptions returns the default options: a smoothing weight of 0.1 and no
// circuit breakers.
func DefaultOptions() Options { return Options{SmoothingWeight: defaultSmoothingWeight} }

// GroupConfig is the configuration that Reconcile builds the groups from.
type GroupConfig struct {
	// Region is the region of this VM.
	Region domain.Region
	// Links gives latency and price of the links between regions.
	Links link.Map
	// RegionOf returns the region of a failure domain.
	RegionOf func(domain.ID) domain.Region
	// Groups lists the upstreams that this VM uses for each model version and plain
	// service.
	Groups map[Key][]*upstream.Upstream
}

// State tracks the load of the upstreams that a VM uses. It is safe for concurrent
// use.
type State struct {
	opts   Options
	tables atomic.Pointer[tables]
	// mu serializes writers of tables.
	mu sync.Mutex
}

// tables holds the groups and entries of one configuration. Its maps are not
// modified after it was stored; Reconcile replaces it.
type tables struct {
	groups  map[Key]*group
	entries map[upstream.ID]*entry
}

// New returns a state without upstreams.
func New(opts Options) *State {
	s := &State{opts: opts}
	s.tables.Store(&tables{groups: map[Key]*group{}, entries: map[upstream.ID]*entry{}})
	return s
}

// Reconcile installs the groups of a configuration. Upstreams that are also in the
// previous configuration keep their state. Calls on removed upstreams can still
// end.
func (s *State) Reconcile(p GroupConfig) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.tables.Load()
	next := &tables{
		groups:  make(map[Key]*group, len(p.Groups)),
		entries: make(map[upstream.ID]*entry),
	}
	for key, ups := range p.Groups {
		g := newGroup(p, key, ups, func(u *upstream.Upstream) *entry {
			return next.entryFor(old, u)
		})
		if previous, ok := old.groups[key]; ok && g.homes.sameUpstreams(previous.homes) {
			g.homes = previous.homes
		}
		next.groups[key] = g
	}
	s.tables.Store(next)
}

// entryFor returns the entry of an upstream and updates it from the configuration.
// An entry in old is reused.
func (t *tables) entryFor(old *tables, u *upstream.Upstream) *entry {
	if e, ok := t.entries[u.ID]; ok {
		return e
	}
	e, ok := old.entries[u.ID]
	if !ok {
		e = &entry{}
	}
	e.capacity.Store(int64(u.Capacity))
	e.declaredLeaving.Store(u.Leaving)
	t.entries[u.ID] = e
	return e
}

// ObserveLoad installs a load report and returns true. It ignores a report that is
// older than the last one and returns false. Errors: ErrUnknownUpstream.
func (s *State) ObserveLoad(id upstream.ID, r Report) (bool, error) {
	e, ok := s.tables.Load().entries[id]
	if !ok {
		return false, ErrUnknownUpstream.New("upstream %q is not in any group of the configuration", id)
	}
	return e.observe(r), nil
}

// SetLeaving sets or clears the mark of an upstream as leaving. An upstream that the
// configuration declares as leaving, or whose last report says that it is draining,
// counts as leaving regardless of it. Errors: ErrUnknownUpstream.
func (s *State) SetLeaving(id upstream.ID, leaving bool) error {
	e, ok := s.tables.Load().entries[id]
	if !ok {
		return ErrUnknownUpstream.New("upstream %q is not in any group of the configuration", id)
	}
	e.leaving.Store(leaving)
	return nil
}

// InFlight returns the number of requests that this VM has in flight on an
// upstream; zero for an unknown one.
func (s *State) InFlight(id upstream.ID) int {
	e, ok := s.tables.Load().entries[id]
	if !ok {
		return 0
	}
	return int(e.inFlight.Load())
}

// View returns a view of a group at the given time, or false if there is no such
// group.
func (s *State) View(key Key, now time.Time) (*View, bool) {
	g, ok := s.tables.Load().groups[key]
	if !ok {
		return nil, false
	}
	return &View{group: g, breakers: s.opts.Breakers, now: now}, true
}
