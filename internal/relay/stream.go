package relay

import (
	"bytes"
	"errors"
	"io"
	"strconv"
	"time"

	"github.com/poplarshore/poplarshore/internal/upconn"
	"github.com/poplarshore/poplarshore/refusal"
	"github.com/poplarshore/poplarshore/retry"
)

const (
	// An attempt may stay silent for this part of its route's target before
	// another upstream is thought of.
	headNumerator, headDenominator = 3, 4
	leastHeadWait                  = 300 * time.Millisecond
	// patienceFactor × the time at which an answer is due is how long an attempt
	// may stay silent at least.
	patienceFactor = 2
	// pauseFactor × the longest pause in time is how long a stream may be
	// silent before it goes on elsewhere.
	pauseFactor  = 2
	defaultPause = 5 * time.Second
	// askAgain is the time between two looks at an exhausted budget.
	askAgain = 250 * time.Millisecond
	// leastWait bounds every wait from below.
	leastWait = time.Millisecond
)

// patience returns how long the attempt may stay silent before another upstream
// is thought of.
func (a *attempt) patience() time.Duration {
	x := a.exchange
	left := max(x.left(), leastWait)
	if !x.state.Repeatable || x.route.TargetLatency <= 0 {
		return left
	}
	due := patienceFactor * (a.expected + a.work)
	return min(left, max(x.route.TargetLatency*headNumerator/headDenominator, due, leastHeadWait))
}

// maxPause returns how long the stream may be silent between events.
func (a *attempt) maxPause() time.Duration {
	x := a.exchange
	wait := defaultPause
	if x.route.MaxPause > 0 {
		wait = pauseFactor * x.route.MaxPause
	}
	return max(min(wait, x.left()), leastWait)
}

// silent decides on an attempt that has been silent for long: zero gives it up
// for another one, which is then paid for; else it is how long to wait on.
func (a *attempt) silent() time.Duration {
	x := a.exchange
	left := x.left()
	if left <= leastWait {
		return 0
	}
	// This attempt counts too: its upstream may run it.
	state := x.state
	state.Attempts++
	v := x.server.Retry.Decide(&state, retry.Failure{Kind: retry.Silent, Elsewhere: true}, 0, x.server.Clock.Now())
	if v.Action == retry.Retry {
		x.paid = true
		return 0
	}
	if v.Reason == retry.AccountBudget || v.Reason == retry.UpstreamBudget {
		return min(left, askAgain)
	}
	return left
}

// heard notes that a part of the answer has come.
func (a *attempt) heard() {
	a.flight.Heard()
	if a.first == 0 {
		a.first = a.exchange.server.Clock.Since(a.began)
		a.exchange.server.reading.add(a.model, a.exchange.request.PromptTokens, a.first)
	}
}

// paced notes the time of an event.
func (a *attempt) paced() {
	a.events++
	at := a.exchange.server.Clock.Since(a.began)
	if a.events > 1 {
		a.pause = max(a.pause, at-a.last)
	}
	a.last = at
	if gap := a.gap(); gap > 0 && !a.counted {
		a.counted = a.exchange.server.Versions.Slow(a.named(), gap)
	}
}

// events cuts a stream into whole events.
type events struct {
	buf []byte
	// used is the length of the events already taken.
	used int
}

// separator ends an event.
var separator = []byte("\n\n")

// next returns the next whole event, or nil if none has come yet.
func (e *events) next() []byte {
	i := bytes.Index(e.buf[e.used:], separator)
	if i < 0 {
		return nil
	}
	event := e.buf[e.used : e.used+i+len(separator)]
	e.used += len(event)
	return event
}

// compact drops the events that were taken.
func (e *events) compact() {
	e.buf = append(e.buf[:0], e.buf[e.used:]...)
	e.used = 0
}

// partial tells that an event has come in part.
func (e *events) partial() bool {
	return len(bytes.TrimSpace(e.buf[e.used:])) > 0
}

var idField = []byte("id:")

// eventID returns the id of an event; empty for none.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, idField); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}

const streamBufferBytes = 4 << 10

// stream passes a stream's whole events on as they come. The head is sent with
// the first event, so that until then another upstream may answer.
func (a *attempt) stream(answer *upconn.Answer) error {
	x := a.exchange
	var in events
	buf := make([]byte, streamBufferBytes)
	for {
		wait := a.maxPause()
		if a.first == 0 {
			wait = max(a.patience()-x.server.Clock.Since(a.began), a.maxPause())
		}
		n, err := a.read(answer, buf, wait)
		in.buf = append(in.buf, buf[:n]...)
		if sendErr := a.forward(answer, &in); sendErr != nil {
			return sendErr
		}
		switch {
		case err == nil:
			continue
		case !errors.Is(err, io.EOF):
			return err
		case in.partial():
			return upconn.ErrBroken.New("stream of %s ended within an event", a.engine.ID())
		}
		if !x.begun {
			x.open(answer.Status, answer.Header)
		}
		return nil
	}
}

// read reads the next bytes. On the way a silence that speaks against the
// attempt's version is counted.
func (a *attempt) read(answer *upconn.Answer, buf []byte, wait time.Duration) (int, error) {
	versions := a.exchange.server.Versions
	early := time.Duration(0)
	if a.first > 0 && !a.counted {
		early = versions.SlowSilence(a.named())
	}
	if early <= 0 || early >= wait {
		return answer.Read(buf, wait, a.silent)
	}
	asked := false
	return answer.Read(buf, early, func() time.Duration {
		if asked {
			return a.silent()
		}
		asked = true
		a.counted = versions.Slow(a.named(), early)
		return wait - early
	})
}

// forward passes the whole events on that have come.
func (a *attempt) forward(answer *upconn.Answer, in *events) error {
	x := a.exchange
	wrote := false
	for event := in.next(); event != nil; event = in.next() {
		a.heard()
		a.paced()
		id := eventID(event)
		if id != "" && !follows(id, x.lastEvent) {
			return upconn.ErrBroken.New("event %q of %s does not follow %q", id, a.engine.ID(), x.lastEvent)
		}
		if !x.begun {
			x.open(answer.Status, answer.Header)
			x.server.Metrics.firstEvent.WithLabelValues(x.route.Name).Observe(x.server.Clock.Since(x.began).Seconds())
		}
		if _, err := x.w.Write(event); err != nil {
			return refusal.Because(refusal.CallerGone, err)
		}
		wrote = true
		if id != "" {
			x.lastEvent = id
		}
	}
	in.compact()
	if !wrote {
		return nil
	}
	if err := x.control.Flush(); err != nil {
		return refusal.Because(refusal.CallerGone, err)
	}
	return nil
}

// follows tells that an event may come next after the last one. Numbers have
// to grow; other ids can't be compared.
func follows(id, last string) bool {
	if last == "" {
		return true
	}
	n, err := strconv.ParseInt(id, 10, 64)
	before, lastErr := strconv.ParseInt(last, 10, 64)
	if err != nil || lastErr != nil {
		return id != last
	}
	return n > before
}
