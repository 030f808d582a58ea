package relay

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/poplarshore/poplarshore/internal/upconn"
)

// isEventStream reports whether a response is a stream of server-sent events.
func isEventStream(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}

// continuesStream reports whether a response may go on with the stream that the caller has a part
// of. An error may come as an event stream, too.
func (x *exchange) continuesStream(resp *upconn.Response) bool {
	return resp.Status == x.status && isEventStream(resp.Header)
}

// forwardEvent forwards an event to the caller, after the header if that was not sent yet. Errors:
// ErrBroken if the event doesn't follow the last one, a CallerGone refusal.
func (x *exchange) forwardEvent(resp *upconn.Response, event []byte, sender string) error {
	id := eventID(event)
	switch {
	case id != "" && !isLaterEvent(id, x.lastEvent):
		return upconn.ErrBroken.New("event id %q from %s does not follow the last id %q", id, sender, x.lastEvent)
	case id == "" && x.lastEvent != "" && !isComment(event):
		return upconn.ErrBroken.New("event without id from %s after the one with id %q", sender, x.lastEvent)
	}
	if !x.headerSent {
		x.sendHeader(resp.Status, resp.Header)
		x.server.Metrics.firstEvent.WithLabelValues(x.route.Name).Observe(x.server.Clock.Since(x.startedAt).Seconds())
	}
	if err := x.sendPart(event); err != nil {
		return err
	}
	if id != "" {
		x.lastEvent = id
	}
	if !isComment(event) {
		x.mayHaveEnded = false
	}
	return nil
}

// isLaterEvent reports whether the event with the given id may follow the last
// one. Numeric ids must increase; other ids have no order and must only differ.
func isLaterEvent(id, last string) bool {
	if last == "" {
		return true
	}
	n, err := strconv.ParseInt(id, 10, 64)
	lastN, lastErr := strconv.ParseInt(last, 10, 64)
	if err != nil || lastErr != nil {
		return id != last
	}
	return n > lastN
}

// endStream ends the caller's stream as complete after the end of a response with the given number of
// events, or returns why it is not complete. A resumed stream without an event is complete only if nothing
// may have been left to send. Errors: ErrConnectionLost, ErrBroken.
func (x *exchange) endStream(resp *upconn.Response, pending *eventBuffer, events int, sender string) error {
	comments := pending.takeComments()
	switch {
	case pending.hasPartial():
		return upconn.ErrConnectionLost.New("stream from %s ended within an event", sender)
	case resp.EndsWithConnection() && events == 0:
		return upconn.ErrConnectionLost.New("connection to %s ended before the first event", sender)
	case x.headerSent && events == 0 && !x.mayHaveEnded:
		return upconn.ErrBroken.New("resumed stream from %s ended before an event", sender)
	case !x.headerSent:
		x.sendHeader(resp.Status, resp.Header)
	}
	if len(comments) > 0 {
		return x.sendPart(comments)
	}
	return nil
}
