package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/platform/standin"
	"github.com/poplarshore/poplarshore/vm"
)

const (
	// siteHost is the Host header of all requests; it selects the routes.
	siteHost     = "soak.example"
	modelService = "models"
	orderService = "orders"
	// permanentKey is the API key that no configuration removes.
	permanentKey = "key-steady"
	// Streams of 16 events every 40 ms last less than a second.
	streamEvents = 16
	streamGap    = 40 * time.Millisecond
	// streamTimeout and callTimeout are the timeouts of the routes of streams and of calls.
	streamTimeout = 12 * time.Second
	callTimeout   = 4 * time.Second
	// streamTarget and callTarget are the latencies that these routes aim at.
	streamTarget = 2 * time.Second
	callTarget   = 400 * time.Millisecond
	// maxAttempts is the limit of attempts per request of all routes.
	maxAttempts = 3
)

// domains are the failure domains. VMs and upstreams are distributed evenly among them.
var domains = []domain.ID{"d1", "d2", "d3"}

// engine is a simulated upstream, for models or without, and the link through which all
// VMs reach it.
type engine struct {
	*standin.Engine
	link *Link
	// failurePercent is the percentage of requests that fail with status 500.
	failurePercent atomic.Int32
	// slowness is how long its answers take in runs with slow versions.
	slowness slowness
	// linkDisturbances are the intervals in which its link was faulty.
	linkDisturbances intervals
	// limit is the number of requests per second that it names as its limit; nil for none.
	limit atomic.Pointer[float64]
	// spoilsAnswers lets it write faulty answers; see spoiled.
	spoilsAnswers atomic.Bool
	// stoppedAt is when it was stopped, in Unix nanoseconds; 0 while it is not.
	stoppedAt atomic.Int64
	// silences are the intervals in which it sends nothing.
	silences intervals
	// flood is where it sends bytes without end; nil while it does not.
	flood atomic.Pointer[floodPlace]
	// rejected counts the floods that stated that a request was not run, by its ID; guarded by rejectedMu.
	rejectedMu sync.Mutex
	rejected   map[string]int
}

// stop makes the upstream unreachable for good.
func (e *engine) stop() {
	e.stoppedAt.CompareAndSwap(0, time.Now().UnixNano())
	e.link.SetMode(Refuse)
}

// stopTime returns when the upstream was stopped; false if it was not.
func (e *engine) stopTime() (time.Time, bool) {
	at := e.stoppedAt.Load()
	return time.Unix(0, at), at != 0
}

// testbed is the environment of a run: the store, the upstreams and the VMs.
type testbed struct {
	store *standin.Store
	// storeFault is the standin.Fault of all calls of the store.
	storeFault atomic.Int32
	storeHTTP  *httptest.Server
	vms        []*VM

	// storeDisturbances and upstreamDisturbances are the intervals with a fault of the store, and of an upstream.
	storeDisturbances, upstreamDisturbances intervals
	// silences are the intervals in which sound engines send nothing.
	silences intervals
	// modelFloods and orderFloods are the intervals in which engines of a service send bytes without end, and fullFloods
	// those in which all engines of one do.
	modelFloods, orderFloods, fullFloods intervals
	// hostStalls are the intervals in which the host did not let the soak itself run.
	hostStalls intervals
	// badRollouts are the intervals of roll-outs of versions that fail requests.
	badRollouts intervals
	// oddRows are the intervals with odd entries among those of the engines.
	oddRows intervals
	// crashes are the intervals in which requests crash upstreams. addEngineErrors counts the
	// successors that could not be started.
	crashes         intervals
	addEngineErrors atomic.Int32
	// engineCapacity is the capacity of model engines; 0 means the default one. burst is the
	// number of requests that come in place of one.
	engineCapacity int
	burst          atomic.Int32
	// streamBurst is the number of streams that come with each request. loaded reports whether engines take longer the more
	// requests they run.
	streamBurst atomic.Int32
	loaded      bool
	// fragility is that of model engines; nil while they are sound.
	fragility atomic.Pointer[standin.Fragility]

	mu sync.Mutex // guards the fields below
	// culprits are what made requests crash upstreams, and active those whose requests come.
	culprits, active []*culprit
	closed           bool
	// registeredEngines maps the IDs of the engines that have an entry in the store.
	registeredEngines map[string]*engine
	allEngines        []*engine // in the order of their start, removed ones included
	engineCount       int       // engines ever created; makes their IDs unique
	// endedAt holds when fragile engines ended.
	endedAt       []time.Time
	configVersion int64
	// configurations are the configurations that the store accepted, oldest first.
	configurations []configuration
	keys           map[string]bool
	// homes are the regions in which lookups may be served; none stands for all.
	homes []string
	// variant is what else the configurations change.
	variant variant
}

// configuration is a configuration that the store accepted. Its probe route is in no
// other configuration, so that a probe request shows whether it is in force.
type configuration struct {
	version int64
	// offeredAt is when the operator sent it, and acceptedAt when the store had acknowledged it.
	offeredAt, acceptedAt time.Time
	keys                  map[string]bool // API keys that it accepts
	homes                 []string        // regions in which lookups may be served; none stands for all
	variant               variant
}

// newTestbed starts the store, the upstreams and the VMs. After an error it returns the
// incomplete testbed, which has to be closed.
func newTestbed(o Options, dir string) (*testbed, error) {
	b := &testbed{
		engineCapacity: engineCapacity(o), loaded: o.SlowVersions,
		store: standin.NewStore(), registeredEngines: make(map[string]*engine), keys: map[string]bool{permanentKey: true},
	}
	b.store.FaultFor = func(string) standin.Fault { return standin.Fault(b.storeFault.Load()) }
	b.storeHTTP = httptest.NewServer(b.store)
	b.configure(nil)
	for i := range o.Engines {
		if err := b.addEngine(modelService, "v1", domains[i%len(domains)]); err != nil {
			return b, err
		}
	}
	for _, d := range domains {
		if err := b.addEngine(orderService, "v1", d); err != nil {
			return b, err
		}
	}
	if o.Configurations {
		for _, d := range domains {
			if err := b.addEngine(stockService, "v1", d); err != nil {
				return b, err
			}
		}
	}
	return b, b.addVMs(o, dir)
}

// addVMs starts the VMs. The first one of each failure domain is a seed of all VMs.
func (b *testbed) addVMs(o Options, dir string) error {
	addrs, err := freeAddresses(o.VMs)
	if err != nil {
		return err
	}
	var seeds []string
	for _, a := range addrs[:min(len(addrs), len(domains))] {
		seeds = append(seeds, a.peers)
	}
	for i := range o.VMs {
		binary := o.Binary
		if o.CuttableBinary != "" {
			binary = o.CuttableBinary
		}
		v, err := newVM(vm.ID(fmt.Sprintf("vm-%d", i+1)), domains[i%len(domains)], binary, dir,
			strings.TrimPrefix(b.storeHTTP.URL, "http://"), o.changeSettings, seeds, addrs[i])
		if err != nil {
			return err
		}
		if o.CuttableBinary != "" {
			v.control = addrs[i].control
		}
		b.vms = append(b.vms, v)
		if err := v.start(); err != nil {
			return err
		}
	}
	return nil
}

// addEngine starts an upstream and its link, and registers it as ready.
func (b *testbed) addEngine(service, version string, zone domain.ID) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.engineCount++
	e := &engine{Engine: &standin.Engine{
		ID: fmt.Sprintf("%s-%s-%d", service, version, b.engineCount), Service: service, Version: version, Zone: string(zone),
	}}
	if service == modelService {
		e.Capacity = b.engineCapacity
	}
	e.Behave = func(r *http.Request) standin.Behaviour {
		if e.Service == modelService {
			e.SetFragility(b.fragility.Load())
		}
		if b.crashFor(r) {
			return crashBehaviour(e.Service == modelService)
		}
		behaviour := e.behave(r)
		if b.loaded && behaviour.Events > 0 {
			behaviour.Gap = e.slowness.gap(e.Running())
		}
		return behaviour
	}
	e.OnCrash = func(*standin.Engine) {
		b.recordEnd(e)
		b.restart(e)
	}
	e.Start()
	link, err := NewLink(e.Address())
	if err != nil {
		return err
	}
	e.link = link
	b.registeredEngines[e.ID] = e
	b.allEngines = append(b.allEngines, e)
	b.register(e, "ready")
	return nil
}

// recordEnd records that an engine ended, if it did by its rejections.
func (b *testbed) recordEnd(e *engine) {
	if !e.EndedByRejections() {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.endedAt = append(b.endedAt, time.Now())
}

// behave floods, or fails failurePercent of the requests, besides those with spoiled answers. Of the others, half of those to the small
// model get a low-confidence response, so that the large model runs as well.
func (e *engine) behave(r *http.Request) standin.Behaviour {
	b := standin.Behaviour{Confidence: -1}
	if limit := e.limit.Load(); limit != nil {
		b.Limit = *limit
	}
	if place := e.flood.Load(); place != nil {
		return e.flooded(r, place)
	}
	if e.spoilsAnswers.Load() && rand.IntN(100) < spoiledPercent {
		return e.spoiled(r)
	}
	if rand.Int32N(100) < e.failurePercent.Load() {
		b.Status = http.StatusInternalServerError
		return b
	}
	if e.Service != modelService {
		takeTime(r)
		return b
	}
	b.Events, b.Gap, b.Confidence = streamEvents, streamGap, 90
	if r.Header.Get("X-Model") == "small" && rand.IntN(2) == 0 {
		b.Confidence = 10
	}
	return b
}

// register writes the entry of an upstream, with the address of its link, to the store.
func (b *testbed) register(e *engine, phase string) {
	entry := e.Entry(phase)
	entry["Address"] = e.link.Address()
	b.store.Put("servers", e.ID, entry)
}

// registered returns the registered upstreams of a service and version, oldest first. An
// empty version matches all.
func (b *testbed) registered(service, version string) []*engine {
	b.mu.Lock()
	defer b.mu.Unlock()
	var engines []*engine
	for _, e := range b.allEngines {
		if b.registeredEngines[e.ID] != nil && e.Service == service && (version == "" || e.Version == version) {
			engines = append(engines, e)
		}
	}
	return engines
}

// removeEngine makes an upstream unreachable and deletes its entry from the store.
func (b *testbed) removeEngine(e *engine) {
	e.stop()
	b.unregister(e)
}

// unregister deletes the entry of an upstream from the store.
func (b *testbed) unregister(e *engine) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.registeredEngines, e.ID)
	b.store.Remove("servers", e.ID)
}

// configure writes the next configuration to the store. edit, if not nil, may add or
// remove keys.
func (b *testbed) configure(edit func(keys map[string]bool)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.configVersion++
	c := configuration{version: b.configVersion, offeredAt: time.Now(), homes: b.homes, variant: b.variant}
	keys := make(map[string]bool, len(b.keys))
	for k := range b.keys {
		keys[k] = true
	}
	if edit != nil {
		edit(keys)
	}
	b.keys = keys
	accounts := make(map[string][]string)
	for k := range keys {
		accounts["account-of-"+k] = []string{k}
	}
	config := standin.Config(c.version, c.variant.apply(routes(c.version, c.homes)), accounts)
	if c.variant.idleLimit > 0 {
		standin.SetIdleLimit(config, c.variant.idleLimit)
	}
	b.store.Put("op", "config", config)
	c.keys, c.acceptedAt = keys, time.Now()
	b.configurations = append(b.configurations, c)
}

// probePath returns the path prefix of the probe route, which only the given version of
// the configuration has.
func probePath(version int64) string { return fmt.Sprintf("/v%d/", version) }

// routes returns the routes of a configuration, in which lookups may be served in the regions of
// homes only. The last one is its probe route.
func routes(version int64, homes []string) []standin.Route {
	return []standin.Route{
		{Name: "stream", Host: siteHost, Prefix: "/s/", Kind: standin.KindStreaming, Service: modelService, TimeoutMS: streamTimeout.Milliseconds(), TargetLatencyMS: streamTarget.Milliseconds(),
			Sizes: []string{"small", "large"}, MaxAttempts: maxAttempts, Resumable: true},
		{Name: "order", Host: siteHost, Prefix: "/o/", Kind: standin.KindNonIdempotent, Service: orderService, TimeoutMS: callTimeout.Milliseconds(), TargetLatencyMS: callTarget.Milliseconds(), MaxAttempts: maxAttempts},
		{Name: "look", Host: siteHost, Prefix: "/l/", Kind: standin.KindIdempotent, Service: orderService, TimeoutMS: callTimeout.Milliseconds(), TargetLatencyMS: callTarget.Milliseconds(), MaxAttempts: maxAttempts, Regions: homes},
		{Name: "probe", Host: siteHost, Prefix: probePath(version), Kind: standin.KindIdempotent, Service: orderService, TimeoutMS: callTimeout.Milliseconds(), TargetLatencyMS: callTarget.Milliseconds(), MaxAttempts: maxAttempts},
	}
}

// history returns the configurations that the store accepted, oldest first.
func (b *testbed) history() []configuration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]configuration(nil), b.configurations...)
}

// close kills the VMs and stops the upstreams and the store.
func (b *testbed) close() {
	for _, v := range b.vms {
		v.close()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	for _, e := range b.allEngines {
		if e.link != nil {
			e.link.Close()
		}
		e.Close()
	}
	b.storeHTTP.CloseClientConnections()
	b.storeHTTP.Close()
}

// workDir creates the directory for settings and logs and returns its path.
func workDir(o Options) (string, error) {
	if o.Dir != "" {
		return o.Dir, os.MkdirAll(o.Dir, 0o700)
	}
	return os.MkdirTemp("", "soak-")
}
