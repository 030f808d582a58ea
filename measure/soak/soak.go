// Package soak runs mixed traffic through entry VMs while faults from a seeded
// schedule strike, and checks the promises to callers at the end from the
// stand-ins' own counts.
//
// Checked are: a whole answer is the caller's own; a call that is not
// idempotent runs at most once; a refusal that says a request was not run is
// true; no attempt reaches an engine twice; a session stays on its version while
// the configuration changes; a planned stop cuts nothing off; the ledger
// counts every whole completion and no request beyond those whose outcome is
// open; and goroutines do not grow.
package soak

import (
	"context"
	"runtime"
	"time"

	"github.com/poplarshore/poplarshore/measure/load"
	"github.com/poplarshore/poplarshore/measure/meter"
	"github.com/poplarshore/poplarshore/measure/site"
	"github.com/poplarshore/poplarshore/settings"
	"github.com/poplarshore/poplarshore/standin/engine"
)

// Options bound a run.
type Options struct {
	Seed uint64
	// Rate is the number of requests per second.
	Rate float64
	// Count and Duration end the traffic; 0 means no bound, and one is needed.
	Count    int
	Duration time.Duration
	// FaultEvery is the number of requests from one fault to the next.
	FaultEvery int
	// RestartEvery is the number of requests from one restart of an entry VM
	// to the next; every second one is a kill. 0 means none.
	RestartEvery int
	// FlipEvery is the number of requests from one change of the current
	// version to the next. 0 means none.
	FlipEvery int
	VMs       int
	Engines   int
	// SilentServices lets services fall silent too; the entry waits ten seconds
	// for each.
	SilentServices bool
}

// Report is the result of a run.
type Report struct {
	Traffic load.Report `json:"traffic"`
	// Refusals counts refusals by code.
	Refusals map[string]int `json:"refusals"`
	// Faults counts the faults that struck, by kind.
	Faults map[string]uint64 `json:"faults"`
	// Stops and Kills count restarts of entry VMs.
	Stops int `json:"stops"`
	Kills int `json:"kills"`
	// Changes counts accepted changes of the current version, Pinned the whole
	// answers within sessions begun before.
	Changes int `json:"changes"`
	Pinned  int `json:"pinned"`
	// Billed is the number of requests in the ledger's totals.
	Billed int64 `json:"billed"`
	// Violations lists broken promises; empty is good.
	Violations []string `json:"violations"`
	// Goroutines and heap of the whole process, before and after the traffic.
	GoroutinesBefore int    `json:"goroutines_before"`
	GoroutinesAfter  int    `json:"goroutines_after"`
	HeapBefore       uint64 `json:"heap_before"`
	HeapAfter        uint64 `json:"heap_after"`
}

// The outcomes of requests beside load.Whole.
const (
	refused load.Outcome = "refused"
	cut     load.Outcome = "cut"
)

const (
	maxInFlight    = 512
	engineCapacity = 256
	tokenTime      = time.Millisecond
	// stageLimit is the entry's limit on each wait, so that silent connections
	// are found quickly.
	stageLimit = 300
	// goroutineSlack is the growth that is put down to idle connections.
	goroutineSlack = 400
)

// Run runs a soak.
func Run(ctx context.Context, o Options) (Report, error) {
	env, err := site.Start(ctx, o.site())
	if err != nil {
		return Report{}, err
	}
	defer env.Close()
	r := newRun(o, env)
	defer r.close()
	r.report.GoroutinesBefore, r.report.HeapBefore = runtime.NumGoroutine(), meter.Heap()
	r.report.Traffic = load.Run(ctx, load.Options{
		Rate: o.Rate, Count: o.Count, Duration: o.Duration, MaxInFlight: maxInFlight, Seed: o.Seed,
	}, r.request)
	r.restarts.Wait()
	r.close()
	r.check()
	if err := r.checkBills(ctx); err != nil {
		return r.report, err
	}
	r.report.GoroutinesAfter, r.report.HeapAfter = runtime.NumGoroutine(), meter.Heap()
	if grown := r.report.GoroutinesAfter - r.report.GoroutinesBefore; grown > goroutineSlack {
		r.violate("goroutines grew by %d", grown)
	}
	return r.report, nil
}

func (o Options) site() site.Options {
	return site.Options{
		VMs: o.VMs, Engines: o.Engines, Capacity: engineCapacity, Settings: quick,
		Engine: func(e *engine.Options) { e.TokenTime = tokenTime },
	}
}

func quick(s *settings.Entry) {
	s.Timeouts.HeadersMS, s.Timeouts.IdleMS = stageLimit, stageLimit
}
