package explain

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// Other lines belong to the timeline of a request if they were logged at most
	// contextBefore before its start and contextAfter after its end.
	contextBefore = 5 * time.Second
	contextAfter  = time.Second
)

// requestMessage is the message of the line that a VM logs at the end of a request.
const requestMessage = "request"

// Entry is one event of a request's timeline.
type Entry struct {
	// At is the time since the start of the request; negative before it.
	At time.Duration `json:"at_ns"`
	// VM is the VM that logged the event.
	VM string `json:"vm"`
	// Text describes the event, or is the logged line.
	Text string `json:"text"`
}

// Timeline is the timeline of one request at one VM.
type Timeline struct {
	Request string `json:"request"`
	VM      string `json:"vm"`
	// StartedAt is the start of the request.
	StartedAt time.Time `json:"began"`
	// Summary describes the outcome of the request.
	Summary string `json:"summary"`
	// Entries are the events, ordered by time.
	Entries []Entry `json:"entries"`
}

// TimelineBuilder collects log lines and builds timelines of requests from them. The zero
// value is ready for use.
type TimelineBuilder struct {
	requests   []Line
	otherLines []Line
}

// Add adds a line.
func (t *TimelineBuilder) Add(l Line) {
	if l.Message == requestMessage {
		t.requests = append(t.requests, l)
		return
	}
	t.otherLines = append(t.otherLines, l)
}

// Timelines returns the timelines of a request, one for each request line. Lines of other
// VMs are placed by their own clocks, which may differ. Errors: ErrUnknown.
func (t *TimelineBuilder) Timelines(request string) ([]Timeline, error) {
	var timelines []Timeline
	for _, l := range t.requests {
		if l.Request == request {
			timelines = append(timelines, t.timeline(l))
		}
	}
	if len(timelines) == 0 {
		return nil, ErrUnknown.New("request %q not found among %d logged requests", request, len(t.requests))
	}
	return timelines, nil
}

// timeline builds the timeline of the request that line l reports.
func (t *TimelineBuilder) timeline(l Line) Timeline {
	startedAt := l.Time.Add(-millis(l.TookMS))
	timeline := Timeline{Request: l.Request, VM: string(l.VM), StartedAt: startedAt, Summary: summary(l)}
	for _, a := range l.Attempts {
		timeline.addEntry(millis(a.AtMS), string(l.VM), "%s", a.startText())
		timeline.addEntry(millis(a.AtMS+a.TookMS), string(l.VM), "%s", a.endText())
	}
	for _, other := range t.otherLines {
		if other.relevantTo(l) && other.Time.After(startedAt.Add(-contextBefore)) &&
			other.Time.Before(l.Time.Add(contextAfter)) {
			timeline.addEntry(other.Time.Sub(startedAt), string(other.VM), "%s", other.Text)
		}
	}
	if other, ok := t.configurationLine(l); ok {
		timeline.addEntry(other.Time.Sub(startedAt), string(other.VM), "%s", other.Text)
	}
	for _, other := range t.evacuationLines(l) {
		timeline.addEntry(other.Time.Sub(startedAt), string(other.VM), "%s", other.Text)
	}
	slices.SortStableFunc(timeline.Entries, func(a, b Entry) int { return int(a.At - b.At) })
	return timeline
}

func (t *Timeline) addEntry(at time.Duration, vm, format string, args ...any) {
	t.Entries = append(t.Entries, Entry{At: at, VM: vm, Text: fmt.Sprintf(format, args...)})
}

// relevantTo reports whether a line belongs to the timeline of a request. A line
// about an upstream does if the request had an attempt there, whichever VM logged
// it; other lines do if the request's VM logged them.
func (l Line) relevantTo(request Line) bool {
	if l.Upstream != "" {
		return slices.ContainsFunc(request.Attempts, func(a Attempt) bool { return a.Upstream == l.Upstream })
	}
	return l.VM == request.VM
}

// configurationLine returns the line that reports the request's configuration, if
// it was logged more than contextBefore before the start of the request.
func (t *TimelineBuilder) configurationLine(request Line) (Line, bool) {
	for _, line := range slices.Backward(t.otherLines) {
		beforeContext := line.Time.Before(request.Time.Add(-millis(request.TookMS) - contextBefore))
		if line.VM == request.VM && line.Config == request.Config &&
			strings.HasPrefix(line.Message, "configuration") && beforeContext {
			return line, true
		}
	}
	return Line{}, false
}

// Messages of the lines that report the begin and the end of an evacuation.
const (
	evacuationPrefix = "evacuation of failure domain "
	evacuationBegan  = evacuationPrefix + "began"
)

// evacuationLines returns the lines that report the evacuations in force at the request's VM, if
// they were logged more than contextBefore before the start of the request.
func (t *TimelineBuilder) evacuationLines(request Line) []Line {
	from := request.Time.Add(-millis(request.TookMS) - contextBefore)
	latest := make(map[string]Line)
	for _, line := range t.otherLines {
		if line.VM == request.VM && strings.HasPrefix(line.Message, evacuationPrefix) && !line.Time.After(from) {
			latest[line.Domain] = line
		}
	}
	var lines []Line
	for _, domain := range slices.Sorted(maps.Keys(latest)) {
		if line := latest[domain]; line.Message == evacuationBegan {
			lines = append(lines, line)
		}
	}
	return lines
}

// summary describes the outcome of the request that line l reports.
func summary(l Line) string {
	text := fmt.Sprintf("%s, status %d, after %d ms with %d ms left", l.Outcome, l.Status, l.TookMS, l.LeftMS)
	if l.Route != "" {
		text += fmt.Sprintf("; route %s, service %s, account %s", l.Route, l.Service, l.Account)
	}
	if l.Config == 0 {
		text += "; no configuration known"
	} else {
		text += fmt.Sprintf("; configuration %d", l.Config)
	}
	if l.Aborted != "" {
		text += "; ended by a planned stop, caller's answer: " + l.Aborted
	}
	if l.Detail != "" {
		text += "; " + l.Detail
	}
	return text
}

// startText describes the start of the attempt.
func (a Attempt) startText() string {
	text := "asks " + a.Upstream + " (version " + a.Version
	if a.Model != "" {
		text += ", model " + a.Model
	}
	return text + fmt.Sprintf("), expected to be busy for %d ms", a.ExpectedMS)
}

// endText describes the outcome of the attempt.
func (a Attempt) endText() string {
	text := a.Outcome + " by " + a.Upstream
	if a.Confidence != nil {
		text += fmt.Sprintf(", confidence %d", *a.Confidence)
	}
	if a.FirstMS > 0 {
		text += fmt.Sprintf(", first event after %d ms", a.FirstMS)
	}
	if a.PauseMS > 0 {
		text += fmt.Sprintf(", longest pause %d ms", a.PauseMS)
	}
	return text
}

func millis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
