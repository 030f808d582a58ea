package relay

import "bytes"

// eventBuffer splits a stream into complete server-sent events.
type eventBuffer struct {
	buf []byte
	// consumed is the length of the events already returned by next, and searched that of
	// the part in which no further event ends.
	consumed, searched int
}

// next returns the next complete event, or nil if there is none yet. The event is
// valid until compact is called.
func (e *eventBuffer) next() []byte {
	from := max(e.searched-len(crlfEnd)+1, e.consumed)
	length := endOfEvent(e.buf[from:])
	if length == 0 {
		e.searched = len(e.buf)
		return nil
	}
	end := from + length
	event := e.buf[e.consumed:end]
	e.consumed, e.searched = end, end
	return event
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
	e.buf = append(e.buf[:0], e.buf[e.consumed:]...)
	e.searched = max(e.searched-e.consumed, 0)
	e.consumed = 0
}

// partialBytes returns the length of the incomplete event in the buffer.
func (e *eventBuffer) partialBytes() int { return len(e.buf) - e.consumed }

// hasPartial reports whether the buffer holds an incomplete event.
func (e *eventBuffer) hasPartial() bool {
	return len(bytes.TrimSpace(e.buf[e.consumed:])) > 0
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
