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

// Trial is an attempt at an upstream. Its methods are called by one goroutine at a time;
// all are no-ops on nil.
type Trial struct {
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
func (t *Trial) suspect(now time.Time) (quarantine.Suspect, bool) {
	if t.sound || len(t.keys) == 0 || !t.endedAt.IsZero() && now.Sub(t.endedAt) > suspectedFor {
		return quarantine.Suspect{}, false
	}
	return quarantine.Suspect{Keys: t.keys, Begun: !t.begunAt.IsZero()}, true
}

// AssumeRunning records that the request may run from now on, as its upstream doesn't tell
// before it has answered.
func (t *Trial) AssumeRunning() {
	if t == nil {
		return
	}
	t.guard.mu.Lock()
	defer t.guard.mu.Unlock()
	t.begin()
}

// BeginAnswer records that the header of an answer came.
func (t *Trial) BeginAnswer() {
	if t == nil {
		return
	}
	t.guard.mu.Lock()
	defer t.guard.mu.Unlock()
	t.begin()
	t.guard.noteAlive(t.of)
}

// begin sets begunAt once. The caller holds the guard's mutex.
func (t *Trial) begin() {
	if t.begunAt.IsZero() {
		t.begunAt = t.guard.clock.Now()
	}
}

// RecordEvent records that a part of the answer came.
func (t *Trial) RecordEvent() {
	if t == nil {
		return
	}
	t.guard.mu.Lock()
	defer t.guard.mu.Unlock()
	t.guard.noteAlive(t.of)
	if !t.sound && !t.begunAt.IsZero() && t.guard.clock.Since(t.begunAt) >= soundAfter {
		t.guard.markSound(t)
	}
}

// End records the end of the attempt. It is called once.
func (t *Trial) End(o Outcome) {
	if t == nil {
		return
	}
	g := t.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	switch o {
	case Answered:
		g.noteAlive(t.of)
		g.markSound(t)
		g.remove(t)
	case Lost:
		g.recordLoss(t)
	case Abandoned:
		t.endedAt = g.clock.Now()
	case NotRun:
		g.remove(t)
	}
}
