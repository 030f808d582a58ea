package relay

import (
	"errors"
	"io"
	"time"

	"github.com/poplarshore/poplarshore/internal/upconn"
	"github.com/poplarshore/poplarshore/reachability"
)

const (
	// An attempt may take this fraction of its route's latency target to send
	// the first event before another upstream is considered.
	headerWaitNumerator, headerWaitDenominator = 3, 4
	// minHeaderWait is the lower bound of that time.
	minHeaderWait = 300 * time.Millisecond
	// An attempt may take at least headerWaitFactor times the time at which its
	// first event is expected.
	headerWaitFactor = 2
	// A stream may pause for eventGapFactor times the route's longest allowed
	// gap, or for defaultEventGap if the route sets none, before it is resumed on
	// another upstream.
	eventGapFactor  = 2
	defaultEventGap = 5 * time.Second
	// maxEventBytes is the largest size of an event.
	maxEventBytes = 1 << 20
	// minWait is the lower bound of every wait, and minReadWait that of a read of a stream,
	// in which bytes that have arrived are always found.
	minWait     = time.Millisecond
	minReadWait = 50 * time.Millisecond
)

// headerWait returns how long the attempt may take to send the first bytes or
// events before another upstream is considered. A request that may not run again,
// or whose route has no latency target, waits until its deadline.
func (a *attempt) headerWait() time.Duration {
	x := a.exchange
	left := max(x.timeLeft(), minWait)
	if !x.retryState.Repeatable || x.route.TargetLatency <= 0 {
		return left
	}
	expected := headerWaitFactor * (a.expectedWait + a.expectedWork)
	return min(left, max(x.route.TargetLatency*headerWaitNumerator/headerWaitDenominator, expected, minHeaderWait))
}

// maxEventGap returns how long the stream may pause between events.
func (a *attempt) maxEventGap() time.Duration {
	x := a.exchange
	wait := defaultEventGap
	if x.route.MaxPause > 0 {
		wait = eventGapFactor * x.route.MaxPause
	}
	return max(min(wait, x.timeLeft()), minWait)
}

// recordReceived records that a part of the response arrived.
func (a *attempt) recordReceived() {
	a.tracked.MarkReceived()
	a.overdue = false
	a.recordContact(reachability.Received)
	if a.firstAfter == 0 {
		a.firstAfter = a.exchange.server.Clock.Since(a.startedAt)
		a.exchange.server.prefill.observe(a.model, a.exchange.request.PromptTokens, a.firstAfter)
		a.running.RecordFirst()
		a.reportFirst()
	}
}

// recordEvent records an event of a stream.
func (a *attempt) recordEvent() {
	at := a.exchange.server.Clock.Since(a.startedAt)
	if a.lastAfter > 0 {
		a.maxGap = max(a.maxGap, at-a.lastAfter)
	}
	a.lastAfter = at
	a.events++
	a.exchange.events++
	a.running.RecordEvent()
	a.guarded.RecordEvent()
}

// streamBufferBytes is the size of the buffer for reading a stream.
const streamBufferBytes = 4 << 10

// forwardStream forwards complete events as they arrive. The header is sent with
// the first event, so that another upstream may respond until then.
func (a *attempt) forwardStream(resp *upconn.Response) error {
	x := a.exchange
	pending := newEventBuffer(x.reserveFor(a.engine))
	defer pending.release()
	buf := make([]byte, streamBufferBytes)
	awaited := a.awaitEvent()
	for {
		if a.shouldMove() {
			return errMoved.New("stream from %s is too slow to end in time", a.engine.ID())
		}
		n, err := a.readPaced(resp, buf, max(awaited.left(x.server.Clock.Now()), minReadWait))
		if keepErr := pending.append(buf[:n]); keepErr != nil {
			return keepError(keepErr, string(a.engine.ID()))
		}
		forwarded, sendErr := a.forwardEvents(resp, pending)
		if sendErr != nil {
			return sendErr
		}
		if forwarded {
			a.recordPace()
			awaited = a.awaitEvent()
		}
		switch {
		case err == nil && awaited.isOver(x.server.Clock.Now()) && !a.mayWaitOn(&awaited):
			return upconn.ErrSilent.New("no event within the idle timeout from %s", a.engine.ID())
		case err == nil:
			continue
		case !errors.Is(err, io.EOF):
			return err
		}
		return x.endStream(resp, pending, a.events, string(a.engine.ID()))
	}
}

// readMonitored reads the next bytes of a stream and waits for them for the given
// time. Meanwhile, a pause that is too long for a good version is counted against
// the attempt's version.
func (a *attempt) readMonitored(resp *upconn.Response, buf []byte, wait time.Duration) (int, error) {
	slowAfter := a.running.MaxSilence()
	if slowAfter <= 0 || slowAfter >= wait {
		return resp.Read(buf, wait, a.onSilence)
	}
	slowChecked := false
	return resp.Read(buf, slowAfter, func() time.Duration {
		if slowChecked {
			return a.onSilence()
		}
		slowChecked = true
		a.running.RecordSilence()
		return wait - slowAfter
	})
}

// eventWait is the time until which the next event of a stream must come. Bytes that
// make up no event don't extend it.
type eventWait struct{ until time.Time }

// awaitEvent returns the wait for the next event from now on.
func (a *attempt) awaitEvent() eventWait {
	now := a.exchange.server.Clock.Now()
	wait := a.maxEventGap()
	if a.firstAfter == 0 {
		wait = max(a.headerWait()-now.Sub(a.startedAt), wait)
	}
	return eventWait{until: now.Add(wait)}
}

func (w eventWait) left(now time.Time) time.Duration { return w.until.Sub(now) }

func (w eventWait) isOver(now time.Time) bool { return w.left(now) <= 0 }

// mayWaitOn reports whether the attempt goes on although the wait is over, and extends it
// then.
func (a *attempt) mayWaitOn(w *eventWait) bool {
	more := a.onSilence()
	w.until = a.exchange.server.Clock.Now().Add(more)
	return more > 0
}

// forwardEvents forwards the complete events in the buffer to the caller. It reports whether there were any. Comments are
// forwarded, too, but count as none: they only show that the upstream is not silent.
func (a *attempt) forwardEvents(resp *upconn.Response, pending *eventBuffer) (bool, error) {
	written := false
	for event := pending.next(a.events > 0); event != nil; event = pending.next(a.events > 0) {
		comment := isComment(event)
		if comment {
			a.tracked.MarkReceived()
		} else {
			a.recordReceived()
			a.recordEvent()
		}
		if err := a.exchange.forwardEvent(resp, event, string(a.engine.ID())); err != nil {
			return written, err
		}
		written = written || !comment
	}
	pending.compact()
	return written, nil
}
