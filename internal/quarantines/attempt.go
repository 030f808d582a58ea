package quarantines

import (
	"time"

	"github.com/poplarshore/poplarshore/quarantine"
)

// Outcome is how an attempt ended.
type Outcome int

// The outcomes.
const (
	// Answered means that the upstream completed its answer, whatever that was.
	Answered Outcome = iota
	// Lost means that the connection ended before the answer was complete.
	Lost
	// Abandoned means that this VM gave the attempt up. Its upstream may go on for a while.
	Abandoned
	// NotRun means that the upstream did not run the request.
	NotRun
)

const (
	// soundAfter is how long after its beginning an answer shows that its upstream
	// survives the request.
	soundAfter = 300 * time.Millisecond
	// suspectedFor is how long after its end an abandoned attempt is suspected if the
	// upstream ends.
	suspectedFor = 500 * time.Millisecond
)

// Attempt is an attempt at an upstream. Its methods are called by one goroutine at a time;
// all are no-ops on nil.
type Attempt struct {
	guard *Guard
	of    quarantine.Incarnation
	keys  []quarantine.Key
	// begunAt is when the answer began, zero before that; sound is set once the answer has
	// shown that the upstream survives the request. endedAt is when this VM abandoned the
	// attempt. They are guarded by the guard's mutex.
	begunAt, endedAt time.Time
	sound            bool
}

// suspect describes the attempt as a suspect of its upstream's end. It returns false if
// the attempt is cleared, or too old.
func (a *Attempt) suspect(now time.Time) (quarantine.Suspect, bool) {
	if a.sound || len(a.keys) == 0 || !a.endedAt.IsZero() && now.Sub(a.endedAt) > suspectedFor {
		return quarantine.Suspect{}, false
	}
	return quarantine.Suspect{Keys: a.keys, Begun: !a.begunAt.IsZero()}, true
}

// AssumeRunning records that the request may run from now on, as its upstream doesn't tell
// before it has answered.
func (a *Attempt) AssumeRunning() {
	if a == nil {
		return
	}
	a.guard.mu.Lock()
	defer a.guard.mu.Unlock()
	a.begin()
}

// BeginAnswer records that the header of an answer came.
func (a *Attempt) BeginAnswer() {
	if a == nil {
		return
	}
	a.guard.mu.Lock()
	defer a.guard.mu.Unlock()
	a.begin()
	a.guard.noteAlive(a.of)
}

// begin sets begunAt once. The caller holds the guard's mutex.
func (a *Attempt) begin() {
	if a.begunAt.IsZero() {
		a.begunAt = a.guard.clock.Now()
	}
}

// RecordEvent records that a part of the answer came.
func (a *Attempt) RecordEvent() {
	if a == nil {
		return
	}
	a.guard.mu.Lock()
	defer a.guard.mu.Unlock()
	a.guard.noteAlive(a.of)
	if !a.sound && !a.begunAt.IsZero() && a.guard.clock.Since(a.begunAt) >= soundAfter {
		a.guard.markSound(a)
	}
}

// End records the end of the attempt. It is called once.
func (a *Attempt) End(o Outcome) {
	if a == nil {
		return
	}
	g := a.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	switch o {
	case Answered:
		g.noteAlive(a.of)
		g.markSound(a)
		g.remove(a)
	case Lost:
		g.recordLoss(a)
	case Abandoned:
		a.endedAt = g.clock.Now()
	case NotRun:
		g.remove(a)
	}
}
