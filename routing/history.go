package routing

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// maxSuperseded is the number of superseded configurations that a History keeps, and
// supersededMaxAge the time for which it keeps them.
const (
	maxSuperseded    = 8
	supersededMaxAge = time.Minute
)

// History holds the configuration in force, and for a while those before it, by which requests
// are handled that began before they were superseded. The zero value holds none. It is safe for
// concurrent use.
type History struct {
	current atomic.Pointer[Table]

	mu sync.Mutex
	// superseded holds the former configurations, oldest first.
	superseded []supersededTable
}

// supersededTable is a former configuration and the time at which the next one came into force.
type supersededTable struct {
	table *Table
	until time.Time
}

// Table returns the configuration in force, or nil before the first one.
func (h *History) Table() *Table { return h.current.Load() }

// Install puts a configuration in force.
func (h *History) Install(t *Table, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if former := h.current.Load(); former != nil {
		h.superseded = append(h.superseded, supersededTable{former, now})
	}
	h.superseded = slices.DeleteFunc(h.superseded, func(s supersededTable) bool { return now.Sub(s.until) > supersededMaxAge })
	h.superseded = h.superseded[max(len(h.superseded)-maxSuperseded, 0):]
	h.current.Store(t)
}

// TableAt returns the configuration by which a request is handled that began at the given time:
// the oldest one that was in force later and has at least the given version, or else the one in
// force. It returns nil before the first one.
func (h *History) TableAt(began time.Time, minVersion int64) *Table {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.superseded {
		if s.until.After(began) && s.table.Version() >= minVersion {
			return s.table
		}
	}
	return h.current.Load()
}
