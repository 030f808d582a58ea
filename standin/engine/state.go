package engine

import (
	"net/http"
	"sync"
	"time"

	"github.com/poplarshore/poplarshore/standin/host"
)

// VersionRef identifies a version of a model.
type VersionRef struct {
	Model   string `json:"model"`
	Version string `json:"version"`
}

// VersionState is the state of a version at the engine.
type VersionState struct {
	VersionRef
	// Loaded reports whether the version has been loaded and accepts requests.
	Loaded bool `json:"loaded"`
}

// Order is the body of PUT /state: the desired state of the engine.
type Order struct {
	// Fence is the fencing token of the sender.
	Fence uint64 `json:"fence"`
	// Generation is stored and returned with the state; the engine doesn't interpret it.
	Generation uint64 `json:"generation"`
	// Versions are the versions to have loaded. All others are unloaded at once.
	Versions []VersionRef `json:"versions"`
	// Role is stored and returned with the state; the engine doesn't interpret it.
	Role string `json:"role"`
}

// State is the response to GET and PUT /state: the order in force and its progress.
type State struct {
	Fence      uint64         `json:"fence"`
	Generation uint64         `json:"generation"`
	Versions   []VersionState `json:"versions"`
	Role       string         `json:"role"`
	// Fencing reports whether the engine refuses orders with a lower fencing token than the
	// last one.
	Fencing  bool `json:"fencing"`
	Draining bool `json:"draining"`
}

// LoadReport is the response to GET /load.
type LoadReport struct {
	// AtUnixMs is the time of the report, in milliseconds since the Unix epoch.
	AtUnixMs int64 `json:"at_unix_ms"`
	// Running is the number of running requests.
	Running int `json:"running"`
	// Waiting is the number of requests that wait for a slot.
	Waiting int `json:"waiting"`
	// Capacity is the maximum number of running requests.
	Capacity int `json:"capacity"`
	// KVUsed is the used share of the prefix cache, from 0 to 1.
	KVUsed   float64        `json:"kv_used"`
	Versions []VersionState `json:"versions"`
	Draining bool           `json:"draining"`
}

// state is the order in force and whether the engine is draining. It is safe for concurrent
// use.
type state struct {
	fencing  bool
	loadTime time.Duration

	mu         sync.Mutex
	fence      uint64
	generation uint64
	role       string
	draining   bool
	order      []VersionRef
	// readyAt holds the time at which each version of the order is loaded.
	readyAt map[VersionRef]time.Time
}

func newState(o Options) *state {
	s := &state{fencing: o.Fencing, loadTime: o.LoadTime, readyAt: make(map[VersionRef]time.Time)}
	for _, v := range o.Versions {
		s.order = append(s.order, v)
		s.readyAt[v] = o.Clock.Now()
	}
	return s
}

// apply puts an order in force and reports whether it was accepted. Versions that are not
// loaded yet are loaded one after the other.
func (s *state) apply(o Order, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fencing && o.Fence < s.fence {
		return false
	}
	s.fence, s.generation, s.role = o.Fence, o.Generation, o.Role
	readyAt := make(map[VersionRef]time.Time, len(o.Versions))
	nextReadyAt := now
	for _, v := range o.Versions {
		loadedAt, known := s.readyAt[v]
		if !known {
			nextReadyAt = nextReadyAt.Add(s.loadTime)
			loadedAt = nextReadyAt
		}
		readyAt[v] = loadedAt
	}
	s.order, s.readyAt = o.Versions, readyAt
	return true
}

// isLoaded reports whether a version has been loaded.
func (s *state) isLoaded(v VersionRef, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	readyAt, ok := s.readyAt[v]
	return ok && !now.Before(readyAt)
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

func (s *state) snapshot(now time.Time) State {
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

// loadReportCache holds the newest load report, which is served until it is
// Options.ReportLag old.
type loadReportCache struct {
	mu        sync.Mutex
	last      LoadReport
	createdAt time.Time
}

func (s *Server) getLoad(w http.ResponseWriter, r *http.Request) {
	if _, ok := s.Faults.Trigger(r, LoadReportError); ok {
		writeError(w, http.StatusServiceUnavailable, "server_error", "injected error")
		return
	}
	host.WriteJSON(w, http.StatusOK, s.Load())
}

// Load returns the current load report, which may be up to Options.ReportLag old.
func (s *Server) Load() LoadReport {
	s.loadReports.mu.Lock()
	defer s.loadReports.mu.Unlock()
	now := s.clock.Now()
	if !s.loadReports.createdAt.IsZero() && now.Sub(s.loadReports.createdAt) < s.options.ReportLag {
		return s.loadReports.last
	}
	running, waiting := s.scheduler.occupancy()
	state := s.state.snapshot(now)
	s.loadReports.createdAt = now
	s.loadReports.last = LoadReport{
		AtUnixMs: now.UnixMilli(), Running: running, Waiting: waiting, Capacity: s.options.Capacity,
		KVUsed: s.prefixes.utilization(), Versions: state.Versions, Draining: state.Draining,
	}
	return s.loadReports.last
}

func (s *Server) getState(w http.ResponseWriter, _ *http.Request) {
	host.WriteJSON(w, http.StatusOK, s.state.snapshot(s.clock.Now()))
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
	host.WriteJSON(w, status, s.state.snapshot(now))
}
