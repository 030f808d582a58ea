package soak

import (
	"github.com/poplarshore/poplarshore/measure/site"
	"github.com/poplarshore/poplarshore/standin/engine"
	"github.com/poplarshore/poplarshore/standin/fault"
)

// The bounds of a natural answer that the environment gives its engines.
const (
	minTokens = 8
	maxTokens = 32
)

const ranNo = "no"

// check compares what callers were told with what the stand-ins counted.
func (r *run) check() {
	runs := r.serviceRuns()
	for _, t := range r.told {
		if t.call {
			r.checkCall(t, runs[t.prompt])
		} else {
			r.checkAnswer(t)
		}
	}
	for id, e := range r.env.Engines {
		if n := e.Counts().Duplicates; n > 0 {
			r.violate("engine %s saw %d attempts twice", id, n)
		}
		r.countFaults(e.Faults)
	}
	for _, s := range r.env.Services {
		r.countFaults(s.Faults)
	}
	r.countFaults(r.env.Platform.Faults)
}

// serviceRuns returns the runs by content, on all services together.
func (r *run) serviceRuns() map[string]int {
	runs := make(map[string]int)
	for _, s := range r.env.Services {
		for content, n := range s.Counts().RunsByBody {
			runs[content] += n
		}
	}
	return runs
}

func (r *run) checkCall(t told, runs int) {
	switch {
	case runs > 1:
		r.violate("%q ran %d times", t.prompt, runs)
	case t.whole && runs != 1:
		r.violate("%q was answered and ran %d times", t.prompt, runs)
	case t.ran == ranNo && runs != 0:
		r.violate("%q was refused as not run (%s) and ran", t.prompt, t.answer.Code)
	}
}

func (r *run) checkAnswer(t told) {
	runs := 0
	for _, e := range r.env.Engines {
		runs += e.Runs(t.prompt)
	}
	version := t.answer.Header.Get(headerVersion)
	if t.whole && t.pinned != "" {
		r.report.Pinned++
	}
	switch {
	case t.whole && t.pinned != "" && version != t.pinned:
		r.violate("%q ran on %s in a session on %s", t.prompt, version, t.pinned)
	case t.whole && !engine.IsAnswer(t.answer.Text, site.Model, version, t.prompt, minTokens, maxTokens, 0):
		r.violate("%q got a whole answer that is not its own: %q", t.prompt, t.answer.Text)
	case t.whole && runs == 0:
		r.violate("%q was answered and no engine ran it", t.prompt)
	case t.ran == ranNo && runs != 0:
		r.violate("%q was refused as not run (%s) and ran %d times", t.prompt, t.answer.Code, runs)
	}
}

func (r *run) countFaults(set *fault.Set) {
	if r.report.Faults == nil {
		r.report.Faults = make(map[string]uint64)
	}
	for kind, n := range set.Report().Injected {
		r.report.Faults[string(kind)] += n
	}
}
