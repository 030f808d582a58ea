package soak

import (
	"net/http"
	"os"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/poplarshore/poplarshore/platform/standin"
)

// floodCase is a request that is checked beside a flood of its own or of another service, which begins with it.
type floodCase struct {
	kind     requestKind
	response standin.Response
	took     time.Duration
	runs     int
	// neighbour reports whether another service floods, and full whether all engines of the service do.
	neighbour, full bool
	// disturbed reports whether the VM was disturbed, and limited whether an engine named a limit.
	disturbed, limited bool
	// stall is for how long the host stalled.
	stall time.Duration
}

// check returns the violations and the report of the floods.
func (f floodCase) check() ([]string, *FloodReport) {
	sentAt := time.Unix(1000, 0)
	v := &VM{ID: "vm-1"}
	x := exchange{id: "x", kind: f.kind, path: "/o/x", vm: v, sentAt: sentAt, doneAt: sentAt.Add(f.took), response: f.response}
	x.response.SentAt = sentAt
	during := []interval{{from: sentAt, until: sentAt.Add(time.Second)}}
	bed := &testbed{vms: []*VM{v}}
	service := x.service()
	if f.neighbour {
		service = map[string]string{modelService: orderService, orderService: modelService}[service]
	}
	bed.floodsOf(service).entries = during
	if f.stall > 0 {
		bed.hostStalls.entries = []interval{{from: sentAt, until: sentAt.Add(f.stall)}}
	}
	if f.full {
		bed.fullFloods.entries = during
	}
	report := &Report{Floods: &FloodReport{Unanswered: make(map[string]int)}}
	if f.disturbed {
		v.disturbances.entries = during
	}
	if f.limited {
		report.limits = []namedLimit{{since: sentAt, until: sentAt.Add(time.Second)}}
	}
	c := &checker{testbed: bed, bounds: DefaultBounds(), report: report, runs: map[string][]standin.Run{"x": make([]standin.Run, f.runs)}}
	c.checkFloods(x)
	return report.Violations, report.Floods
}

// Guards against a check that lets requests pass which a flood fails or delays, or that reports what the rules allow.
func TestCheckOfFloods(t *testing.T) {
	whole := standin.Response{Status: http.StatusOK, Header: standin.SealedHeader("e")}
	cut := standin.Response{Status: http.StatusOK, Incomplete: true}
	refused := standin.Response{Status: http.StatusServiceUnavailable}
	badGateway, timedOut := standin.Response{Status: http.StatusBadGateway}, standin.Response{Status: http.StatusGatewayTimeout}
	for name, c := range map[string]struct {
		floodCase
		// reason is why the request may end so; "violation" if it must not, and empty if it was answered or is not checked.
		reason string
	}{
		"neighbour answered":                 {floodCase{kind: orderRequest, response: whole, neighbour: true, runs: 1, took: time.Second}, ""},
		"neighbour answered late":            {floodCase{kind: orderRequest, response: whole, neighbour: true, runs: 1, took: 1500 * time.Millisecond}, "violation"},
		"neighbour answered late by a stall": {floodCase{kind: orderRequest, response: whole, neighbour: true, runs: 1, took: 1500 * time.Millisecond, stall: 200 * time.Millisecond}, ""},
		"neighbour late beyond a stall":      {floodCase{kind: orderRequest, response: whole, neighbour: true, runs: 1, took: 1500 * time.Millisecond, stall: 50 * time.Millisecond}, "violation"},
		"neighbour's stream answered":        {floodCase{kind: streamRequest, response: whole, neighbour: true, runs: 1, took: 2 * time.Second}, ""},
		"neighbour's stream answered late":   {floodCase{kind: streamRequest, response: whole, neighbour: true, runs: 1, took: 3100 * time.Millisecond}, "violation"},
		"neighbour refused":                  {floodCase{kind: lookupRequest, response: refused, neighbour: true, took: time.Millisecond}, "violation"},
		"neighbour cut":                      {floodCase{kind: streamRequest, response: cut, neighbour: true, runs: 1, took: time.Second}, "violation"},
		"neighbour failed":                   {floodCase{kind: orderRequest, response: badGateway, neighbour: true, runs: 1, took: time.Second}, "violation"},
		"neighbour failed while disturbed":   {floodCase{kind: orderRequest, response: badGateway, neighbour: true, took: time.Second, disturbed: true}, ""},
		"neighbour refused under a limit":    {floodCase{kind: orderRequest, response: refused, neighbour: true, took: time.Millisecond, limited: true}, ""},
		"answered":                           {floodCase{kind: lookupRequest, response: whole, runs: 2, took: 3 * time.Second}, ""},
		"answered after its time":            {floodCase{kind: lookupRequest, response: whole, runs: 2, took: 5 * time.Second}, "violation"},
		"truly refused":                      {floodCase{kind: orderRequest, response: refused, took: time.Millisecond}, ""},
		"untruly refused":                    {floodCase{kind: lookupRequest, response: refused, runs: 1, took: time.Millisecond}, "violation"},
		"failed beside a sound engine":       {floodCase{kind: lookupRequest, response: badGateway, runs: 1, took: time.Second}, "violation"},
		"waited beside a sound engine":       {floodCase{kind: lookupRequest, response: timedOut, runs: 1, took: 4 * time.Second}, "violation"},
		"cut beside a sound engine":          {floodCase{kind: streamRequest, response: cut, runs: 1, took: time.Second}, "violation"},
		"ran once":                           {floodCase{kind: orderRequest, response: badGateway, runs: 1, took: time.Second}, "ran_once"},
		"ran once and ended late":            {floodCase{kind: orderRequest, response: timedOut, runs: 1, took: 5 * time.Second}, "violation"},
		"not run and waited":                 {floodCase{kind: orderRequest, response: timedOut, took: 4 * time.Second}, "violation"},
		"attempts used":                      {floodCase{kind: lookupRequest, response: badGateway, runs: maxAttempts, took: time.Second}, "attempts_used"},
		"no sound engine":                    {floodCase{kind: streamRequest, response: cut, runs: 1, took: time.Second, full: true}, "no_sound_engine"},
		"not run and without a sound engine": {floodCase{kind: streamRequest, response: timedOut, took: time.Second, full: true}, "violation"},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			violations, report := c.check()
			switch c.reason {
			case "violation":
				g.Expect(violations).To(HaveLen(1))
				g.Expect(report.Unanswered).To(BeEmpty())
			case "":
				g.Expect(violations).To(BeEmpty())
				g.Expect(report.Unanswered).To(BeEmpty())
			default:
				g.Expect(violations).To(BeEmpty())
				g.Expect(report.Unanswered).To(Equal(map[string]int{c.reason: 1}))
			}
		})
	}
}

// Guards against a flood that states that a request was not run, and is counted as a run of it.
func TestRejectingFloodIsNoRun(t *testing.T) {
	g := NewWithT(t)
	e := &engine{Engine: &standin.Engine{ID: "e", Service: orderService}}
	e.Behave = e.behave
	e.Start()
	defer e.Close()
	client := standin.NewClient(siteHost, true)
	call := func(id string) {
		client.Do(t.Context(), standin.Request{ID: id, Method: http.MethodPost, Path: "/o/x", Address: e.Address(), Engine: "e"})
	}
	rejection := floodPlace{flood: standin.Flood{Status: "503 Service Unavailable", NotRun: true, Head: "Content-Length: 1\r\n", Part: " "}}
	e.flood.Store(&rejection)
	call("rejected")
	call("both")
	e.flood.Store(nil)
	call("both")
	call("run")
	var ids []string
	for _, run := range e.Runs() {
		ids = append(ids, run.ID)
	}
	g.Expect(ids).To(Equal([]string{"both", "run"}))
}

// Guards against a service whose engines can't flood, and against places whose names are used twice.
func TestPlacesOfFloods(t *testing.T) {
	g := NewWithT(t)
	names := make(map[string]bool)
	for _, p := range floodPlaces {
		g.Expect(names).NotTo(HaveKey(p.name))
		names[p.name] = true
	}
	g.Expect(floodPlacesFor(modelService, nil)).To(HaveLen(len(floodPlaces)))
	g.Expect(len(floodPlacesFor(orderService, nil))).To(BeNumerically("<", len(floodPlaces)))
	g.Expect(floodPlacesFor(orderService, []string{"body", "event"})).To(HaveLen(1))
}

// Guards against a peak that is not read or has another unit.
func TestPeakMemory(t *testing.T) {
	g := NewWithT(t)
	peak, ok := peakMemory(os.Getpid())
	g.Expect(ok).To(BeTrue())
	g.Expect(peak).To(BeNumerically(">", 1<<20))
	g.Expect(peak).To(BeNumerically("<", 8<<30))
	_, ok = peakMemory(-1)
	g.Expect(ok).To(BeFalse())
}

// Guards against a process that had too much memory, or of which no peak was read, and that passes.
func TestCheckOfMemory(t *testing.T) {
	for name, c := range map[string]struct {
		peaks      map[string]int64
		violations int
	}{
		"within": {map[string]int64{"vm-1/1": 90 << 20, "vm-1/2": smallestMemoryMB << 20}, 0},
		"beyond": {map[string]int64{"vm-1/1": 90 << 20, "vm-1/2": smallestMemoryMB<<20 + 1}, 1},
		"unread": {nil, 1},
	} {
		t.Run(name, func(t *testing.T) {
			report := &Report{Floods: &FloodReport{}}
			check := &checker{testbed: &testbed{vms: []*VM{{ID: "vm-1", peaks: c.peaks}}}, report: report}
			check.checkMemory()
			NewWithT(t).Expect(report.Violations).To(HaveLen(c.violations))
		})
	}
}
