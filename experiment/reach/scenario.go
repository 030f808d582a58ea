package reach

import "time"

// trouble is what happens to connections of the VM from troubleAt to troubleEnd.
type trouble int

// The troubles. The first three are cuts of the VM; the others are the upstreams' own.
const (
	resets trouble = iota
	silence
	refusesNew
	crashes
	dark
	pauses
)

// isCut reports whether the VM is cut off.
func (t trouble) isCut() bool { return t <= refusesNew }

// Scenario is a load and a trouble.
type Scenario struct {
	Name      string
	Upstreams int
	// PerSecond is the number of requests of the VM per second.
	PerSecond float64
	// Takes is how long an answer takes, and HeaderWait how long the VM waits for its beginning.
	Takes, HeaderWait time.Duration
	trouble           trouble
	// share is the share of the upstreams that the trouble concerns.
	share float64
	// lasts is how long the trouble lasts.
	lasts time.Duration
}

const streamWait, callWait = 1500 * time.Millisecond, 300 * time.Millisecond

// Scenarios are the simulated scenarios.
var Scenarios = []Scenario{
	{Name: "cut, connections reset, 12 upstreams", Upstreams: 12, PerSecond: 10, Takes: time.Second, HeaderWait: streamWait, trouble: resets, share: 1, lasts: 10 * time.Second},
	{Name: "cut, connections silent, 12 upstreams", Upstreams: 12, PerSecond: 10, Takes: time.Second, HeaderWait: streamWait, trouble: silence, share: 1, lasts: 10 * time.Second},
	{Name: "cut, silent, 1 request a second", Upstreams: 12, PerSecond: 1, Takes: time.Second, HeaderWait: streamWait, trouble: silence, share: 1, lasts: 10 * time.Second},
	{Name: "cut from 11 of 12 upstreams, reset", Upstreams: 12, PerSecond: 10, Takes: time.Second, HeaderWait: streamWait, trouble: resets, share: 0.92, lasts: 10 * time.Second},
	{Name: "cut, reset, 3 plain upstreams", Upstreams: 3, PerSecond: 5, Takes: 20 * time.Millisecond, HeaderWait: callWait, trouble: resets, share: 1, lasts: 10 * time.Second},
	{Name: "cut, silent, 3 plain upstreams", Upstreams: 3, PerSecond: 5, Takes: 20 * time.Millisecond, HeaderWait: callWait, trouble: silence, share: 1, lasts: 10 * time.Second},
	{Name: "cut, only new connections refused", Upstreams: 12, PerSecond: 10, Takes: time.Second, HeaderWait: streamWait, trouble: refusesNew, share: 1, lasts: 10 * time.Second},
	{Name: "2 of 12 upstreams end", Upstreams: 12, PerSecond: 10, Takes: time.Second, HeaderWait: streamWait, trouble: crashes, share: 0.17, lasts: 4 * time.Second},
	{Name: "half of 12 upstreams end", Upstreams: 12, PerSecond: 10, Takes: time.Second, HeaderWait: streamWait, trouble: crashes, share: 0.5, lasts: 4 * time.Second},
	{Name: "1 of 3 plain upstreams ends", Upstreams: 3, PerSecond: 5, Takes: 20 * time.Millisecond, HeaderWait: callWait, trouble: crashes, share: 0.34, lasts: 4 * time.Second},
	{Name: "half of 12 upstreams end, 1 request a second", Upstreams: 12, PerSecond: 1, Takes: time.Second, HeaderWait: streamWait, trouble: crashes, share: 0.5, lasts: 4 * time.Second},
	{Name: "15 of 90 upstreams end, 3 requests a second", Upstreams: 90, PerSecond: 3, Takes: 200 * time.Millisecond, HeaderWait: streamWait, trouble: crashes, share: 0.17, lasts: 10 * time.Second},
	{Name: "15 of 90 upstreams are dark, 3 requests a second", Upstreams: 90, PerSecond: 3, Takes: 200 * time.Millisecond, HeaderWait: streamWait, trouble: dark, share: 0.17, lasts: 10 * time.Second},
	{Name: "12 upstreams are silent for a second", Upstreams: 12, PerSecond: 10, Takes: time.Second, HeaderWait: streamWait, trouble: pauses, share: 1, lasts: time.Second},
	{Name: "3 plain upstreams are silent for a second", Upstreams: 3, PerSecond: 5, Takes: 20 * time.Millisecond, HeaderWait: callWait, trouble: pauses, share: 1, lasts: time.Second},
}
