// Package latency measures the time to first token of routing policies.
//
// Entry VMs send requests of random size to simulated engines in three regions.
// Each VM selects engines by its own view of their load, which is built from
// delayed load reports. Other senders use the same engines; the VMs see their
// requests only in the load reports. Every policy runs with the same seeds.
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

// Options configure the experiment.
type Options struct {
	Engines int
	VMs     int
	// Load is the offered load, that of other senders included, as a multiple of the
	// engines' total capacity.
	Load float64
	// Skewed gives engines different speeds, and distributes the other senders'
	// requests unevenly over engines and callers unevenly over VMs.
	Skewed bool
	// ReportLag is the age of a load report when it arrives.
	ReportLag time.Duration
	// CostWeight is the contract's weight of cost, relative to a latency weight of 1.
	CostWeight float64
	// Duration is the measured virtual time, after the warm-up.
	Duration time.Duration
}

// DefaultOptions returns options with the number of engines and VMs of the larger
// current installation.
func DefaultOptions() Options {
	return Options{
		Engines: 12, VMs: 7, Load: 0.75, Skewed: true,
		ReportLag: time.Second, CostWeight: 1, Duration: 5 * time.Minute,
	}
}

// Result is the result of one policy with one seed. Times to first token are in
// milliseconds.
type Result struct {
	P50  float64 `json:"p50_ms"`
	P99  float64 `json:"p99_ms"`
	Mean float64 `json:"mean_ms"`
	// CrossRegionShare is the share of requests sent to another region, from 0 to 1.
	CrossRegionShare float64 `json:"crossed_share"`
	// CachedShare is the share of the VMs' prompt blocks found in engine caches, from 0
	// to 1.
	CachedShare float64 `json:"cached_share"`
	// Refused counts the requests for which the policy selected no engine.
	Refused int `json:"refused"`
}

const (
	// engineCapacity is in requests per engine.
	engineCapacity    = 16
	engineCacheBlocks = 2000
	reportInterval    = 500 * time.Millisecond
	// warmUp is the time before the measurement.
	warmUp = 30 * time.Second
	// Request sizes are log-normal; each sigma is the standard deviation of the
	// logarithm. Each prompt has a shared prefix in addition.
	meanAnswerTokens = 150.0
	answerSigma      = 0.9
	meanPromptTokens = 1200.0
	promptSigma      = 0.8
	// prefixGroups is the number of different shared prefixes. Their popularity
	// follows a Zipf distribution.
	prefixGroups       = 2000
	prefixZipfExponent = 1.2
	prefixBlocks       = 8
	prefixTokens       = prefixBlocks * route.BlockBytes / route.BytesPerToken
	// slowSpeed is the speed of every third engine if engines are skewed.
	slowSpeed = 0.5
	// crossRegionLatencyMS is the one-way latency between two regions, and
	// crossRegionPrice the price per MB of a link.
	crossRegionLatencyMS = 25
	crossRegionPrice     = money.PerMillion(20_000)
	bytesPerRequest      = 20_000
	// otherSendersShare is the share of the load that other senders cause.
	otherSendersShare = 0.2
)

var (
	ref     = model.Ref{Model: "strong", Version: "v1"}
	key     = loadstate.Key{Ref: ref}
	regions = []domain.Region{"taipei", "taichung", "kaohsiung"}
)

// run is the state of one simulation run.
type run struct {
	fleet.Loop
	opts        Options
	rng         *rand.Rand
	prefixGroup *rand.Zipf
	engines     []*fleet.Engine
	upstreams   []*upstream.Upstream
	vms         []*entryVM
	// firstTokenTimes holds times to first token in microseconds.
	firstTokenTimes *hdrhistogram.Histogram

	requests, crossRegion int
	promptBlocks, refused int
}

// entryVM is one entry VM with its own view of the engines' load.
type entryVM struct {
	region      domain.Region
	loadState   *loadstate.State
	prefixIndex *loadstate.PrefixIndex
	policy      route.Selector
}

// Run simulates one policy with one seed. It calls newPolicy once for each VM. The
// result depends on the arguments alone.
func Run(opts Options, seed uint64, newPolicy func() route.Selector) Result {
	r := &run{
		opts:            opts,
		rng:             rand.New(rand.NewPCG(seed, 1)),
		firstTokenTimes: hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 3),
	}
	r.prefixGroup = rand.NewZipf(r.rng, prefixZipfExponent, 1, prefixGroups-1)
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
		e := fleet.NewEngine(&r.Loop, engineCapacity, engineCacheBlocks)
		if r.opts.Skewed && i%3 == 2 {
			e.Speed = slowSpeed
		}
		r.engines = append(r.engines, e)
		r.upstreams = append(r.upstreams, &upstream.Upstream{
			ID: upstream.ID(fmt.Sprintf("e%03d", i)), Kind: upstream.Engine,
			Domain: domain.ID(regions[(i/3)%len(regions)]), Capacity: engineCapacity,
		})
	}
}

func (r *run) makeVM(region domain.Region, policy route.Selector) *entryVM {
	vm := &entryVM{
		region:      region,
		loadState:   loadstate.New(loadstate.DefaultOptions()),
		prefixIndex: loadstate.NewPrefixIndex(loadstate.DefaultPrefixIndexOptions()),
		policy:      policy,
	}
	vm.loadState.Reconcile(loadstate.GroupConfig{
		Region:   region,
		Links:    regionLinks(),
		RegionOf: func(d domain.ID) domain.Region { return domain.Region(d) },
		Groups:   map[loadstate.Key][]*upstream.Upstream{key: r.upstreams},
	})
	return vm
}

func regionLinks() link.Map {
	var links []link.Link
	for i, a := range regions {
		for _, b := range regions[i+1:] {
			links = append(links, link.Link{From: a, To: b, LatencyMS: crossRegionLatencyMS, PricePerMB: crossRegionPrice})
		}
	}
	return link.NewMap(links)
}

// startReports sends each engine's load to all VMs once per reportInterval. A report
// arrives after ReportLag.
func (r *run) startReports() {
	for i, e := range r.engines {
		offset := time.Duration(r.rng.Int64N(int64(reportInterval)))
		r.Every(offset, reportInterval, func() {
			report := loadstate.Report{Load: e.Load(), Taken: r.Time()}
			r.After(r.opts.ReportLag, func() {
				for _, vm := range r.vms {
					_, _ = vm.loadState.ObserveLoad(r.upstreams[i].ID, report)
				}
			})
		})
	}
}

// startSenders starts the arrivals at the VMs and those from other senders.
func (r *run) startSenders() {
	engineRate := fleet.ServiceRate(engineCapacity, meanPromptTokens+prefixTokens, meanAnswerTokens)
	totalRate := 0.0
	for _, e := range r.engines {
		totalRate += e.Speed * engineRate * r.opts.Load
	}
	weights := r.callerWeights()
	for i, vm := range r.vms {
		r.scheduleArrivals(totalRate*(1-otherSendersShare)*weights[i], func() { r.handleRequest(vm) })
	}
	for i, e := range r.engines {
		r.scheduleArrivals(totalRate*otherSendersShare*r.otherSendersWeight(i), func() { r.sendOtherRequest(e) })
	}
}

// callerWeights returns each VM's share of the callers. The shares add up to 1. If
// skewed, the first VM gets three times the share of the others.
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

// otherSendersWeight returns engine i's share of the other senders' requests. If
// skewed, only every second engine receives them.
func (r *run) otherSendersWeight(i int) float64 {
	n := float64(len(r.engines))
	switch {
	case !r.opts.Skewed:
		return 1 / n
	case i%2 == 0:
		return 1 / math.Ceil(n/2)
	}
	return 0
}

// scheduleArrivals calls run as a Poisson process with the given rate.
func (r *run) scheduleArrivals(perSecond float64, run func()) {
	if perSecond == 0 {
		return
	}
	r.After(time.Duration(r.rng.ExpFloat64()/perSecond*float64(time.Second)), func() {
		run()
		r.scheduleArrivals(perSecond, run)
	})
}

// newJob draws the size and the shared prefix of a request.
func (r *run) newJob() *fleet.Job {
	job := &fleet.Job{
		PromptTokens: int(fleet.LogNormal(r.rng, meanPromptTokens, promptSigma)) + prefixTokens,
		AnswerTokens: 1 + int(fleet.LogNormal(r.rng, meanAnswerTokens, answerSigma)),
	}
	group := r.prefixGroup.Uint64()
	for b := range uint64(prefixBlocks) {
		job.Prefixes = append(job.Prefixes, group*prefixBlocks+b+1)
	}
	return job
}

// sendOtherRequest sends a request of another sender. It shares no prefix.
func (r *run) sendOtherRequest(engine *fleet.Engine) {
	job := r.newJob()
	job.Prefixes = nil
	job.OnFirstToken, job.OnComplete = func() {}, func() {}
	engine.Submit(job)
}

// handleRequest routes one request that arrives at the VM.
func (r *run) handleRequest(vm *entryVM) {
	job := r.newJob()
	view, _ := vm.loadState.View(key, r.Time())
	req := &route.Request{
		Refs: []model.Ref{ref}, Region: vm.region, Weights: contract.Weights{Latency: 1, Cost: r.opts.CostWeight},
		PromptTokens: job.PromptTokens, AnswerTokens: job.AnswerTokens, PromptBlocks: len(job.Prefixes),
		Bytes: bytesPerRequest, Draw: r.rng.Uint64(),
		Hints: vm.prefixIndex.AppendHints(nil, job.Prefixes, r.Time()),
		Home:  view.Home(job.Prefixes[0]),
	}
	decision, ok := vm.policy.Select(req, view)
	if !ok {
		r.refused++
		return
	}
	r.dispatch(vm, job, decision)
}

// dispatch sends the job to the selected engine and updates the VM's load state at
// its first token and its end, each after the one-way latency.
func (r *run) dispatch(vm *entryVM, job *fleet.Job, decision route.Decision) {
	engineIndex, _ := viewOf(vm, r.Time()).Find(decision.Upstream.ID)
	engine, sentAt := r.engines[engineIndex], r.Now
	oneWay := regionLinks().Between(vm.region, domain.Region(decision.Upstream.Domain)).Latency()
	call, err := vm.loadState.Begin(decision.Upstream.ID, r.Time())
	if err != nil {
		return
	}
	vm.prefixIndex.Record(job.Prefixes, decision.Upstream.ID, r.Time())
	prefillTime := time.Duration(job.PromptTokens) * fleet.PrefillTime
	job.OnFirstToken = func() {
		r.After(oneWay, func() {
			call.FirstToken(r.Now - sentAt - 2*oneWay - prefillTime)
			r.recordFirstToken(r.Now-sentAt, sentAt, oneWay > 0)
		})
	}
	job.OnComplete = func() { r.After(oneWay, func() { call.End(r.Time(), true) }) }
	r.After(oneWay, func() {
		r.promptBlocks += len(job.Prefixes)
		engine.Submit(job)
	})
}

func viewOf(vm *entryVM, now time.Time) *loadstate.View {
	view, _ := vm.loadState.View(key, now)
	return view
}

func (r *run) recordFirstToken(timeToFirstToken, sentAt time.Duration, crossRegion bool) {
	if sentAt < warmUp {
		return
	}
	r.requests++
	if crossRegion {
		r.crossRegion++
	}
	_ = r.firstTokenTimes.RecordValue(int64(timeToFirstToken / time.Microsecond))
}

func (r *run) result() Result {
	cachedBlocks := 0
	for _, e := range r.engines {
		cachedBlocks += e.CachedBlocks
	}
	requests := float64(max(r.requests, 1))
	return Result{
		P50:              float64(r.firstTokenTimes.ValueAtQuantile(50)) / 1000,
		P99:              float64(r.firstTokenTimes.ValueAtQuantile(99)) / 1000,
		Mean:             r.firstTokenTimes.Mean() / 1000,
		CrossRegionShare: float64(r.crossRegion) / requests,
		CachedShare:      float64(cachedBlocks) / float64(max(r.promptBlocks, 1)),
		Refused:          r.refused,
	}
}
