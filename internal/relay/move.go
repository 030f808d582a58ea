package relay

import (
	"time"

	"github.com/joomcode/errorx"

	"github.com/poplarshore/poplarshore/internal/upconn"
	"github.com/poplarshore/poplarshore/pace"
	"github.com/poplarshore/poplarshore/retry"
)

// errMoved reports that a stream was ended in order to go on at a faster upstream. It is no
// failure of the upstream or its version.
var errMoved = errorx.NewNamespace("relay").NewType("moved")

const (
	// moveCheckInterval is the interval at which a silent stream is checked, and
	// moveRetryInterval that at which a faster upstream is looked for again.
	moveCheckInterval = 250 * time.Millisecond
	moveRetryInterval = 500 * time.Millisecond
)

// moveState is what an attempt needs in order to be moved.
type moveState struct {
	// firstEventAt is when the first event came, lastReadyAt when the newest one had been
	// forwarded, and heldUp the time that forwarding took in all.
	firstEventAt, lastReadyAt time.Time
	heldUp                    time.Duration
	// checkAfter is the time before which no other upstream is looked for.
	checkAfter time.Time
}

// recordForwarded records that an event has been forwarded, which took the given time. A caller
// that reads slowly holds up its stream at every upstream.
func (m *moveState) recordForwarded(now time.Time, took time.Duration) {
	if m.firstEventAt.IsZero() {
		m.firstEventAt = now
	} else {
		m.heldUp += took
	}
	m.lastReadyAt = now
}

// mayMove reports whether the stream may go on at another upstream: once for each request, and
// after an event with an id.
func (a *attempt) mayMove() bool {
	x := a.exchange
	return x.server.opts.AnswerEnd && !x.moved && x.retryState.Resumable && a.events > 0 &&
		x.lastEvent != "" && x.lastEvent != x.request.LastEvent
}

// progress returns the stream as it runs now.
func (a *attempt) progress(now time.Time) pace.Stream {
	return pace.Stream{
		Events: a.events, Running: now.Sub(a.move.firstEventAt) - a.move.heldUp, Silence: now.Sub(a.move.lastReadyAt),
		TimeLeft: a.exchange.timeLeft(), Left: a.exchange.lengthLeft(),
	}
}

// shouldMove reports whether the stream can't end in time here and is expected to at another
// upstream. The retry budget has then been charged for the next attempt.
func (a *attempt) shouldMove() bool {
	x := a.exchange
	if !a.mayMove() {
		return false
	}
	s, now := x.server, x.server.Clock.Now()
	stream := a.progress(now)
	if now.Before(a.move.checkAfter) || !stream.Hopeless() {
		return false
	}
	a.move.checkAfter = now.Add(moveRetryInterval)
	if x.refuseUnfinishable() != nil {
		s.Metrics.moves.WithLabelValues(plannedStop).Inc()
		return false
	}
	req := x.requirements()
	req.Tried = append(req.Tried[:len(req.Tried):len(req.Tried)], a.engine.ID())
	choice := s.Placement.Choose(req)
	if choice.Engine == nil || !stream.Pays(pace.Elsewhere{End: choice.AnswerEnd, Utilization: choice.Engine.Utilization()}) {
		s.Metrics.moves.WithLabelValues("no_faster_upstream").Inc()
		return false
	}
	if choice.Engine.IsSilent() {
		// Silent upstreams are chosen last: no other one is there.
		s.Metrics.moves.WithLabelValues("silent_upstream").Inc()
		return false
	}
	// Count this attempt as well, since its upstream runs it.
	retryState := x.retryState
	retryState.Attempts++
	decision := s.Retry.Decide(&retryState, retry.Failure{Kind: retry.TooSlow, HasAlternative: true}, 0, now)
	s.Metrics.retries.WithLabelValues(retry.TooSlow.String(), decision.Reason.String()).Inc()
	if decision.Action != retry.Retry {
		s.Metrics.moves.WithLabelValues("denied").Inc()
		return false
	}
	s.Metrics.moves.WithLabelValues("begun").Inc()
	x.moved, x.retryPrepaid, x.mayHaveEnded = true, true, true
	return true
}

// readPaced reads the next bytes of a stream and waits for them for the given time. While the
// stream may be moved it returns without bytes after moveCheckInterval.
func (a *attempt) readPaced(resp *upconn.Response, buf []byte, wait time.Duration) (int, error) {
	if wait <= moveCheckInterval || !a.mayMove() {
		return a.readMonitored(resp, buf, wait)
	}
	silent := false
	n, err := resp.Read(buf, moveCheckInterval, func() time.Duration {
		silent = true
		return 0
	})
	if !silent {
		return n, err
	}
	silence := a.exchange.server.Clock.Since(a.move.lastReadyAt)
	if slowAfter := a.running.MaxSilence(); slowAfter > 0 && silence >= slowAfter {
		a.running.RecordSilence()
	}
	return 0, nil
}

// recordMoved counts how an exchange ended whose stream was moved.
func (x *exchange) recordMoved(outcome string) {
	if !x.moved {
		return
	}
	if outcome != "answered" {
		outcome = "failed"
	}
	x.server.Metrics.moves.WithLabelValues(outcome).Inc()
}
