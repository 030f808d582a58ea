package engineclient

import (
	"sync"
	"time"
)

// silenceTimer gives a stream up if nothing new arrives in time. It runs while something is waited for, between begin
// and end. It is safe for concurrent use.
type silenceTimer struct {
	limit time.Duration
	// waitOn reports whether to wait for the limit once more, as Call.WaitOn; nil is never.
	waitOn func() bool
	giveUp func()

	mu      sync.Mutex
	timer   *time.Timer
	until   time.Time
	waiting bool
	expired bool
}

// newSilenceTimer returns a timer that is not running.
func newSilenceTimer(limit time.Duration, waitOn func() bool, giveUp func()) *silenceTimer {
	t := &silenceTimer{limit: limit, waitOn: waitOn, giveUp: giveUp, until: time.Now().Add(limit)}
	t.timer = time.AfterFunc(limit, t.onTimer)
	t.timer.Stop()
	return t
}

// renew starts the limit again, as something new has arrived.
func (t *silenceTimer) renew(limit time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limit, t.until = limit, time.Now().Add(limit)
}

// pause adds time that doesn't count.
func (t *silenceTimer) pause(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.until = t.until.Add(d)
}

// insist ends the waiting beyond the limit, as bytes have arrived.
func (t *silenceTimer) insist() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waitOn = nil
}

// begin begins to wait. It returns false if the stream has been given up, also for a limit that has passed.
func (t *silenceTimer) begin() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waiting = true
	if wait := time.Until(t.until); wait > 0 && !t.expired {
		t.timer.Reset(wait)
		return true
	}
	t.expire()
	return false
}

// end ends the wait.
func (t *silenceTimer) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waiting = false
	t.timer.Stop()
}

// hasExpired reports whether the stream was given up.
func (t *silenceTimer) hasExpired() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.expired
}

// onTimer is called when the timer ends. A wait may have ended, or have been renewed, at the same moment.
func (t *silenceTimer) onTimer() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.waiting || t.expired {
		return
	}
	if wait := time.Until(t.until); wait > 0 {
		t.timer.Reset(wait)
		return
	}
	if t.waitOn != nil && t.waitOn() {
		t.until = time.Now().Add(t.limit)
		t.timer.Reset(t.limit)
		return
	}
	t.expire()
}

// expire gives the stream up. The caller holds mu.
func (t *silenceTimer) expire() {
	if !t.expired {
		t.expired = true
		t.giveUp()
	}
}
