package retry

import (
	"sync"
	"time"
)

// Worth learns, for each kind of request, whether repeating it helps after an
// upstream answered with a failure of its own. Some failures belong to the
// request and come again wherever it is sent.
type Worth struct {
	mu     sync.Mutex
	byKind map[string]*worth
}

type worth struct {
	// rate is the smoothed part of repeats that helped.
	rate float64
	// triedAt is when a repeat was last let through.
	triedAt time.Time
}

const (
	// worthStart is assumed before any repeat was seen.
	worthStart = 0.6
	// worthLeast is the rate below which repeats are only samples.
	worthLeast = 0.3
	// worthSmoothing is the weight of the newest repeat.
	worthSmoothing = 0.2
	// worthSample is the time between samples of repeats that seldom help.
	worthSample = 5 * time.Second
)

// NewWorth returns one that has seen nothing.
func NewWorth() *Worth {
	return &Worth{byKind: make(map[string]*worth)}
}

// Try tells whether a repeat is worth it.
func (w *Worth) Try(kind string, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	at := w.get(kind)
	if at.rate < worthLeast && now.Sub(at.triedAt) < worthSample {
		return false
	}
	at.triedAt = now
	return true
}

// Record takes in whether a repeat helped.
func (w *Worth) Record(kind string, helped bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	at := w.get(kind)
	value := 0.0
	if helped {
		value = 1
	}
	at.rate += worthSmoothing * (value - at.rate)
}

func (w *Worth) get(kind string) *worth {
	at := w.byKind[kind]
	if at == nil {
		at = &worth{rate: worthStart}
		w.byKind[kind] = at
	}
	return at
}
