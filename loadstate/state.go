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

// ErrUnknownUpstream is returned for an upstream that is in no group.
var ErrUnknownUpstream = ns.NewType("unknown_upstream")

// Key names a group: a model version or a plain service.
type Key struct {
	Ref     model.Ref
	Service string
}

// Gate tells whether a circuit breaker lets work through.
type Gate interface {
	Ready(id upstream.ID, ref model.Ref, now time.Time) bool
}

// Options set up a State.
type Options struct {
	// Weight of one sample in smoothed times, 0 to 1.
	Weight float64
	// Gate may be nil: then nothing is refused.
	Gate Gate
}

const defaultWeight = 0.1

// DefaultOptions returns the default options.
func DefaultOptions() Options { return Options{Weight: defaultWeight} }

// Placement is the configuration that groups are made from.
type Placement struct {
	// Region is the region of this VM.
	Region domain.Region
	Links  link.Map
	// RegionOf returns the region of a failure domain.
	RegionOf func(domain.ID) domain.Region
	// Groups lists the upstreams in sight for each version and service.
	Groups map[Key][]*upstream.Upstream
}

// State is what a VM knows about the load of its upstreams.
type State struct {
	opts   Options
	tables atomic.Pointer[tables]
	// mu joins writers of tables.
	mu sync.Mutex
}

// tables is replaced as a whole.
type tables struct {
	groups  map[Key]*group
	entries map[upstream.ID]*entry
}

// New returns an empty state.
func New(opts Options) *State {
	s := &State{opts: opts}
	s.tables.Store(&tables{groups: map[Key]*group{}, entries: map[upstream.ID]*entry{}})
	return s
}

// Reconcile installs the groups of a configuration. Upstreams that were known
// before keep their state; calls on upstreams that are gone may still end.
func (s *State) Reconcile(p Placement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.tables.Load()
	next := &tables{
		groups:  make(map[Key]*group, len(p.Groups)),
		entries: make(map[upstream.ID]*entry),
	}
	for key, ups := range p.Groups {
		g := newGroup(p, key, ups, func(u *upstream.Upstream) *entry {
			return next.entry(old, u)
		})
		if before, ok := old.groups[key]; ok && g.homes.same(before.homes) {
			g.homes = before.homes
		}
		next.groups[key] = g
	}
	s.tables.Store(next)
}

// entry returns the entry of an upstream, carried over from old if it was known.
func (t *tables) entry(old *tables, u *upstream.Upstream) *entry {
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

// ObserveLoad takes in a report. Reports older than the last one are dropped
// and false is returned.
func (s *State) ObserveLoad(id upstream.ID, r Report) (bool, error) {
	e, ok := s.tables.Load().entries[id]
	if !ok {
		return false, ErrUnknownUpstream.New("upstream %q is in no group", id)
	}
	return e.observe(r), nil
}

// SetLeaving marks an upstream as leaving, or as staying again. An upstream that
// the configuration declares as leaving stays so.
func (s *State) SetLeaving(id upstream.ID, leaving bool) error {
	e, ok := s.tables.Load().entries[id]
	if !ok {
		return ErrUnknownUpstream.New("upstream %q is in no group", id)
	}
	e.leaving.Store(leaving)
	return nil
}

// InFlight returns this VM's requests on an upstream.
func (s *State) InFlight(id upstream.ID) int {
	e, ok := s.tables.Load().entries[id]
	if !ok {
		return 0
	}
	return int(e.inFlight.Load())
}

// View returns a group as it is seen at a time, or false if there is none.
func (s *State) View(key Key, now time.Time) (*View, bool) {
	g, ok := s.tables.Load().groups[key]
	if !ok {
		return nil, false
	}
	return &View{group: g, gate: s.opts.Gate, now: now}, true
}
