// Package shares measures how closely VMs that share the rate limit of a client
// account keep to it, and how much of it they use.
//
// Entry VMs admit the requests of one client account. Each VM reports its demand
// to the others once per interval, the reports arrive with a delay, and a network
// partition may separate the VMs for a while. The limiter is compared with fixed
// equal shares and with VMs that each apply the full limit.
package shares

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/poplarshore/poplarshore/contract"
	"github.com/poplarshore/poplarshore/experiment/fleet"
	"github.com/poplarshore/poplarshore/limit"
	"github.com/poplarshore/poplarshore/vm"
)

// Scenario is one load on the VMs and the state of the network between them.
type Scenario struct {
	Name string
	VMs  int
	// Rate is the account's limit in requests per second.
	Rate float64
	// OfferedLoad is the offered rate as a multiple of the limit.
	OfferedLoad float64
	// HotShare is the share of requests, from 0 to 1, that one VM receives. The
	// rest is spread evenly over all VMs. That VM changes every HotMoveInterval; zero
	// means that it stays the same.
	HotShare        float64
	HotMoveInterval time.Duration
	// The VMs are partitioned into two halves from PartitionStart on, counted from
	// the end of the warm-up, for PartitionDuration; zero means no partition.
	PartitionStart, PartitionDuration time.Duration
	Duration                          time.Duration
}

// Scenarios returns the scenarios of the experiment.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "even, 2x", VMs: 7, Rate: 100, OfferedLoad: 2, Duration: 3 * time.Minute},
		{Name: "one VM gets 70%, 0.8x", VMs: 7, Rate: 100, OfferedLoad: 0.8, HotShare: 0.7, Duration: 3 * time.Minute},
		{Name: "70% moves every 30 s, 2x", VMs: 7, Rate: 100, OfferedLoad: 2, HotShare: 0.7, HotMoveInterval: 30 * time.Second, Duration: 3 * time.Minute},
		{Name: "cut for 60 s, 70% moves, 2x", VMs: 7, Rate: 100, OfferedLoad: 2, HotShare: 0.7, HotMoveInterval: 30 * time.Second, PartitionStart: time.Minute, PartitionDuration: time.Minute, Duration: 3 * time.Minute},
		{Name: "10/s limit, 7 VMs, 0.5x", VMs: 7, Rate: 10, OfferedLoad: 0.5, Duration: 2 * time.Minute},
		{Name: "10/s limit, 200 VMs, 0.5x", VMs: 200, Rate: 10, OfferedLoad: 0.5, Duration: 2 * time.Minute},
	}
}

// Policy is a way to divide a limit among VMs.
type Policy string

// The policies.
const (
	// PolicyLimiter divides the limit according to the demand that the VMs report.
	PolicyLimiter Policy = "limiter"
	// PolicyEvenShares gives each VM the same fixed share.
	PolicyEvenShares Policy = "even shares"
	// PolicyFullLimitEach lets each VM admit up to the full limit.
	PolicyFullLimitEach Policy = "whole limit each"
)

// Policies returns all policies.
func Policies() []Policy { return []Policy{PolicyLimiter, PolicyEvenShares, PolicyFullLimitEach} }

// Result is the result of one policy with one seed.
type Result struct {
	// Admitted is the mean admitted rate as a multiple of the limit.
	Admitted float64 `json:"admitted"`
	// WorstWindow is the highest admitted rate in any Window, as a multiple of the limit.
	WorstWindow float64 `json:"worst_window"`
	// Refused is the share of offered requests that were refused, from 0 to 1.
	Refused float64 `json:"refused_share"`
}

const (
	// warmUp is the time before the measurement, in which shares settle.
	warmUp = 30 * time.Second
	// Window is the length of the sliding window of Result.WorstWindow.
	Window = 10 * time.Second
	// maxReportDelay bounds the uniformly distributed delay of a report.
	maxReportDelay = 800 * time.Millisecond
	accountID      = "a"
)

// run is the state of one simulation run. Requests are counted after the warm-up.
type run struct {
	fleet.Loop
	scenario          Scenario
	rng               *rand.Rand
	limiters          []*limit.Limiter
	limits            contract.Limits
	offered           int
	admittedPerSecond []int
}

// Run simulates one policy with one seed. The result depends on the arguments
// alone.
func Run(scenario Scenario, policy Policy, seed uint64) Result {
	r := &run{
		scenario: scenario, rng: rand.New(rand.NewPCG(seed, 3)),
		limits:            contract.Limits{RequestsPerSecond: scenario.Rate},
		admittedPerSecond: make([]int, int(scenario.Duration/time.Second)+1),
	}
	r.makeLimiters(policy)
	if policy == PolicyEvenShares {
		r.limits.RequestsPerSecond /= float64(scenario.VMs)
	}
	r.scheduleArrivals()
	r.Loop.Run(warmUp + scenario.Duration)
	return r.result()
}

// makeLimiters creates the limiter of each VM. Only with PolicyLimiter do the VMs
// know each other and exchange reports.
func (r *run) makeLimiters(policy Policy) {
	ids := make([]vm.ID, r.scenario.VMs)
	for i := range ids {
		ids[i] = vm.ID(fmt.Sprintf("vm%03d", i))
	}
	for i, id := range ids {
		opts := limit.DefaultOptions(id, "1")
		limiter := limit.New(opts)
		r.limiters = append(r.limiters, limiter)
		if policy != PolicyLimiter {
			continue
		}
		limiter.SetMembers(ids)
		offset := time.Duration(r.rng.Int64N(int64(opts.Interval)))
		r.Every(offset, opts.Interval, func() { r.sendReport(i) })
	}
}

func (r *run) sendReport(from int) {
	report := r.limiters[from].Report(r.Time())
	for to, limiter := range r.limiters {
		if to == from || r.partitioned(from, to) {
			continue
		}
		r.After(time.Duration(r.rng.Int64N(int64(maxReportDelay))), func() { limiter.Observe(report, r.Time()) })
	}
}

// partitioned reports whether two VMs are on different sides of a current partition.
func (r *run) partitioned(a, b int) bool {
	elapsed := r.Now - warmUp
	if r.scenario.PartitionDuration == 0 || elapsed < r.scenario.PartitionStart || elapsed >= r.scenario.PartitionStart+r.scenario.PartitionDuration {
		return false
	}
	half := r.scenario.VMs / 2
	return (a < half) != (b < half)
}

// scheduleArrivals generates requests as a Poisson process.
func (r *run) scheduleArrivals() {
	perSecond := r.scenario.Rate * r.scenario.OfferedLoad
	r.After(time.Duration(r.rng.ExpFloat64()/perSecond*float64(time.Second)), func() {
		r.handleRequest(r.limiters[r.drawVM()])
		r.scheduleArrivals()
	})
}

// drawVM draws the VM to which the load balancer sends a request.
func (r *run) drawVM() int {
	if r.rng.Float64() >= r.scenario.HotShare {
		return r.rng.IntN(r.scenario.VMs)
	}
	if r.scenario.HotMoveInterval == 0 {
		return 0
	}
	return int(r.Now/r.scenario.HotMoveInterval) * 3 % r.scenario.VMs
}

func (r *run) handleRequest(limiter *limit.Limiter) {
	ticket, err := limiter.Admit(accountID, r.limits, limit.Estimate{}, r.Time())
	if r.Now < warmUp {
		return
	}
	r.offered++
	if err == nil {
		ticket.Settle(0, r.Time())
		r.admittedPerSecond[(r.Now-warmUp)/time.Second]++
	}
}

func (r *run) result() Result {
	total, worst := 0, 0
	windowSeconds := int(Window / time.Second)
	for i := range r.admittedPerSecond {
		total += r.admittedPerSecond[i]
		sum := 0
		for _, n := range r.admittedPerSecond[max(i-windowSeconds+1, 0) : i+1] {
			sum += n
		}
		worst = max(worst, sum)
	}
	return Result{
		Admitted:    float64(total) / (r.scenario.Rate * r.scenario.Duration.Seconds()),
		WorstWindow: float64(worst) / (r.scenario.Rate * Window.Seconds()),
		Refused:     1 - float64(total)/float64(max(r.offered, 1)),
	}
}
