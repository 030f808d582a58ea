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
	siteHost = "soak.example"
	models   = "models"
	orders   = "orders"
	// steadyKey is never taken away.
	steadyKey = "key-steady"
	// streamEvents and streamGap make a stream of under a second.
	streamEvents = 16
	streamGap    = 40 * time.Millisecond
	maxAttempts  = 3
)

var domains = []domain.ID{"d1", "d2", "d3"}

// engine is an upstream with the link by which all VMs reach it.
type engine struct {
	*standin.Engine
	link *Link
	// failing is the part of requests, of 100, that it answers with a failure.
	failing atomic.Int32
}

// site is all that a soak runs.
type site struct {
	store *standin.Store
	// storeFault is what the store does to all calls.
	storeFault atomic.Int32
	storeHTTP  *httptest.Server
	vms        []*VM

	// disturbed holds the times in which the store or an upstream was not calm.
	disturbed spans

	mu      sync.Mutex
	engines map[string]*engine
	all     []*engine
	named   int
	version int64
	// changes holds what was acknowledged when, oldest first.
	changes []change
	keys    map[string]bool
}

// change is one configuration: it serves one route that no other one does, and
// a set of keys.
type change struct {
	version int64
	at      time.Time
	keys    map[string]bool
}

func newSite(o Options, dir string) (*site, error) {
	s := &site{
		store: standin.NewStore(), engines: make(map[string]*engine), keys: map[string]bool{steadyKey: true},
	}
	s.store.FaultFor = func(string) standin.Fault { return standin.Fault(s.storeFault.Load()) }
	s.storeHTTP = httptest.NewServer(s.store)
	s.configure(nil)
	for i := range o.Engines {
		if err := s.add(models, "v1", domains[i%len(domains)]); err != nil {
			return s, err
		}
	}
	for _, d := range domains {
		if err := s.add(orders, "v1", d); err != nil {
			return s, err
		}
	}
	return s, s.addVMs(o, dir)
}

func (s *site) addVMs(o Options, dir string) error {
	at, err := freeAddresses(o.VMs)
	if err != nil {
		return err
	}
	var seeds []string
	for _, a := range at[:min(len(at), len(domains))] {
		seeds = append(seeds, a.peers)
	}
	for i := range o.VMs {
		v, err := newVM(vm.ID(fmt.Sprintf("vm-%d", i+1)), domains[i%len(domains)], o.Binary, dir,
			strings.TrimPrefix(s.storeHTTP.URL, "http://"), seeds, at[i])
		if err != nil {
			return err
		}
		s.vms = append(s.vms, v)
		if err := v.start(); err != nil {
			return err
		}
	}
	return nil
}

// add starts an upstream and registers it.
func (s *site) add(service, version string, d domain.ID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.named++
	e := &engine{Engine: &standin.Engine{
		ID: fmt.Sprintf("%s-%s-%d", service, version, s.named), Service: service, Version: version, Zone: string(d),
	}}
	e.Behave = e.behave
	e.Start()
	link, err := NewLink(e.Address())
	if err != nil {
		return err
	}
	e.link = link
	s.engines[e.ID] = e
	s.all = append(s.all, e)
	s.register(e, "ready")
	return nil
}

// behave answers half of the requests to the small model weakly.
func (e *engine) behave(r *http.Request) standin.Behaviour {
	b := standin.Behaviour{Confidence: -1}
	if rand.Int32N(100) < e.failing.Load() {
		b.Status = http.StatusInternalServerError
		return b
	}
	if e.Service != models {
		return b
	}
	b.Events, b.Gap, b.Confidence = streamEvents, streamGap, 90
	if r.Header.Get("X-Model") == "small" && rand.IntN(2) == 0 {
		b.Confidence = 10
	}
	return b
}

func (s *site) register(e *engine, phase string) {
	entry := e.Entry(phase)
	entry["Address"] = e.link.Address()
	s.store.Put("servers", e.ID, entry)
}

// of returns the registered upstreams of a service and version, by age.
func (s *site) of(service, version string) []*engine {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*engine
	for _, e := range s.all {
		if s.engines[e.ID] != nil && e.Service == service && (version == "" || e.Version == version) {
			out = append(out, e)
		}
	}
	return out
}

// remove takes an upstream and its entry away.
func (s *site) remove(e *engine) {
	e.link.Set(Refusing)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.engines, e.ID)
	s.store.Remove("servers", e.ID)
}

// configure writes the next configuration; edit may change the keys.
func (s *site) configure(edit func(keys map[string]bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	keys := make(map[string]bool, len(s.keys))
	for k := range s.keys {
		keys[k] = true
	}
	if edit != nil {
		edit(keys)
	}
	s.keys = keys
	accounts := make(map[string][]string)
	for k := range keys {
		accounts["account-of-"+k] = []string{k}
	}
	s.store.Put("op", "config", standin.Config(s.version, routes(s.version), accounts))
	s.changes = append(s.changes, change{version: s.version, at: time.Now(), keys: keys})
}

// versionPath is the route that only one configuration serves.
func versionPath(version int64) string { return fmt.Sprintf("/v%d/", version) }

func routes(version int64) []standin.Route {
	return []standin.Route{
		{Name: "stream", Host: siteHost, Prefix: "/s/", Kind: standin.KindStreaming, Service: models, TimeoutMS: 12000, TargetLatencyMS: 2000,
			Sizes: []string{"small", "large"}, MaxAttempts: maxAttempts, Resumable: true},
		{Name: "order", Host: siteHost, Prefix: "/o/", Kind: standin.KindNonIdempotent, Service: orders, TimeoutMS: 4000, TargetLatencyMS: 400, MaxAttempts: maxAttempts},
		{Name: "look", Host: siteHost, Prefix: "/l/", Kind: standin.KindIdempotent, Service: orders, TimeoutMS: 4000, TargetLatencyMS: 400, MaxAttempts: maxAttempts},
		{Name: "probe", Host: siteHost, Prefix: versionPath(version), Kind: standin.KindIdempotent, Service: orders, TimeoutMS: 4000, TargetLatencyMS: 400, MaxAttempts: maxAttempts},
	}
}

// history returns the configurations so far, oldest first.
func (s *site) history() []change {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]change(nil), s.changes...)
}

func (s *site) close() {
	for _, v := range s.vms {
		v.close()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.all {
		if e.link != nil {
			e.link.Close()
		}
		e.Close()
	}
	s.storeHTTP.CloseClientConnections()
	s.storeHTTP.Close()
}

// workDir returns a folder for settings and logs.
func workDir(o Options) (string, error) {
	if o.Dir != "" {
		return o.Dir, os.MkdirAll(o.Dir, 0o700)
	}
	return os.MkdirTemp("", "soak-")
}
