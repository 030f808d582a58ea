package relay

import (
	"time"

	"github.com/poplarshore/poplarshore/internal/upconn"
)

// errUnending reports that a response without events was not complete in time, although bytes of it came.
var errUnending = upconn.ErrBroken.NewSubtype("unending")

const (
	// The body of a response may take usualDurationFactor times what most requests of the route take, or this fraction of
	// the time that is left, before another upstream is considered.
	usualDurationFactor                    = 2
	bodyWaitNumerator, bodyWaitDenominator = 1, 2
)

// bodyWait is the time until which the body of an attempt's response must be complete, unless nothing else can serve the
// request. Bytes alone don't extend it, as a faulty upstream may send them without end.
type bodyWait struct {
	attempt *attempt
	eventWait
	// began is when the body began, and length that of the body; -1 if unknown.
	began  time.Time
	length int64
}

// awaitBody returns the wait for the body of the response.
func (a *attempt) awaitBody(resp *upconn.Response) *bodyWait {
	x := a.exchange
	now := x.server.Clock.Now()
	usual := usualDurationFactor*x.server.expectedDuration(x.remainder()) - now.Sub(a.startedAt)
	wait := max(x.timeLeft()*bodyWaitNumerator/bodyWaitDenominator, usual)
	length, known := resp.Length()
	if !known {
		length = -1
	}
	return &bodyWait{attempt: a, eventWait: eventWait{until: now.Add(wait)}, began: now, length: length}
}

// limit returns how long the next read may take. A shorter pause within a body counts as no silence.
func (w *bodyWait) limit(x *exchange) time.Duration {
	left := max(x.timeLeft(), minWait)
	if w == nil {
		return left
	}
	return min(max(w.left(x.server.Clock.Now()), silencePoll), left)
}

// onSilence returns what decides on a read, after the given number of bytes, that takes longer than its limit; nil gives
// up. A body that is known to end in time may pause.
func (w *bodyWait) onSilence(x *exchange, received int) func() time.Duration {
	if w == nil {
		return nil
	}
	return func() time.Duration {
		left := x.timeLeft()
		if left > minWait && w.endsInTime(left, x.server.Clock.Since(w.began), received) {
			return min(left, silencePoll)
		}
		return w.attempt.onSilence()
	}
}

// isOver reports whether the attempt is given up after the given number of bytes of the body: it took too long, is not
// known to end in time, and something else can serve the request.
func (w *bodyWait) isOver(x *exchange, received int) bool {
	if w == nil {
		return false
	}
	now, left := x.server.Clock.Now(), x.timeLeft()
	if !w.eventWait.isOver(now) || left <= minWait || w.endsInTime(left, now.Sub(w.began), received) {
		return false
	}
	more := w.attempt.waitOrGiveUp(left)
	w.until = now.Add(more)
	return more <= 0
}

// endsInTime reports whether the rest of a body of known length comes before the deadline if it goes on like its beginning.
func (w *bodyWait) endsInTime(left, passed time.Duration, received int) bool {
	if w.length < 0 || received == 0 {
		return false
	}
	rest := float64(w.length - int64(received))
	return rest*float64(passed) <= float64(left)*float64(received)
}
