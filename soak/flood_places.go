package soak

import (
	"slices"
	"strings"
	"time"

	"github.com/poplarshore/poplarshore/platform/standin"
)

// floodPlace is a place of a response at which an engine goes on without end.
type floodPlace struct {
	name string
	// inStreams and inCalls report whether engines of models and engines of calls use it.
	inStreams, inCalls bool
	flood              standin.Flood
}

// Header lines of floods.
const (
	eventStreamLine = "Content-Type: text/event-stream\r\n"
	closeLine       = "Connection: close\r\n"
	chunkedLine     = "Transfer-Encoding: chunked\r\n"
)

// Intervals between the parts of floods: of 333 kB/s and 1 MB/s in parts of 10 kB, of a trickle, and of bodies of which
// nothing more comes within the time of a request.
const (
	slowEventInterval = 30 * time.Millisecond
	slowBodyInterval  = 10 * time.Millisecond
	trickleInterval   = 50 * time.Millisecond
	stalledInterval   = requestDeadline + 2*time.Second
)

// floodPlaces are the places of floods. The seeds of runs with floods depend on their order.
var floodPlaces = newFloodPlaces()

func newFloodPlaces() []floodPlace {
	kilobytes := func(n int) string { return strings.Repeat("0123456789abcdef", n*1000/16) }
	lines := strings.Repeat("data: 0123456789\n", 600)
	return []floodPlace{
		{"event", true, false, standin.Flood{Head: eventStreamLine + closeLine, Begin: "data: ", Part: kilobytes(10), Interval: slowEventInterval}},
		{"fast_event", true, false, standin.Flood{Head: eventStreamLine + closeLine, Begin: "data: ", Part: kilobytes(16)}},
		{"second_event", true, false, standin.Flood{Head: eventStreamLine + closeLine, Begin: "id: 1\ndata: piece 1\n\ndata: ", Part: kilobytes(10), Interval: slowEventInterval}},
		{"lines", true, false, standin.Flood{Head: eventStreamLine + closeLine, Part: lines, Interval: slowEventInterval}},
		{"comments", true, false, standin.Flood{Head: eventStreamLine + closeLine, Part: ": hello\n\n", Interval: slowEventInterval}},
		{"body", true, true, standin.Flood{Head: closeLine, Part: kilobytes(16)}},
		{"slow_body", true, true, standin.Flood{Head: closeLine, Part: kilobytes(10), Interval: slowBodyInterval}},
		{"long_body", true, true, standin.Flood{Head: "Content-Length: 9000000000000000000\r\n", Part: kilobytes(16)}},
		{"failure_body", true, true, standin.Flood{Status: "500 Internal Server Error", Head: closeLine, Part: kilobytes(16)}},
		{"head", true, true, standin.Flood{OpenHead: true, Begin: "X-More: ", Part: kilobytes(16)}},
		{"informational", true, true, standin.Flood{Status: "102 Processing", Bare: true, Part: "HTTP/1.1 102 Processing\r\n\r\n"}},
		{"chunk_extension", true, true, standin.Flood{Head: chunkedLine, Begin: "1;", Part: kilobytes(16)}},
		{"trailer", true, true, standin.Flood{Head: chunkedLine, Begin: "1\r\nx\r\n0\r\nX-More: ", Part: kilobytes(16)}},
		{"stalled_rejection", true, true, standin.Flood{Status: "503 Service Unavailable", NotRun: true, Head: "Content-Length: 40\r\n", Part: " ", Interval: stalledInterval}},
		{"slow_rejection", true, true, standin.Flood{Status: "503 Service Unavailable", NotRun: true, Head: "Content-Length: 1000000\r\n", Part: " ", Interval: trickleInterval}},
	}
}

// floodPlacesFor returns the places that engines of a service use, of those with the given names; none stands for all.
func floodPlacesFor(service string, names []string) []floodPlace {
	return slices.DeleteFunc(slices.Clone(floodPlaces), func(p floodPlace) bool {
		fits := p.inCalls
		if service == modelService {
			fits = p.inStreams
		}
		return !fits || len(names) > 0 && !slices.Contains(names, p.name)
	})
}
