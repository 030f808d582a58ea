package soak

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/poplarshore/poplarshore/platform/standin"
)

// Bounds are the times in which the pages promise things.
type Bounds struct {
	// Contact is how long a VM must have been calm to be in touch.
	Contact time.Duration
	// Config is how soon an accepted configuration is in force, Drain how soon an
	// upstream that leaves gets nothing new, Rollback how soon a version does
	// that was found bad.
	Config, Drain, Rollback time.Duration
	// Host is what a busy machine may add to each of them.
	Host time.Duration
}

// DefaultBounds returns the bounds of the users' sites.
func DefaultBounds() Bounds {
	return Bounds{
		Contact: 4 * time.Second, Config: 3 * time.Second, Drain: 3 * time.Second, Rollback: 5 * time.Second,
		Host: time.Second,
	}
}

// judge compares what callers were told with what upstreams ran.
type judge struct {
	site   *site
	bounds Bounds
	told   []told
	runs   map[string][]standin.Run
	report *Report
}

func (j *judge) violate(format string, args ...any) {
	j.report.Violations = append(j.report.Violations, fmt.Sprintf(format, args...))
}

func (j *judge) check() {
	j.collect()
	for _, t := range j.told {
		j.checkAnswer(t)
		j.checkRuns(t)
		j.checkConfig(t)
		j.checkStop(t)
	}
	j.checkOrder()
	j.checkLeft()
}

// collect gathers the runs by request, and finds those that nobody asked for.
func (j *judge) collect() {
	j.runs = make(map[string][]standin.Run)
	known := make(map[string]told, len(j.told))
	for _, t := range j.told {
		known[t.id] = t
	}
	for _, e := range j.site.all {
		for _, run := range e.Runs() {
			j.runs[run.ID] = append(j.runs[run.ID], run)
			t, ok := known[run.ID]
			if !ok || run.Path != t.path || run.Body != "body of "+t.id || run.Account != "account-of-"+t.key {
				j.violate("%s ran %q at %s for %s, which nobody sent", e.ID, run.ID, run.Path, run.Account)
			}
		}
	}
}

// checkAnswer tells whether the caller's answer is its own and whole.
func (j *judge) checkAnswer(t told) {
	a := t.answer
	j.report.Outcomes[outcome(t)]++
	switch {
	case a.Incomplete || a.Status != http.StatusOK:
		return
	case a.Seal() == "":
		j.violate("%s: success that no upstream vouches for", t.id)
	case t.kind == stream && a.Body != standin.StreamBody(streamEvents):
		j.violate("%s: stream is not whole or has pieces twice: %d bytes", t.id, len(a.Body))
	case t.kind != stream && !j.plain(t):
		j.violate("%s: answer %q is not its own", t.id, a.Body)
	}
}

// plain tells that an answer without events is whole, by the upstream that
// vouches for it.
func (j *judge) plain(t told) bool {
	method := http.MethodPost
	if t.kind != order {
		method = http.MethodGet
	}
	by := strings.TrimPrefix(t.answer.Seal(), standin.SealOf(""))
	return t.answer.Body == standin.PlainBody(method, t.path, by)
}

func outcome(t told) string {
	if t.answer.Incomplete {
		return string(t.kind) + "_cut"
	}
	return fmt.Sprintf("%s_%d", t.kind, t.answer.Status)
}

// checkRuns tells whether a request ran as often as it may.
func (j *judge) checkRuns(t told) {
	n := len(j.runs[t.id])
	switch status := t.answer.Status; {
	case t.kind == order && n > 1:
		j.violate("%s: a call that may not be repeated ran %d times", t.id, n)
	case n > maxAttempts:
		j.violate("%s: ran %d times", t.id, n)
	case !t.answer.Incomplete && n > 0 && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests):
		j.violate("%s: refused with %d, but ran %d times", t.id, status, n)
	}
}

// inTouch tells that a request was taken by a VM that had been calm, as had the
// store and the upstreams.
func (j *judge) inTouch(t told) bool {
	from := t.sent.Add(-j.bounds.Contact - j.bounds.Host)
	return t.vm.disturbed.calm(from, t.done) && t.vm.stopping.calm(from, t.done) && j.site.disturbed.calm(from, t.done)
}

// checkConfig tells whether a request was handled by a configuration that may
// be in force.
func (j *judge) checkConfig(t told) {
	if !j.inTouch(t) || t.answer.Incomplete {
		return
	}
	serves := func(c change) bool { return t.kind != probe || c.version == t.version }
	holds := func(c change) bool { return c.keys[t.key] }
	possible := j.possible(t)
	from, to := possible[0].version, possible[len(possible)-1].version
	switch t.answer.Status {
	case http.StatusNotFound:
		if all(possible, serves) {
			j.violate("%s by %s: %s is not known, configurations %d to %d", t.id, t.vm.ID, t.path, from, to)
		}
	case http.StatusUnauthorized:
		if all(possible, holds) {
			j.violate("%s by %s: %s is refused, configurations %d to %d", t.id, t.vm.ID, t.key, from, to)
		}
	case http.StatusOK:
		if !slices.ContainsFunc(possible, serves) {
			j.violate("%s by %s: %s is served, configurations %d to %d", t.id, t.vm.ID, t.path, from, to)
		}
		if !slices.ContainsFunc(possible, holds) {
			j.violate("%s by %s: %s is served, configurations %d to %d", t.id, t.vm.ID, t.key, from, to)
		}
	}
}

func all(changes []change, is func(change) bool) bool {
	return !slices.ContainsFunc(changes, func(c change) bool { return !is(c) })
}

// possible returns the configurations that may be in force while a request is
// on its way, oldest first.
func (j *judge) possible(t told) []change {
	due := t.sent.Add(-j.bounds.Config - j.bounds.Host)
	var out []change
	for _, c := range j.site.history() {
		if c.at.After(t.done) {
			break
		}
		if !c.at.After(due) {
			out = out[:0]
		}
		out = append(out, c)
	}
	return out
}

// checkStop tells whether a planned stop cut a request off, where nothing else
// disturbed the VM.
func (j *judge) checkStop(t told) {
	if !t.answer.Incomplete || j.runs[t.id] == nil {
		return
	}
	for _, s := range j.report.stops {
		from := s.at.Add(-j.bounds.Contact)
		calm := j.site.disturbed.calm(from, t.done) && s.vm.disturbed.calm(from, t.done)
		if s.vm == t.vm && calm && t.sent.Before(s.at.Add(s.takes)) && t.done.After(s.at) {
			j.violate("%s: cut by the planned stop of %s after %s: %v", t.id, t.vm.ID, t.done.Sub(t.sent), t.answer.Err)
		}
	}
}

// checkOrder tells whether a process went back to an older configuration.
func (j *judge) checkOrder() {
	seen := make(map[string][]told)
	for _, t := range j.told {
		if t.kind == probe && !t.answer.Incomplete && t.answer.Status == http.StatusOK {
			seen[t.life] = append(seen[t.life], t)
		}
	}
	for life, probes := range seen {
		slices.SortFunc(probes, func(a, b told) int { return a.done.Compare(b.done) })
		for i, later := range probes {
			for _, earlier := range probes[:i] {
				if earlier.done.Before(later.sent) && earlier.version > later.version {
					j.violate("%s went back from configuration %d to %d", life, earlier.version, later.version)
				}
			}
		}
	}
}

// checkLeft tells whether upstreams that left, or versions that were found bad,
// got new work.
func (j *judge) checkLeft() {
	byID := make(map[string]told, len(j.told))
	for _, t := range j.told {
		byID[t.id] = t
	}
	for _, l := range j.report.left {
		for _, e := range l.engines {
			for _, run := range e.Runs() {
				t := byID[run.ID]
				if t.vm != nil && j.inTouch(t) && t.sent.After(l.at.Add(l.bound+j.bounds.Host)) {
					j.violate("%s: sent to %s %s after it was %s", run.ID, e.ID, run.At.Sub(l.at), l.why)
				}
			}
		}
	}
	slices.SortFunc(j.report.Violations, cmp.Compare)
}
