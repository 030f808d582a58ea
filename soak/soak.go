package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// Options bound a run.
type Options struct {
	// Binary is the path of poplarshored.
	Binary string
	// Dir takes settings and logs; empty takes a new folder.
	Dir string
	// Seed decides on the schedule of faults and the requests.
	Seed uint64
	// Duration is the time of traffic, Rate its requests a second.
	Duration time.Duration
	Rate     float64
	// VMs and Engines are the numbers of gateways and model engines.
	VMs, Engines int
	// Hands is the number of faults that may be under way at the same time.
	Hands  int
	Bounds Bounds
}

// DefaultOptions returns the options of a run by hand.
func DefaultOptions() Options {
	return Options{
		Seed: 1, Duration: 30 * time.Second, Rate: 60, VMs: 6, Engines: 6, Hands: 2, Bounds: DefaultBounds(),
	}
}

// Report is the result of a run.
type Report struct {
	Seed uint64 `json:"seed"`
	// Dir holds the settings and logs of the VMs.
	Dir string `json:"dir"`
	// Requests counts the requests, Outcomes them by kind and outcome.
	Requests int            `json:"requests"`
	Outcomes map[string]int `json:"outcomes"`
	// Faults counts the faults by kind.
	Faults map[string]int `json:"faults"`
	// Violations lists broken promises; empty is good.
	Violations []string `json:"violations"`

	mu    sync.Mutex
	stops []stop
	left  []left
}

func (r *Report) violate(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
}

func (r *Report) addFault(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Faults[name]++
}

func (r *Report) addStop(s stop) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stops = append(r.stops, s)
}

func (r *Report) addLeft(l left) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.left = append(r.left, l)
}

const (
	// readyLimit is the longest time for all VMs to serve at the start.
	readyLimit = 10 * time.Second
	readyPoll  = 50 * time.Millisecond
	// calmEnd is the time without faults at the end, in which requests under
	// way end.
	calmEnd = 2 * time.Second
)

// Run runs one soak. Errors: ErrStart.
func Run(ctx context.Context, o Options) (*Report, error) {
	dir, err := workDir(o)
	if err != nil {
		return nil, ErrStart.Wrap(err, "folder")
	}
	report := &Report{Seed: o.Seed, Dir: dir, Outcomes: make(map[string]int), Faults: make(map[string]int)}
	s, err := newSite(o, dir)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return report, err
	}
	c := newCallers(s)
	if err := c.awaitReady(ctx); err != nil {
		return report, err
	}
	play(ctx, o, s, c, report)
	j := &judge{site: s, bounds: o.Bounds, told: c.told, report: report}
	j.check()
	report.Requests = len(c.told)
	return report, nil
}

// play runs traffic and faults.
func play(ctx context.Context, o Options, s *site, c *callers, report *Report) {
	traffic, endTraffic := context.WithTimeout(ctx, o.Duration+calmEnd)
	defer endTraffic()
	faults, endFaults := context.WithTimeout(ctx, o.Duration)
	defer endFaults()
	t := &trouble{site: s, bounds: o.Bounds, report: report}
	var wait sync.WaitGroup
	for hand := range o.Hands {
		rng := rand.New(rand.NewPCG(o.Seed, uint64(hand)+1))
		wait.Go(func() { t.hand(faults, rng) })
	}
	c.run(traffic, o.Rate, rand.New(rand.NewPCG(o.Seed, 0)))
	wait.Wait()
}

// maxPause is the longest pause between two faults of a hand.
const maxPause = 1500 * time.Millisecond

// hand injects one fault after the other.
func (t *trouble) hand(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		rest(ctx, time.Duration(rng.Int64N(int64(maxPause))))
		if ctx.Err() != nil {
			return
		}
		s := steps[rng.IntN(len(steps))]
		t.report.addFault(s.name)
		s.run(t, ctx, rng)
	}
}
