package soak

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/platform/standin"
)

// silenceCase is a request that is checked beside a silence of the given length, which begins with it.
type silenceCase struct {
	kind              requestKind
	path              string
	response          standin.Response
	took, silence     time.Duration
	runs              int
	signalledBefore   time.Duration
	engineStopped     bool
	disturbed, unsent bool
	// badRollout reports whether a version that fails requests was rolled out.
	badRollout bool
	// otherSilent reports whether the silent engine was not the one that ran the request.
	otherSilent bool
}

// check returns the violations and the reasons for which the request may end without an answer.
func (s silenceCase) check() ([]string, map[string]int) {
	sentAt := time.Unix(1000, 0)
	v := &VM{ID: "vm-1"}
	x := exchange{id: "x", kind: s.kind, path: s.path, vm: v, sentAt: sentAt, doneAt: sentAt.Add(s.took), response: s.response}
	if !s.unsent {
		x.response.SentAt = sentAt
	}
	bed := &testbed{vms: []*VM{v}}
	bed.silences.entries = []interval{{from: sentAt, until: sentAt.Add(s.silence)}}
	if s.disturbed {
		bed.storeDisturbances.entries = []interval{{from: sentAt, until: sentAt.Add(time.Second)}}
	}
	if s.badRollout {
		bed.badRollouts.entries = []interval{{from: sentAt, until: sentAt.Add(time.Second)}}
	}
	e := &engine{}
	if !s.otherSilent {
		e.silences.entries = bed.silences.entries
	}
	report := &Report{Silences: &SilenceReport{Unanswered: make(map[string]int)}}
	if s.signalledBefore > 0 {
		report.plannedStops = []plannedStop{{vm: v, at: x.doneAt.Add(-s.signalledBefore)}}
	}
	c := &checker{testbed: bed, bounds: DefaultBounds(), exchanges: []exchange{x}, report: report, runs: map[string][]standin.Run{"x": make([]standin.Run, s.runs)}, brokenOff: map[string]bool{"x": s.engineStopped}}
	if s.runs > 0 {
		c.ranOn = map[string][]*engine{"x": {e}}
	}
	c.checkSilence(x)
	return report.Violations, report.Silences.Unanswered
}

// Guards against a check that lets requests pass which end without an answer, or that reports what the
// rules allow.
func TestCheckOfSilences(t *testing.T) {
	cut := standin.Response{Status: http.StatusOK, Incomplete: true}
	sealed := standin.Response{Status: http.StatusInternalServerError, Header: standin.SealedHeader("e")}
	for name, c := range map[string]struct {
		silenceCase
		// reason is why the request may end so; "violation" if it must not, and empty if it was answered.
		reason string
	}{
		"answered":                                     {silenceCase{kind: lookupRequest, response: standin.Response{Status: http.StatusOK}, runs: 1}, ""},
		"failure of an engine":                         {silenceCase{kind: lookupRequest, response: sealed, runs: 1}, ""},
		"true refusal":                                 {silenceCase{kind: lookupRequest, response: standin.Response{Status: http.StatusServiceUnavailable}}, ""},
		"untrue refusal":                               {silenceCase{kind: lookupRequest, response: standin.Response{Status: http.StatusTooManyRequests}, runs: 1}, "violation"},
		"bad gateway":                                  {silenceCase{kind: lookupRequest, response: standin.Response{Status: http.StatusBadGateway}, took: time.Second, silence: time.Second}, "violation"},
		"cut stream":                                   {silenceCase{kind: streamRequest, response: cut, took: 3 * time.Second, silence: 2 * time.Second, runs: 2}, "violation"},
		"cut while disturbed":                          {silenceCase{kind: streamRequest, response: cut, took: 3 * time.Second, runs: 2, disturbed: true}, ""},
		"failed during a bad roll-out":                 {silenceCase{kind: streamRequest, response: standin.Response{Status: http.StatusBadGateway}, took: time.Second, runs: 3, badRollout: true}, ""},
		"not sent":                                     {silenceCase{kind: streamRequest, response: standin.Response{Incomplete: true}, unsent: true}, ""},
		"time used up by silence":                      {silenceCase{kind: lookupRequest, response: standin.Response{Status: http.StatusGatewayTimeout}, took: callTimeout, silence: 3 * time.Second, runs: 1}, "time_reached"},
		"time over, another silent":                    {silenceCase{kind: lookupRequest, response: standin.Response{Status: http.StatusGatewayTimeout}, took: callTimeout, silence: 3 * time.Second, runs: 1, otherSilent: true}, "violation"},
		"time over in spite of a moment":               {silenceCase{kind: lookupRequest, response: standin.Response{Status: http.StatusGatewayTimeout}, took: callTimeout, silence: time.Second, runs: 1}, "violation"},
		"time of slow order used up":                   {silenceCase{kind: orderRequest, path: slowPath + "1", response: standin.Response{Status: http.StatusGatewayTimeout}, took: callTimeout, silence: time.Second, runs: 1}, "time_reached"},
		"time used up but for a part of a millisecond": {silenceCase{kind: lookupRequest, response: standin.Response{Status: http.StatusGatewayTimeout}, took: callTimeout - timeResolution/2, silence: 3 * time.Second, runs: 1}, "time_reached"},
		"given up a millisecond early":                 {silenceCase{kind: lookupRequest, response: standin.Response{Status: http.StatusGatewayTimeout}, took: callTimeout - timeResolution, silence: 3 * time.Second, runs: 1}, "violation"},
		"given up before the time is over":             {silenceCase{kind: lookupRequest, response: standin.Response{Status: http.StatusGatewayTimeout}, took: 3 * time.Second, silence: 3 * time.Second, runs: 1}, "violation"},
		"engine stopped":                               {silenceCase{kind: streamRequest, response: cut, took: time.Second, runs: 1, engineStopped: true}, "engine_broke_off"},
		"end of the grace":                             {silenceCase{kind: streamRequest, response: cut, took: 5 * time.Second, runs: 1, signalledBefore: 7 * time.Second}, "grace_spent"},
		"middle of the grace":                          {silenceCase{kind: streamRequest, response: cut, took: 5 * time.Second, runs: 1, signalledBefore: 6 * time.Second}, "violation"},
		"sent late in the grace":                       {silenceCase{kind: streamRequest, response: cut, took: 3 * time.Second, runs: 1, signalledBefore: 7 * time.Second}, "violation"},
		"crossed the end of a connection":              {silenceCase{kind: orderRequest, response: standin.Response{Incomplete: true}, took: 100 * time.Millisecond}, "not_read"},
		"passed on and cut at once":                    {silenceCase{kind: orderRequest, response: standin.Response{Incomplete: true}, took: 100 * time.Millisecond, runs: 1}, "violation"},
		"kept and cut":                                 {silenceCase{kind: orderRequest, response: standin.Response{Incomplete: true}, took: 300 * time.Millisecond}, "violation"},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			violations, unanswered := c.check()
			switch c.reason {
			case "violation":
				g.Expect(violations).To(HaveLen(1))
				g.Expect(unanswered).To(BeEmpty())
			case "":
				g.Expect(violations).To(BeEmpty())
				g.Expect(unanswered).To(BeEmpty())
			default:
				g.Expect(violations).To(BeEmpty())
				g.Expect(unanswered).To(Equal(map[string]int{c.reason: 1}))
			}
		})
	}
}

// Guards against silences that overlap and are counted twice.
func TestOverlapOfIntervals(t *testing.T) {
	g := NewWithT(t)
	at := func(s int) time.Time { return time.Unix(int64(s), 0) }
	s := intervals{entries: []interval{{at(4), at(6)}, {at(1), at(3)}, {at(2), at(5)}, {from: at(9)}}}
	g.Expect(s.overlap(at(0), at(8))).To(Equal(5 * time.Second))
	g.Expect(s.overlap(at(2), at(4))).To(Equal(2 * time.Second))
	g.Expect(s.overlap(at(7), at(11))).To(Equal(2 * time.Second))
	g.Expect(s.overlap(at(6), at(9))).To(BeZero())
}

// Guards against a planned stop that is blamed for a response whose engine the platform stopped, and against one that
// is not blamed for others.
func TestPlannedStopIsBlamedUnlessTheEngineWasStopped(t *testing.T) {
	g := NewWithT(t)
	v := &VM{ID: "vm-1"}
	sentAt := time.Unix(1000, 0)
	x := exchange{id: "x", kind: streamRequest, vm: v, sentAt: sentAt, doneAt: sentAt.Add(2 * time.Second), response: standin.Response{Incomplete: true}}
	report := &Report{plannedStops: []plannedStop{{vm: v, at: sentAt.Add(time.Second), acceptsFor: time.Second}}}
	c := &checker{testbed: &testbed{vms: []*VM{v}}, bounds: DefaultBounds(), report: report, runs: map[string][]standin.Run{"x": make([]standin.Run, 1)}}
	c.brokenOff = map[string]bool{"x": true}
	c.checkPlannedStops(x)
	g.Expect(report.Violations).To(BeEmpty())
	c.brokenOff = nil
	c.checkPlannedStops(x)
	g.Expect(report.Violations).To(HaveLen(1))
}
