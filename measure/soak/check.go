package soak

import (
	"github.com/poplarshore/poplarshore/measure/site"
	"github.com/poplarshore/poplarshore/standin/engine"
	"github.com/poplarshore/poplarshore/standin/fault"
)

// The bounds on the number of tokens of an answer, which package environment
// sets for its engines.
const (
	minAnswerTokens = 8
	maxAnswerTokens = 32
)

// notRun is the value of ran in a refusal of a request that was not run.
const notRun = "no"

// checkResponses compares the recorded responses with the counts of the
// stand-ins, and adds up the faults that the stand-ins injected.
func (r *run) checkResponses() {
	runs := r.serviceRuns()
	for _, record := range r.records {
		if record.serviceCall {
			r.checkServiceCall(record, runs[record.prompt])
		} else {
			r.checkCompletion(record)
		}
	}
	for id, e := range r.env.Engines {
		if n := e.Counts().Duplicates; n > 0 {
			r.recordViolation("engine %s received %d duplicate attempts", id, n)
		}
		r.countFaults(e.Faults)
	}
	for _, s := range r.env.Services {
		r.countFaults(s.Faults)
	}
	r.countFaults(r.env.Platform.Faults)
}

// serviceRuns returns the number of runs by content, on all services together.
func (r *run) serviceRuns() map[string]int {
	runs := make(map[string]int)
	for _, s := range r.env.Services {
		for content, n := range s.Counts().RunsByBody {
			runs[content] += n
		}
	}
	return runs
}

// checkServiceCall checks a non-idempotent call that ran a number of times.
func (r *run) checkServiceCall(record requestRecord, runs int) {
	switch {
	case runs > 1:
		r.recordViolation("non-idempotent call %q ran %d times", record.prompt, runs)
	case record.complete && runs != 1:
		r.recordViolation("non-idempotent call %q got a complete response but ran %d times", record.prompt, runs)
	case record.ran == notRun && runs != 0:
		r.recordViolation("non-idempotent call %q was refused as not run (%s) but ran", record.prompt, record.response.Code)
	}
}

// checkCompletion checks a completion request against the runs on all engines.
func (r *run) checkCompletion(record requestRecord) {
	runs := 0
	for _, e := range r.env.Engines {
		runs += e.Runs(record.prompt)
	}
	version := record.response.Header.Get(headerVersion)
	if record.complete && record.pinnedVersion != "" {
		r.report.Pinned++
	}
	switch {
	case record.complete && record.pinnedVersion != "" && version != record.pinnedVersion:
		r.recordViolation("completion %q ran on version %s in a session pinned to %s", record.prompt, version, record.pinnedVersion)
	case record.complete && !engine.IsAnswer(record.response.Text, site.Model, version, record.prompt, minAnswerTokens, maxAnswerTokens, 0):
		r.recordViolation("completion %q got a complete answer to another request: %q", record.prompt, record.response.Text)
	case record.complete && runs == 0:
		r.recordViolation("completion %q got a complete answer but no engine ran it", record.prompt)
	case record.ran == notRun && runs != 0:
		r.recordViolation("completion %q was refused as not run (%s) but ran %d times", record.prompt, record.response.Code, runs)
	}
}

// countFaults adds the faults injected by one stand-in to the report.
func (r *run) countFaults(set *fault.Set) {
	if r.report.Faults == nil {
		r.report.Faults = make(map[string]uint64)
	}
	for kind, n := range set.Report().Injected {
		r.report.Faults[string(kind)] += n
	}
}
