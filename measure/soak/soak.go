// Package soak runs mixed traffic through entry VMs while it injects faults from
// a seeded schedule, and then checks the guarantees to callers against the counts
// of the stand-ins.
//
// It checks that:
//   - a complete answer belongs to the caller's request;
//   - a non-idempotent call runs at most once;
//   - a request that is refused as not run was not run;
//   - no attempt reaches an engine twice;
//   - a session stays on its version while the configuration changes;
//   - a planned stop aborts no request;
//   - the ledger counts every complete completion, and otherwise only requests
//     that may have run;
//   - the number of goroutines doesn't grow.
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

// Options configure a run.
type Options struct {
	// Seed seeds the traffic, the faults and the choice of VMs.
	Seed uint64
	// Rate is the number of requests per second.
	Rate float64
	// Count and Duration are the maximum number of requests and the maximum
	// duration of the traffic. 0 means no maximum; at least one must be set.
	Count    int
	Duration time.Duration
	// FaultEvery is the number of requests from one fault to the next. 0 means
	// none.
	FaultEvery int
	// RestartEvery is the number of requests from one restart of an entry VM
	// to the next. Every second restart follows a kill, the others a planned stop.
	// 0 means none.
	RestartEvery int
	// SwitchEvery is the number of requests from one change of the current
	// version to the next. 0 means none.
	SwitchEvery int
	// VMs and Engines are the numbers of entry VMs and of engines.
	VMs     int
	Engines int
	// SilentServices enables faults in which a service does not respond. The
	// entry waits 10 s for each such response.
	SilentServices bool
}

// Report is the result of a run.
type Report struct {
	Traffic load.Report `json:"traffic"`
	// Refusals counts refusals by code and ran, as "code/ran".
	Refusals map[string]int `json:"refusals"`
	// Faults counts the injected faults by kind.
	Faults map[string]uint64 `json:"faults"`
	// Stops and Kills count restarts of entry VMs after a planned stop and after a
	// kill.
	Stops int `json:"stops"`
	Kills int `json:"kills"`
	// Changes counts accepted changes of the current version. Pinned counts
	// complete answers in sessions that an earlier request started.
	Changes int `json:"changes"`
	Pinned  int `json:"pinned"`
	// Billed is the number of requests in the ledger's totals.
	Billed int64 `json:"billed"`
	// Violations describes the guarantees that were violated. It is empty if the
	// run succeeded.
	Violations []string `json:"violations"`
	// The number of goroutines and the live heap, in bytes, of the process before
	// and after the traffic.
	GoroutinesBefore int    `json:"goroutines_before"`
	GoroutinesAfter  int    `json:"goroutines_after"`
	HeapBefore       uint64 `json:"heap_before"`
	HeapAfter        uint64 `json:"heap_after"`
}

// Outcomes of requests other than load.Complete.
const (
	refused load.Outcome = "refused"
	failed  load.Outcome = "cut"
)

const (
	maxInFlight    = 512
	engineCapacity = 256
	// tokenTime is the engines' time per token.
	tokenTime = time.Millisecond
	// stageTimeoutMS is the entry's header timeout and idle timeout, in
	// milliseconds. It is short, so that silent connections are detected quickly.
	stageTimeoutMS = 300
	// maxGoroutineGrowth is the growth in the number of goroutines that idle
	// connections may cause.
	maxGoroutineGrowth = 400
)

// Run starts an environment, sends the traffic, and returns a report with the
// violated guarantees. An error means that the environment could not be started or
// the ledger could not be read.
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
	r.disruptions.Wait()
	r.close()
	r.checkResponses()
	if err := r.checkLedger(ctx); err != nil {
		return r.report, err
	}
	r.report.GoroutinesAfter, r.report.HeapAfter = runtime.NumGoroutine(), meter.Heap()
	if grown := r.report.GoroutinesAfter - r.report.GoroutinesBefore; grown > maxGoroutineGrowth {
		r.recordViolation("number of goroutines grew by %d", grown)
	}
	return r.report, nil
}

// site returns the options of the environment.
func (o Options) site() site.Options {
	return site.Options{
		VMs: o.VMs, Engines: o.Engines, Capacity: engineCapacity, Settings: shortTimeouts,
		Engine: func(e *engine.Options) { e.TokenTime = tokenTime },
	}
}

// shortTimeouts sets the entry's header timeout and idle timeout.
func shortTimeouts(s *settings.Entry) {
	s.Timeouts.HeadersMS, s.Timeouts.IdleMS = stageTimeoutMS, stageTimeoutMS
}
