// Package shares measures how well limits that VMs share by slow reports are
// kept and used.
//
// Entry VMs admit the requests of one client account. Reports leave once an
// interval and arrive late; a cut parts the VMs for a while. The limiter is
// compared with fixed even shares and with VMs that each hold the whole limit.
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

// Scenario is one load on the VMs.
type Scenario struct {
	Name string
	VMs  int
	// Rate is the account's limit in requests per second.
	Rate float64
	// Offered is the offered rate over the limit.
	Offered float64
	// First is the part of the requests that one VM gets, which changes
	// every MoveEvery; zero spreads them evenly.
	First     float64
	MoveEvery time.Duration
	// CutAt parts the VMs into two halves for CutFor.
	CutAt, CutFor time.Duration
	Duration      time.Duration
}

// Scenarios returns the measured ones.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "even, 2x", VMs: 7, Rate: 100, Offered: 2, Duration: 3 * time.Minute},
		{Name: "one VM gets 70%, 0.8x", VMs: 7, Rate: 100, Offered: 0.8, First: 0.7, Duration: 3 * time.Minute},
		{Name: "70% moves every 30 s, 2x", VMs: 7, Rate: 100, Offered: 2, First: 0.7, MoveEvery: 30 * time.Second, Duration: 3 * time.Minute},
		{Name: "cut for 60 s, 70% moves, 2x", VMs: 7, Rate: 100, Offered: 2, First: 0.7, MoveEvery: 30 * time.Second, CutAt: time.Minute, CutFor: time.Minute, Duration: 3 * time.Minute},
		{Name: "10/s limit, 7 VMs, 0.5x", VMs: 7, Rate: 10, Offered: 0.5, Duration: 2 * time.Minute},
		{Name: "10/s limit, 200 VMs, 0.5x", VMs: 200, Rate: 10, Offered: 0.5, Duration: 2 * time.Minute},
	}
}

// Policy is a way to share a limit.
type Policy string

// The policies.
const (
	Shared Policy = "limiter"
	Even   Policy = "even shares"
	Whole  Policy = "whole limit each"
)

// Policies lists the measured ones.
func Policies() []Policy { return []Policy{Shared, Even, Whole} }

// Result is what one policy did with one seed.
type Result struct {
	// Admitted is the admitted rate over the limit.
	Admitted float64 `json:"admitted"`
	// Worst is the highest admitted rate over the limit in any Window.
	Worst float64 `json:"worst_window"`
	// Refused is the refused part of the offered requests.
	Refused float64 `json:"refused_share"`
}

const (
	warmUp = 30 * time.Second
	// Window is the time over which the worst rate is taken.
	Window   = 10 * time.Second
	maxDelay = 800 * time.Millisecond
	account  = "a"
)

// run is the state of one run.
type run struct {
	fleet.Loop
	s        Scenario
	rng      *rand.Rand
	limiters []*limit.Limiter
	limits   contract.Limits
	offered  int
	admitted []int
}

// Run measures one policy with one seed.
func Run(s Scenario, p Policy, seed uint64) Result {
	r := &run{
		s: s, rng: rand.New(rand.NewPCG(seed, 3)),
		limits:   contract.Limits{RequestsPerSecond: s.Rate},
		admitted: make([]int, int(s.Duration/time.Second)+1),
	}
	r.makeLimiters(p)
	if p == Even {
		r.limits.RequestsPerSecond /= float64(s.VMs)
	}
	r.arrive()
	r.Loop.Run(warmUp + s.Duration)
	return r.result()
}

// makeLimiters makes VMs that know each other only if they share.
func (r *run) makeLimiters(p Policy) {
	ids := make([]vm.ID, r.s.VMs)
	for i := range ids {
		ids[i] = vm.ID(fmt.Sprintf("vm%03d", i))
	}
	for i, id := range ids {
		opts := limit.DefaultOptions(id, "1")
		l := limit.New(opts)
		r.limiters = append(r.limiters, l)
		if p != Shared {
			continue
		}
		l.SetMembers(ids)
		offset := time.Duration(r.rng.Int64N(int64(opts.Interval)))
		r.Every(offset, opts.Interval, func() { r.report(i) })
	}
}

func (r *run) report(from int) {
	report := r.limiters[from].Report(r.Time())
	for to, l := range r.limiters {
		if to == from || r.apart(from, to) {
			continue
		}
		r.After(time.Duration(r.rng.Int64N(int64(maxDelay))), func() { l.Observe(report, r.Time()) })
	}
}

// apart tells whether the cut is between two VMs.
func (r *run) apart(a, b int) bool {
	since := r.Now - warmUp
	if r.s.CutFor == 0 || since < r.s.CutAt || since >= r.s.CutAt+r.s.CutFor {
		return false
	}
	half := r.s.VMs / 2
	return (a < half) != (b < half)
}

// arrive lets requests come as a Poisson process.
func (r *run) arrive() {
	perSecond := r.s.Rate * r.s.Offered
	r.After(time.Duration(r.rng.ExpFloat64()/perSecond*float64(time.Second)), func() {
		r.request(r.limiters[r.pickVM()])
		r.arrive()
	})
}

// pickVM draws the VM that the balancer sends a request to.
func (r *run) pickVM() int {
	if r.rng.Float64() >= r.s.First {
		return r.rng.IntN(r.s.VMs)
	}
	if r.s.MoveEvery == 0 {
		return 0
	}
	return int(r.Now/r.s.MoveEvery) * 3 % r.s.VMs
}

func (r *run) request(l *limit.Limiter) {
	t, err := l.Admit(account, r.limits, limit.Estimate{}, r.Time())
	if r.Now < warmUp {
		return
	}
	r.offered++
	if err == nil {
		t.Settle(0, r.Time())
		r.admitted[(r.Now-warmUp)/time.Second]++
	}
}

func (r *run) result() Result {
	total, worst := 0, 0
	window := int(Window / time.Second)
	for i := range r.admitted {
		total += r.admitted[i]
		sum := 0
		for _, n := range r.admitted[max(i-window+1, 0) : i+1] {
			sum += n
		}
		worst = max(worst, sum)
	}
	return Result{
		Admitted: float64(total) / (r.s.Rate * r.s.Duration.Seconds()),
		Worst:    float64(worst) / (r.s.Rate * Window.Seconds()),
		Refused:  1 - float64(total)/float64(max(r.offered, 1)),
	}
}
