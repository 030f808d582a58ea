package engines

import (
	"time"

	"github.com/poplarshore/poplarshore/route"
)

// MarkLeaving marks the upstream as leaving, as it reported itself.
func (e *Engine) MarkLeaving() {
	if !e.leaving.CompareAndSwap(false, true) {
		return
	}
	d := e.directory
	d.selfReports.WithLabelValues("leaving").Inc()
	d.log.Info("upstream reports that it is leaving", "upstream", e.ID(), "service", e.entry().Service)
}

// maxPause bounds the time for which an upstream may pause this VM, as for an upstream whose clock or
// configuration is wrong.
const maxPause = time.Hour

// Pause sends no new requests to the upstream for the given time, because it asked for
// that. A shorter pause does not end a longer one.
func (e *Engine) Pause(d time.Duration) {
	d = min(d, maxPause)
	until := e.directory.clock.Now().Add(d)
	e.mu.Lock()
	extended := until.After(e.pausedUntil)
	if extended {
		e.pausedUntil = until
	}
	e.mu.Unlock()
	if extended {
		e.directory.selfReports.WithLabelValues("paused").Inc()
		e.directory.log.Info("upstream asks for a pause", "upstream", e.ID(), "pause_ms", d.Milliseconds())
	}
}

// SilencePenalty is for how long an upstream is avoided after a request to it timed out
// while nothing came from it.
const SilencePenalty = 3 * time.Second

// MarkSilent records that a request to the upstream timed out while nothing came from it.
// The upstream may have stopped responding. Without this it would look idle, above all under a load that
// fills the others. It adds to the cost of the upstream and not to its expected wait: it
// is used if there is no other, as this VM may itself have been frozen or cut off.
func (e *Engine) MarkSilent() {
	until := e.directory.clock.Now().Add(SilencePenalty)
	e.mu.Lock()
	defer e.mu.Unlock()
	if until.After(e.silentUntil) {
		e.silentUntil = until
	}
}

// forgetFailures forgets the upstream's recent failures and silence.
func (e *Engine) forgetFailures() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failureRate, e.silentUntil = 0, time.Time{}
	e.cold.ForgetContact()
	e.window.End()
}

// UpdateLoad stores the upstream's own load report.
func (e *Engine) UpdateLoad(l route.Load) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.report, e.reportedAt = l, e.directory.clock.Now()
	e.pace.ownReportAt = e.reportedAt
	e.setRemoteRequests(l)
}

// pauseLeft returns how long the upstream's pause still lasts; zero or less if it is not
// paused.
func (e *Engine) pauseLeft(now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.pausedUntil.Sub(now)
}
