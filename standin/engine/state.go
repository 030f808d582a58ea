package engine

import (
	"net/http"
	"sync"
	"time"

	"github.com/poplarshore/poplarshore/standin/host"
)

// VersionRef names a version of a model.
type VersionRef struct {
	Model   string `json:"model"`
	Version string `json:"version"`
}

// VersionState is a version with its state at the engine.
type VersionState struct {
	VersionRef
	Loaded bool `json:"loaded"`
}

// Order is the desired state that PUT /state sets.
type Order struct {
	Fence      uint64       `json:"fence"`
	Generation uint64       `json:"generation"`
	Versions   []VersionRef `json:"versions"`
	Role       string       `json:"role"`
}

// State is the answer to GET and PUT /state.
type State struct {
	Fence      uint64         `json:"fence"`
	Generation uint64         `json:"generation"`
	Versions   []VersionState `json:"versions"`
	Role       string         `json:"role"`
	// Fencing tells whether the engine refuses orders with an old fence.
	Fencing  bool `json:"fencing"`
	Draining bool `json:"draining"`
}

// LoadReport is the answer to GET /load.
type LoadReport struct {
	AtUnixMs int64 `json:"at_unix_ms"`
	Running  int   `json:"running"`
	Waiting  int   `json:"waiting"`
	Capacity int   `json:"capacity"`
	// KVUsed is the share of the prefix cache that is taken, from 0 to 1.
	KVUsed   float64        `json:"kv_used"`
	Versions []VersionState `json:"versions"`
	Draining bool           `json:"draining"`
}

type state struct {
	fencing  bool
	loadTime time.Duration

	mu         sync.Mutex
	fence      uint64
	generation uint64
	role       string
	draining   bool
	order      []VersionRef
	readyAt    map[VersionRef]time.Time
}

func newState(o Options) *state {
	s := &state{fencing: o.Fencing, loadTime: o.LoadTime, readyAt: make(map[VersionRef]time.Time)}
	for _, v := range o.Versions {
		s.order = append(s.order, v)
		s.readyAt[v] = o.Clock.Now()
	}
	return s
}

// apply puts an order in force and reports whether it was accepted. Versions
// load one after the other.
func (s *state) apply(o Order, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fencing && o.Fence < s.fence {
		return false
	}
	s.fence, s.generation, s.role = o.Fence, o.Generation, o.Role
	readyAt := make(map[VersionRef]time.Time, len(o.Versions))
	next := now
	for _, v := range o.Versions {
		at, known := s.readyAt[v]
		if !known {
			next = next.Add(s.loadTime)
			at = next
		}
		readyAt[v] = at
	}
	s.order, s.readyAt = o.Versions, readyAt
	return true
}

func (s *state) loaded(v VersionRef, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.readyAt[v]
	return ok && !now.Before(at)
}

func (s *state) drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

func (s *state) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

func (s *state) view(now time.Time) State {
	s.mu.Lock()
	defer s.mu.Unlock()
	versions := make([]VersionState, 0, len(s.order))
	for _, v := range s.order {
		versions = append(versions, VersionState{VersionRef: v, Loaded: !now.Before(s.readyAt[v])})
	}
	return State{
		Fence: s.fence, Generation: s.generation, Versions: versions,
		Role: s.role, Fencing: s.fencing, Draining: s.draining,
	}
}

// reporter keeps the load report that is shown until it is too old.
type reporter struct {
	mu    sync.Mutex
	last  LoadReport
	taken time.Time
}

func (s *Server) getLoad(w http.ResponseWriter, r *http.Request) {
	if _, ok := s.Faults.Trigger(r, NoLoad); ok {
		writeError(w, http.StatusServiceUnavailable, "server_error", "injected error")
		return
	}
	host.WriteJSON(w, http.StatusOK, s.Load())
}

// Load returns the load report that is shown now.
func (s *Server) Load() LoadReport {
	s.report.mu.Lock()
	defer s.report.mu.Unlock()
	now := s.clock.Now()
	if !s.report.taken.IsZero() && now.Sub(s.report.taken) < s.options.ReportLag {
		return s.report.last
	}
	running, waiting := s.batch.sizes()
	view := s.state.view(now)
	s.report.taken = now
	s.report.last = LoadReport{
		AtUnixMs: now.UnixMilli(), Running: running, Waiting: waiting, Capacity: s.options.Capacity,
		KVUsed: s.prefixes.used(), Versions: view.Versions, Draining: view.Draining,
	}
	return s.report.last
}

func (s *Server) getState(w http.ResponseWriter, _ *http.Request) {
	host.WriteJSON(w, http.StatusOK, s.state.view(s.clock.Now()))
}

func (s *Server) putState(w http.ResponseWriter, r *http.Request) {
	var order Order
	if !host.ReadJSON(w, r, &order) {
		return
	}
	now := s.clock.Now()
	status := http.StatusOK
	if !s.state.apply(order, now) {
		status = http.StatusConflict
	}
	host.WriteJSON(w, status, s.state.view(now))
}
