package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Options configures a run. The zero value is not usable; start from DefaultOptions.
type Options struct {
	// Binary is the path of poplarshored.
	Binary string
	// Dir is the directory for settings and logs. Empty creates a temporary one.
	Dir string
	// Seed is the seed of the random draws of faults and requests.
	Seed uint64
	// Duration is how long faults are injected. Requests are sent for 2 s longer.
	Duration time.Duration
	// Rate is the number of requests per second.
	Rate float64
	// VMs and Engines are the numbers of gateways and model engines.
	VMs, Engines int
	// ConcurrentFaults is the maximum number of faults at the same time.
	ConcurrentFaults int
	// Restores includes restores of the store from older copies among the faults.
	// Default true.
	Restores bool
	// Limits includes engines that name limits among the faults.
	Limits bool
	// Crashes includes requests that crash engines among the faults.
	Crashes bool
	// CuttableBinary is the path of poplarshore-soak. Its gateways can be cut off from upstreams,
	// which is then among the faults; empty leaves it out.
	CuttableBinary string
	// Fragile includes engines that end if they have to reject requests among the faults.
	Fragile bool
	// Answers includes faulty answers of upstreams among the faults.
	Answers bool
	// OddRows includes odd entries among those of the engines among the faults.
	OddRows bool
	// Regions includes evacuations and other home regions of a route among the faults.
	Regions bool
	// Silences includes sound engines that send nothing for a moment among the faults, and checks
	// that requests are answered in spite of them.
	Silences bool
	// Floods includes engines that send bytes without end among the faults, gives the VMs the memory of the smallest one,
	// and checks that this suffices. FloodPlaces restricts where they go on; empty allows all places.
	Floods      bool
	FloodPlaces []string
	// LostConnections includes open connections to the store that fall silent for good among the faults.
	LostConnections bool
	// SiteSettings gives the VMs the settings that the deployment of the smallest VMs renders, where they differ from the
	// defaults.
	SiteSettings bool
	// SlowParts includes a suspended store, VMs with little processor time and a faulty way between VMs among the faults.
	SlowParts bool
	// Configurations includes configurations that change more than keys, upstreams that leave without saying so, and
	// storms of configurations among the faults.
	Configurations bool
	// LateCallers is the number of callers that send some requests slowly, and each on a connection
	// that it opens again when the VM ends it.
	LateCallers int
	// SlowVersions includes roll-outs beside bursts of streams, of slow versions and good ones, among the faults, and lets engines
	// take longer the more requests they run.
	SlowVersions bool
	// Only restricts the faults to these kinds; empty allows all.
	Only []string
	// Bounds are the time bounds that are checked.
	Bounds Bounds
}

// DefaultOptions returns the options of a manual run: 30 s with 6 gateways. Binary has
// to be set.
func DefaultOptions() Options {
	return Options{
		Seed: 1, Duration: 30 * time.Second, Rate: 60, VMs: 6, Engines: 6, ConcurrentFaults: 2, Restores: true, Limits: true, Crashes: true, Fragile: true,
		Bounds: DefaultBounds(),
	}
}

// Report is the result of a run.
type Report struct {
	Seed uint64 `json:"seed"`
	// Dir is the directory with the settings and logs of the VMs.
	Dir string `json:"dir"`
	// Requests is the number of requests.
	Requests int `json:"requests"`
	// Outcomes counts the requests by kind and status, such as "order_200". Incomplete
	// responses count as "cut".
	Outcomes map[string]int `json:"outcomes"`
	// Faults counts the injected faults by kind.
	Faults map[string]int `json:"faults"`
	// Violations describes each failed check. It is empty if the run passed.
	Violations []string `json:"violations"`
	// Silences is what was checked beside silent engines; nil in runs without these.
	Silences *SilenceReport `json:"silences,omitempty"`
	// Floods is what was checked beside engines that flood; nil in runs without these.
	Floods *FloodReport `json:"floods,omitempty"`

	mu           sync.Mutex
	plannedStops []plannedStop
	exclusions   []exclusion
	limits       []namedLimit
	cuts         []cut
	fragileTimes []fragileTime
	evacuations  []evacuation
	slowVersions []slowVersion
}

// SilenceReport counts the requests that are to be answered in spite of silent engines.
type SilenceReport struct {
	// Checked is the number of whole requests beside planned work and silences alone, and
	// DuringSilence that of those during which an engine was silent.
	Checked       int `json:"checked"`
	DuringSilence int `json:"during_silence"`
	// Unanswered counts those that ended without an answer, as the rules allow, by reason.
	Unanswered map[string]int `json:"unanswered"`
}

func (r *Report) addViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
}

func (r *Report) addFault(kind string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Faults[kind]++
}

func (r *Report) addPlannedStop(s plannedStop) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.plannedStops = append(r.plannedStops, s)
}

func (r *Report) addExclusion(e exclusion) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.exclusions = append(r.exclusions, e)
}

func (r *Report) addLimit(l namedLimit) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limits = append(r.limits, l)
}

const (
	// readyTimeout is the maximum time until all VMs serve requests.
	readyTimeout      = 10 * time.Second
	readyPollInterval = 50 * time.Millisecond
	// faultFreeTail is the time at the end of a run in which requests are sent without
	// new faults, so that requests in flight can complete.
	faultFreeTail = 2 * time.Second
)

// Run runs gateways, traffic and faults for o.Duration and checks the result. A failed
// check is a violation in the report, not an error. Errors: ErrStart, with which the
// report is nil or incomplete.
func Run(ctx context.Context, o Options) (*Report, error) {
	dir, err := workDir(o)
	if err != nil {
		return nil, ErrStart.Wrap(err, "create directory")
	}
	report := &Report{Seed: o.Seed, Dir: dir, Outcomes: make(map[string]int), Faults: make(map[string]int)}
	bed, err := newTestbed(o, dir)
	if bed != nil {
		defer bed.close()
	}
	if err != nil {
		return report, err
	}
	if o.Silences {
		report.Silences = &SilenceReport{Unanswered: make(map[string]int)}
	}
	if o.Floods {
		report.Floods = &FloodReport{Places: make(map[string]int), Unanswered: make(map[string]int)}
	}
	traffic := newTrafficGenerator(bed)
	if err := traffic.awaitReady(ctx); err != nil {
		return report, err
	}
	runTrafficAndFaults(ctx, o, bed, traffic, report)
	check := &checker{testbed: bed, bounds: o.Bounds, exchanges: traffic.exchanges, report: report}
	check.check()
	report.Requests = len(traffic.exchanges)
	return report, nil
}

// faultKinds returns the kinds of faults of a run. Their order decides what a seed draws.
func (o Options) faultKinds() []faultKind {
	cuttable := o.CuttableBinary != ""
	kinds := slices.Clone(faultKinds)
	for _, extra := range []struct {
		included bool
		kinds    []faultKind
	}{
		{o.Restores, []faultKind{restoreFault}}, {o.Limits, []faultKind{limitFault}}, {o.Crashes, crashFaults},
		{cuttable, []faultKind{cutFault}}, {o.Fragile, []faultKind{fragileFault}}, {o.Answers, []faultKind{answersFault}},
		{o.OddRows, []faultKind{oddRowFault}}, {o.Regions, regionFaults}, {o.Silences, []faultKind{silenceFault}},
		{o.Floods, []faultKind{floodFault}}, {o.LostConnections, []faultKind{lostConnectionsFault}},
		{o.LostConnections && cuttable, []faultKind{allConnectionsFault}}, {o.SlowParts, slowPartsFaults},
		{o.SlowParts && cuttable, []faultKind{peersFault}}, {o.Configurations, configurationFaults},
		{o.SlowVersions, slowVersionFaults},
	} {
		if extra.included {
			kinds = append(kinds, extra.kinds...)
		}
	}
	if len(o.Only) == 0 {
		return kinds
	}
	return slices.DeleteFunc(kinds, func(k faultKind) bool { return !slices.Contains(o.Only, k.name) })
}

// runTrafficAndFaults sends requests and injects faults until both are finished. Each
// worker and the traffic have their own random sequence, derived from the seed.
func runTrafficAndFaults(ctx context.Context, o Options, bed *testbed, generator *trafficGenerator, report *Report) {
	trafficCtx, endTraffic := context.WithTimeout(ctx, o.Duration+faultFreeTail)
	defer endTraffic()
	faultCtx, endFaults := context.WithTimeout(ctx, o.Duration)
	defer endFaults()
	faults := &injector{bed: bed, bounds: o.Bounds, report: report, kinds: o.faultKinds(), floodPlaces: o.FloodPlaces}
	var wait sync.WaitGroup
	wait.Go(func() { bed.watchStalls(trafficCtx) })
	if o.Floods {
		wait.Go(func() { bed.watchMemory(trafficCtx) })
	}
	for worker := range o.ConcurrentFaults {
		rng := rand.New(rand.NewPCG(o.Seed, uint64(worker)+1))
		wait.Go(func() { faults.injectFaults(faultCtx, rng) })
	}
	wait.Go(func() { generator.runLateCallers(trafficCtx, o.LateCallers, o.Configurations, o.Seed) })
	generator.run(trafficCtx, o.Rate, rand.New(rand.NewPCG(o.Seed, 0)))
	wait.Wait()
}

// maxFaultPause is the maximum random pause before each fault of a worker.
const maxFaultPause = 1500 * time.Millisecond

// injectFaults injects random faults, one at a time, until the context ends.
func (f *injector) injectFaults(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(rng.Int64N(int64(maxFaultPause))))
		if ctx.Err() != nil {
			return
		}
		kind := f.kinds[rng.IntN(len(f.kinds))]
		f.report.addFault(kind.name)
		kind.inject(f, ctx, rng)
	}
}
