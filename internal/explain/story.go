package explain

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	// before and after are the times around a request from which lines tell
	// about it.
	before = 5 * time.Second
	after  = time.Second
)

// requestMessage is the message of a request's own line.
const requestMessage = "request"

// Entry is one moment of a story.
type Entry struct {
	// At is the time after the request's beginning; negative before it.
	At   time.Duration `json:"at_ns"`
	VM   string        `json:"vm"`
	Text string        `json:"text"`
}

// Story is what the logs tell of one request at one VM.
type Story struct {
	Request string    `json:"request"`
	VM      string    `json:"vm"`
	Began   time.Time `json:"began"`
	// Summary tells how the request ended.
	Summary string  `json:"summary"`
	Entries []Entry `json:"entries"`
}

// Teller gathers lines and tells stories. The zero value is ready for use.
type Teller struct {
	requests []Line
	beliefs  []Line
}

// Take takes in a line.
func (t *Teller) Take(l Line) {
	if l.Message == requestMessage {
		t.requests = append(t.requests, l)
		return
	}
	t.beliefs = append(t.beliefs, l)
}

// Tell returns the stories of a request; VMs' clocks may differ, so that each
// VM's lines are ordered by its own. Errors: ErrUnknown.
func (t *Teller) Tell(request string) ([]Story, error) {
	var out []Story
	for _, l := range t.requests {
		if l.Request == request {
			out = append(out, t.story(l))
		}
	}
	if len(out) == 0 {
		return nil, ErrUnknown.New("no line of request %q among %d requests", request, len(t.requests))
	}
	return out, nil
}

func (t *Teller) story(l Line) Story {
	began := l.Time.Add(-millis(l.TookMS))
	s := Story{Request: l.Request, VM: string(l.VM), Began: began, Summary: summary(l)}
	for _, a := range l.Attempts {
		s.add(millis(a.AtMS), string(l.VM), "%s", a.begins())
		s.add(millis(a.AtMS+a.TookMS), string(l.VM), "%s", a.ends())
	}
	for _, b := range t.beliefs {
		if b.concerns(l) && b.Time.After(began.Add(-before)) && b.Time.Before(l.Time.Add(after)) {
			s.add(b.Time.Sub(began), string(b.VM), "%s", b.Text)
		}
	}
	if b, ok := t.configured(l); ok {
		s.add(b.Time.Sub(began), string(b.VM), "%s", b.Text)
	}
	slices.SortStableFunc(s.Entries, func(a, b Entry) int { return int(a.At - b.At) })
	return s
}

func (s *Story) add(at time.Duration, vm, format string, args ...any) {
	s.Entries = append(s.Entries, Entry{At: at, VM: vm, Text: fmt.Sprintf(format, args...)})
}

// concerns tells that a line is about what a request met: the same VM's life
// and dependencies, or one of the request's upstreams at any VM.
func (l Line) concerns(request Line) bool {
	if l.Upstream != "" {
		return slices.ContainsFunc(request.Attempts, func(a Attempt) bool { return a.Upstream == l.Upstream })
	}
	return l.VM == request.VM
}

// configured returns the line of the configuration that was in force.
func (t *Teller) configured(request Line) (Line, bool) {
	for _, b := range slices.Backward(t.beliefs) {
		early := b.Time.Before(request.Time.Add(-millis(request.TookMS) - before))
		if b.VM == request.VM && b.Config == request.Config && strings.HasPrefix(b.Message, "configuration") && early {
			return b, true
		}
	}
	return Line{}, false
}

func summary(l Line) string {
	out := fmt.Sprintf("%s, status %d, after %d ms with %d ms left", l.Outcome, l.Status, l.TookMS, l.LeftMS)
	if l.Route != "" {
		out += fmt.Sprintf("; route %s, service %s, account %s", l.Route, l.Service, l.Account)
	}
	if l.Config == 0 {
		return out + "; no configuration known"
	}
	return out + fmt.Sprintf("; configuration %d", l.Config)
}

func (a Attempt) begins() string {
	out := "asks " + a.Upstream + " (version " + a.Version
	if a.Model != "" {
		out += ", model " + a.Model
	}
	return out + fmt.Sprintf("), expected to be busy for %d ms", a.ExpectedMS)
}

func (a Attempt) ends() string {
	out := a.Outcome + " by " + a.Upstream
	if a.Confidence != nil {
		out += fmt.Sprintf(", confidence %d", *a.Confidence)
	}
	if a.FirstMS > 0 {
		out += fmt.Sprintf(", first event after %d ms", a.FirstMS)
	}
	if a.PauseMS > 0 {
		out += fmt.Sprintf(", longest pause %d ms", a.PauseMS)
	}
	return out
}

func millis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
