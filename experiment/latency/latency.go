// Package latency measures the time to the first token by routing policy.
//
// Entry VMs, each with its own late view of the load, send requests of random
// size to fake engines that other senders use as well. Every policy sees the
// same seeds.
package latency

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/poplarshore/poplarshore/contract"
	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/experiment/fleet"
	"github.com/poplarshore/poplarshore/link"
	"github.com/poplarshore/poplarshore/loadstate"
	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/money"
	"github.com/poplarshore/poplarshore/route"
	"github.com/poplarshore/poplarshore/upstream"
)

// Options set up the experiment.
type Options struct {
	Engines int
	VMs     int
	// Load is the offered work over the engines' capacity, other senders' too.
	Load float64
	// Skewed gives engines unlike speeds, other senders' work unevenly, and
	// callers unevenly to VMs.
	Skewed bool
	// ReportLag is how late reports arrive.
	ReportLag time.Duration
	// CostWeight is the contract's weight of cost; that of latency is 1.
	CostWeight float64
	// Duration is the virtual time that is measured.
	Duration time.Duration
}

// DefaultOptions returns the sizes of today's larger user.
func DefaultOptions() Options {
	return Options{
		Engines: 12, VMs: 7, Load: 0.75, Skewed: true,
		ReportLag: time.Second, CostWeight: 1, Duration: 5 * time.Minute,
	}
}

// Result is what one policy did with one seed. Times are in milliseconds.
type Result struct {
	P50     float64 `json:"p50_ms"`
	P99     float64 `json:"p99_ms"`
	Mean    float64 `json:"mean_ms"`
	Crossed float64 `json:"crossed_share"`
	Cached  float64 `json:"cached_share"`
	Refused int     `json:"refused"`
}

const (
	engineCapacity  = 16
	engineCache     = 2000
	reportInterval  = 500 * time.Millisecond
	warmUp          = 30 * time.Second
	meanAnswer      = 150.0
	answerSpread    = 0.9
	meanPrompt      = 1200.0
	promptSpread    = 0.8
	prefixGroups    = 2000
	prefixZipf      = 1.2
	prefixBlocks    = 8
	prefixTokens    = prefixBlocks * route.BlockBytes / route.BytesPerToken
	slowSpeed       = 0.5
	crossLatencyMS  = 25
	crossPrice      = money.PerMillion(20_000)
	bytesPerRequest = 20_000
	otherShare      = 0.2
)

var (
	ref     = model.Ref{Model: "strong", Version: "v1"}
	key     = loadstate.Key{Ref: ref}
	regions = []domain.Region{"taipei", "taichung", "kaohsiung"}
)

// run is the state of one run.
type run struct {
	fleet.Loop
	opts    Options
	rng     *rand.Rand
	zipf    *rand.Zipf
	engines []*fleet.Engine
	ups     []*upstream.Upstream
	vms     []*entryVM
	hist    *hdrhistogram.Histogram

	requests, crossed int
	blocks, refused   int
}

// entryVM is one entry VM with its own view of the engines.
type entryVM struct {
	region   domain.Region
	state    *loadstate.State
	locality *loadstate.PrefixIndex
	policy   route.Selector
}

// Run measures one policy, made anew for each VM, with one seed.
func Run(opts Options, seed uint64, newPolicy func() route.Selector) Result {
	r := &run{
		opts: opts,
		rng:  rand.New(rand.NewPCG(seed, 1)),
		hist: hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 3),
	}
	r.zipf = rand.NewZipf(r.rng, prefixZipf, 1, prefixGroups-1)
	r.makeEngines()
	for i := range opts.VMs {
		r.vms = append(r.vms, r.makeVM(regions[i%len(regions)], newPolicy()))
	}
	r.startReports()
	r.startSenders()
	r.Loop.Run(warmUp + opts.Duration)
	return r.result()
}

func (r *run) makeEngines() {
	for i := range r.opts.Engines {
		e := fleet.NewEngine(&r.Loop, engineCapacity, engineCache)
		if r.opts.Skewed && i%3 == 2 {
			e.Speed = slowSpeed
		}
		r.engines = append(r.engines, e)
		r.ups = append(r.ups, &upstream.Upstream{
			ID: upstream.ID(fmt.Sprintf("e%03d", i)), Kind: upstream.Engine,
			Domain: domain.ID(regions[(i/3)%len(regions)]), Capacity: engineCapacity,
		})
	}
}

func (r *run) makeVM(region domain.Region, policy route.Selector) *entryVM {
	vm := &entryVM{
		region:   region,
		state:    loadstate.New(loadstate.DefaultOptions()),
		locality: loadstate.NewPrefixIndex(loadstate.DefaultPrefixIndexOptions()),
		policy:   policy,
	}
	vm.state.Reconcile(loadstate.GroupConfig{
		Region:   region,
		Links:    regionLinks(),
		RegionOf: func(d domain.ID) domain.Region { return domain.Region(d) },
		Groups:   map[loadstate.Key][]*upstream.Upstream{key: r.ups},
	})
	return vm
}

func regionLinks() link.Map {
	var links []link.Link
	for i, a := range regions {
		for _, b := range regions[i+1:] {
			links = append(links, link.Link{From: a, To: b, LatencyMS: crossLatencyMS, PricePerMB: crossPrice})
		}
	}
	return link.NewMap(links)
}

// startReports lets each engine tell its load to each VM, late.
func (r *run) startReports() {
	for i, e := range r.engines {
		offset := time.Duration(r.rng.Int64N(int64(reportInterval)))
		r.Every(offset, reportInterval, func() {
			report := loadstate.Report{Load: e.Load(), Taken: r.Time()}
			r.After(r.opts.ReportLag, func() {
				for _, vm := range r.vms {
					_, _ = vm.state.ObserveLoad(r.ups[i].ID, report)
				}
			})
		})
	}
}

// startSenders begins the callers of the VMs and the other senders.
func (r *run) startSenders() {
	rate := fleet.Rate(engineCapacity, meanPrompt+prefixTokens, meanAnswer)
	total := 0.0
	for _, e := range r.engines {
		total += e.Speed * rate * r.opts.Load
	}
	weights := r.callerWeights()
	for i, vm := range r.vms {
		r.send(total*(1-otherShare)*weights[i], func() { r.request(vm) })
	}
	for i, e := range r.engines {
		r.send(total*otherShare*r.otherWeight(i), func() { r.otherRequest(e) })
	}
}

// callerWeights returns each VM's part of the callers.
func (r *run) callerWeights() []float64 {
	weights := make([]float64, len(r.vms))
	sum := 0.0
	for i := range weights {
		weights[i] = 1
		if r.opts.Skewed && i == 0 {
			weights[i] = 3
		}
		sum += weights[i]
	}
	for i := range weights {
		weights[i] /= sum
	}
	return weights
}

// otherWeight returns engine i's part of the other senders' work. If skewed,
// it falls on every other engine.
func (r *run) otherWeight(i int) float64 {
	n := float64(len(r.engines))
	switch {
	case !r.opts.Skewed:
		return 1 / n
	case i%2 == 0:
		return 1 / math.Ceil(n/2)
	}
	return 0
}

// send calls f as a Poisson process.
func (r *run) send(perSecond float64, f func()) {
	if perSecond == 0 {
		return
	}
	r.After(time.Duration(r.rng.ExpFloat64()/perSecond*float64(time.Second)), func() {
		f()
		r.send(perSecond, f)
	})
}

// newJob draws a request's size and prompt.
func (r *run) newJob() *fleet.Job {
	j := &fleet.Job{
		PromptTokens: int(fleet.LogNormal(r.rng, meanPrompt, promptSpread)) + prefixTokens,
		AnswerTokens: 1 + int(fleet.LogNormal(r.rng, meanAnswer, answerSpread)),
	}
	group := r.zipf.Uint64()
	for b := range uint64(prefixBlocks) {
		j.Prefixes = append(j.Prefixes, group*prefixBlocks+b+1)
	}
	return j
}

func (r *run) otherRequest(e *fleet.Engine) {
	j := r.newJob()
	j.Prefixes = nil
	j.OnFirst, j.OnEnd = func() {}, func() {}
	e.Submit(j)
}

func (r *run) request(vm *entryVM) {
	j := r.newJob()
	view, _ := vm.state.View(key, r.Time())
	req := &route.Request{
		Refs: []model.Ref{ref}, Region: vm.region, Weights: contract.Weights{Latency: 1, Cost: r.opts.CostWeight},
		PromptTokens: j.PromptTokens, AnswerTokens: j.AnswerTokens, PromptBlocks: len(j.Prefixes),
		Bytes: bytesPerRequest, Draw: r.rng.Uint64(),
		Hints: vm.locality.AppendHints(nil, j.Prefixes, r.Time()),
		Home:  view.Home(j.Prefixes[0]),
	}
	d, ok := vm.policy.Select(req, view)
	if !ok {
		r.refused++
		return
	}
	r.dispatch(vm, j, d)
}

func (r *run) dispatch(vm *entryVM, j *fleet.Job, d route.Decision) {
	i, _ := mustView(vm, r.Time()).Find(d.Upstream.ID)
	e, begun := r.engines[i], r.Now
	oneWay := regionLinks().Between(vm.region, domain.Region(d.Upstream.Domain)).Latency()
	call, err := vm.state.Begin(d.Upstream.ID, r.Time())
	if err != nil {
		return
	}
	vm.locality.Record(j.Prefixes, d.Upstream.ID, r.Time())
	prefill := time.Duration(j.PromptTokens) * fleet.PrefillTime
	j.OnFirst = func() {
		r.After(oneWay, func() {
			call.FirstToken(r.Now - begun - 2*oneWay - prefill)
			r.record(r.Now-begun, begun, oneWay > 0)
		})
	}
	j.OnEnd = func() { r.After(oneWay, func() { call.End(r.Time(), true) }) }
	r.After(oneWay, func() {
		r.blocks += len(j.Prefixes)
		e.Submit(j)
	})
}

func mustView(vm *entryVM, now time.Time) *loadstate.View {
	view, _ := vm.state.View(key, now)
	return view
}

func (r *run) record(first, begun time.Duration, crossed bool) {
	if begun < warmUp {
		return
	}
	r.requests++
	if crossed {
		r.crossed++
	}
	_ = r.hist.RecordValue(int64(first / time.Microsecond))
}

func (r *run) result() Result {
	hits := 0
	for _, e := range r.engines {
		hits += e.Hits
	}
	n := float64(max(r.requests, 1))
	return Result{
		P50:     float64(r.hist.ValueAtQuantile(50)) / 1000,
		P99:     float64(r.hist.ValueAtQuantile(99)) / 1000,
		Mean:    r.hist.Mean() / 1000,
		Crossed: float64(r.crossed) / n,
		Cached:  float64(hits) / float64(max(r.blocks, 1)),
		Refused: r.refused,
	}
}
