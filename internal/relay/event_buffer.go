package relay

import (
	"bytes"

	"github.com/poplarshore/poplarshore/internal/membudget"
)

// eventBuffer splits a stream into complete server-sent events.
type eventBuffer struct {
	kept *membudget.Buffer
	// consumed is the length of the events already returned by next, and searched that of
	// the part in which no further event ends.
	consumed, searched int
	// comments is the length of the comments before the event that is not complete yet.
	comments int
}

// takeComments returns the comments after which no event has come; empty if there are none.
func (e *eventBuffer) takeComments() []byte {
	comments := e.kept.Bytes()[e.consumed : e.consumed+e.comments]
	e.consumed, e.comments = e.consumed+e.comments, 0
	return comments
}

// newEventBuffer returns an empty buffer. What it keeps is reserved.
func newEventBuffer(r *membudget.Reservation) *eventBuffer {
	return &eventBuffer{kept: membudget.NewBuffer(r, maxEventBytes)}
}

// release drops what is kept.
func (e *eventBuffer) release() { e.kept.Release() }

// append adds bytes of the stream. Errors: those of membudget.Buffer.
func (e *eventBuffer) append(p []byte) error { return e.kept.Append(p) }

// next returns the next complete event, or nil if there is none yet. The event is
// valid until compact is called. Comments are events of their own, or the beginning of the event that
// follows them if loneComments is false.
func (e *eventBuffer) next(loneComments bool) []byte {
	buf := e.kept.Bytes()
	for {
		from := max(e.searched-len(crlfEnd)+1, e.consumed+e.comments)
		length := endOfEvent(buf[from:])
		if length == 0 {
			e.searched = len(buf)
			return nil
		}
		end := from + length
		e.searched = end
		if !loneComments && isComment(buf[e.consumed+e.comments:end]) {
			e.comments = end - e.consumed
			continue
		}
		event := buf[e.consumed:end]
		e.consumed, e.comments = end, 0
		return event
	}
}

// Ends of an event: the end of its last line, which may be CR LF as well, and an empty line.
var (
	lfEnd   = []byte("\n\n")
	crlfEnd = []byte("\n\r\n")
)

// endOfEvent returns the length of the part of buf up to the first end of an event, 0 if there is none.
func endOfEvent(buf []byte) int {
	length := 0
	if i := bytes.Index(buf, lfEnd); i >= 0 {
		length = i + len(lfEnd)
		buf = buf[:length]
	}
	if i := bytes.Index(buf, crlfEnd); i >= 0 {
		length = i + len(crlfEnd)
	}
	return length
}

// compact discards the events already returned by next.
func (e *eventBuffer) compact() {
	if e.consumed == 0 {
		return
	}
	e.kept.Discard(e.consumed)
	e.searched = max(e.searched-e.consumed, 0)
	e.consumed = 0
}

// hasPartial reports whether the buffer holds an incomplete event.
func (e *eventBuffer) hasPartial() bool {
	return len(bytes.TrimSpace(e.kept.Bytes()[e.consumed:])) > 0
}

// idField is the start of the line with an event's id.
var idField = []byte("id:")

// eventID returns the id of an event; empty if it has none.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, idField); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}

// isComment reports whether an event has comment lines only, as upstreams send to keep a connection
// open.
func isComment(event []byte) bool {
	for line := range bytes.Lines(event) {
		if line = bytes.TrimSpace(line); len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}
