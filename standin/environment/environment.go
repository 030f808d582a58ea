// Package environment runs a whole environment in one process, on loopback: the
// platform, the upstreams that a document declares, and entry VMs. It is for
// development and tests only.
package environment

import (
	"context"
	"crypto/rand"

	"io"
	"log/slog"
	"maps"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/joomcode/errorx"

	"github.com/poplarshore/poplarshore/coord/revision"
	"github.com/poplarshore/poplarshore/document"
	"github.com/poplarshore/poplarshore/internal/controld"
	"github.com/poplarshore/poplarshore/internal/entryd"
	"github.com/poplarshore/poplarshore/internal/rows"
	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/platform"
	"github.com/poplarshore/poplarshore/platform/httpstore"
	"github.com/poplarshore/poplarshore/settings"
	"github.com/poplarshore/poplarshore/standin/engine"
	"github.com/poplarshore/poplarshore/standin/oldrouter"
	standinplatform "github.com/poplarshore/poplarshore/standin/platform"
	"github.com/poplarshore/poplarshore/standin/service"
	"github.com/poplarshore/poplarshore/upstream"
	"github.com/poplarshore/poplarshore/vm"
)

var namespace = errorx.NewNamespace("environment")

// ErrStart reports an environment that could not be started.
var ErrStart = namespace.NewType("start")

// Secrets that all parts of the environment share.
const (
	OperatorToken = "operator-token-of-the-stand-in"
	sessionSecret = "session-secret-of-the-stand-in-32-bytes"
)

// Options set up an environment.
type Options struct {
	// Document is the text of the first configuration.
	Document []byte
	// Engine is applied to every engine, which serves the versions that the
	// document declares. Nil leaves the defaults.
	Engine func(u upstream.Upstream, o *engine.Options)
	// Platform sets up the platform's stand-in.
	Platform standinplatform.Options
	// VMs are the entry VMs to start.
	VMs []VM
	// Log receives the daemons' logs. Nil discards them.
	Log *slog.Logger
}

// VM is one entry VM.
type VM struct {
	ID     vm.ID
	Domain string
	Region string
	// Callers and Operators are addresses; empty takes a free port.
	Callers   string
	Operators string
	// Settings changes the settings. Nil leaves the defaults.
	Settings func(*settings.Entry)
}

// Environment is a running environment.
type Environment struct {
	Platform  *standinplatform.Server
	Engines   map[upstream.ID]*engine.Server
	Services  map[upstream.ID]*service.Server
	OldRouter *oldrouter.Server
	Addresses settings.Addresses

	opts   Options
	doc    *document.Document
	dir    string
	ctx    context.Context
	cancel context.CancelFunc

	balancer balancer

	mu       sync.RWMutex
	vms      map[vm.ID]*entryd.Daemon
	controls []*controld.Daemon
	// published is the number of the newest revision published here.
	published uint64
}

// Start starts an environment. On error nothing is left running.
func Start(ctx context.Context, opts Options) (*Environment, error) {
	doc, err := document.Parse(opts.Document)
	if err != nil {
		return nil, err
	}
	if opts.Log == nil {
		opts.Log = slog.New(slog.NewTextHandler(io.Discard, nil))
	}
	e := &Environment{
		Engines: make(map[upstream.ID]*engine.Server), Services: make(map[upstream.ID]*service.Server),
		Addresses: make(settings.Addresses), opts: opts, doc: doc, vms: make(map[vm.ID]*entryd.Daemon),
	}
	e.ctx, e.cancel = context.WithCancel(ctx)
	if err := e.start(); err != nil {
		e.Close()
		return nil, err
	}
	return e, nil
}

func (e *Environment) start() error {
	if err := e.writeSecrets(); err != nil {
		return err
	}
	if err := e.startStandIns(); err != nil {
		return err
	}
	if err := e.Publish(e.opts.Document); err != nil {
		return err
	}
	for _, v := range e.opts.VMs {
		if _, err := e.StartVM(v); err != nil {
			return err
		}
	}
	return e.awaitMembers()
}

// awaitMembers waits until every entry VM knows of all the others.
func (e *Environment) awaitMembers() error {
	ids := e.running()
	for _, id := range ids {
		for e.VM(id).Members() < len(ids) {
			if err := e.pause(e.ctx); err != nil {
				return err
			}
		}
	}
	return nil
}

// pause waits a little, or returns why ctx ended.
func (e *Environment) pause(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-time.After(revisionPoll):
		return nil
	}
}

// writeSecrets writes the secrets. The peers' one differs between environments,
// as a VM of another one may take the port of a VM that was killed.
func (e *Environment) writeSecrets() error {
	dir, err := os.MkdirTemp("", "poplarshore-")
	if err != nil {
		return ErrStart.Wrap(err, "directory for secrets")
	}
	e.dir = dir
	for name, secret := range map[string]string{"peer": rand.Text(), "operator": OperatorToken, "session": sessionSecret} {
		if err := os.WriteFile(e.Secret(name), []byte(secret), 0o600); err != nil {
			return ErrStart.Wrap(err, "secret %q", name)
		}
	}
	return nil
}

// Secret returns the file that holds a secret: "peer", "operator" or "session".
func (e *Environment) Secret(name string) string {
	return filepath.Join(e.dir, name)
}

func (e *Environment) startStandIns() error {
	l, err := freePort()
	if err != nil {
		return err
	}
	e.Platform = standinplatform.Start(l, e.opts.Platform)
	for _, u := range e.doc.Upstreams {
		if u.Kind == upstream.OldRouter {
			continue
		}
		if err := e.startUpstream(u); err != nil {
			return err
		}
	}
	return e.startOldRouter()
}

func (e *Environment) startUpstream(u upstream.Upstream) error {
	l, err := freePort()
	if err != nil {
		return err
	}
	if u.Kind == upstream.Service {
		e.Services[u.ID] = service.Start(l, service.Options{})
		e.Addresses[u.ID] = e.Services[u.ID].URL()
		return nil
	}
	o := engine.Options{
		Fencing: u.Fencing, Capacity: max(u.Capacity, 1), Waiting: 4 * max(u.Capacity, 1),
		PrefixBlocks: 4096, MinTokens: 8, MaxTokens: 32, StreamKeep: 30 * time.Second,
	}
	for _, ref := range u.Versions {
		o.Versions = append(o.Versions, engine.VersionRef{Model: string(ref.Model), Version: string(ref.Version)})
	}
	if e.opts.Engine != nil {
		e.opts.Engine(u, &o)
	}
	e.Engines[u.ID] = engine.Start(l, o)
	e.Addresses[u.ID] = e.Engines[u.ID].URL()
	return nil
}

func (e *Environment) startOldRouter() error {
	id := e.doc.Takeover.OldRouter
	if id == "" {
		return nil
	}
	l, err := freePort()
	if err != nil {
		return err
	}
	o := oldrouter.Options{
		Models: make(map[string]string), Services: make(map[string]string), EnginesOf: make(map[string][]string),
	}
	index := document.NewIndex(0, e.doc)
	for _, m := range e.doc.Models {
		ref := model.Ref{Model: m.Name, Version: m.Current}
		o.Models[string(m.Name)] = ref.String()
		for _, u := range index.Engines(ref) {
			o.EnginesOf[string(m.Name)] = append(o.EnginesOf[string(m.Name)], e.Addresses[u.ID])
		}
	}
	for _, u := range e.doc.Upstreams {
		if u.Kind == upstream.Service {
			o.Services[u.Service] = e.Addresses[u.ID]
		}
	}
	e.OldRouter = oldrouter.Start(l, o)
	e.Addresses[id] = e.OldRouter.URL()
	return nil
}

// Publish makes text the environment's configuration.
func (e *Environment) Publish(text []byte) error {
	options := httpstore.Options{BaseURL: e.Platform.URL()}
	publisher := revision.NewPublisher(revision.PublisherOptions{
		Table: httpstore.NewTable(options), Objects: httpstore.NewObjects(options),
		Prefix: rows.Keys{Prefix: settings.DefaultEntry().Platform.Prefix}.Configuration(),
	})
	op := "publish-" + strconv.FormatUint(e.published+1, 10)
	accepted, err := publisher.Propose(e.ctx, e.published, text, op, "environment")
	if err != nil {
		return err
	}
	e.published = accepted.Revision.Number
	return nil
}

// StartVM starts an entry VM and waits until it is ready.
func (e *Environment) StartVM(v VM) (*entryd.Daemon, error) {
	d, err := entryd.New(e.settings(v), e.opts.Log, clockwork.NewRealClock())
	if err != nil {
		return nil, err
	}
	if err := d.Start(e.ctx); err != nil {
		return nil, err
	}
	e.add(v.ID, d)
	e.Platform.SetMember(platform.Member{
		ID: string(v.ID), Address: d.PeersAddress(), Region: v.Region, Domain: v.Domain, State: platform.MemberLive,
	})
	return d, d.AwaitReady(e.ctx)
}

func (e *Environment) settings(v VM) *settings.Entry {
	s := settings.DefaultEntry()
	s.VM = settings.VM{ID: v.ID}
	for _, d := range e.doc.Domains {
		if string(d.ID) == v.Domain {
			s.VM.Domain, s.VM.Region = d.ID, d.Region
		}
	}
	s.Callers.Address, s.Operators.Address, s.Peers.Address = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	if v.Callers != "" {
		s.Callers.Address = v.Callers
	}
	if v.Operators != "" {
		s.Operators.Address = v.Operators
	}
	url := e.Platform.URL()
	s.Platform.Table, s.Platform.Objects, s.Platform.VMList, s.Platform.Rater = url, url, url, url
	s.Upstreams = e.Addresses
	s.PeerTokenFile, s.OperatorTokenFile = e.Secret("peer"), e.Secret("operator")
	s.SessionKeyFiles = make(map[string]string)
	for _, name := range e.doc.Session.Keys {
		s.SessionKeyFiles[name] = e.Secret("session")
	}
	s.Stop.BalancerGraceMS = graceMS
	s.Timeouts.VMListPeriodMS = listPeriod
	if v.Settings != nil {
		v.Settings(s)
	}
	return s
}

// graceMS is the longest time for the balancer to notice a planned stop, in ms.
// The environment's own balancer ends it earlier.
const graceMS = 60_000

// listPeriod is the time between a VM's reads of the list of VMs, in ms.
const listPeriod = 100

// revisionPoll is the time between two looks at the revisions in force.
const revisionPoll = 10 * time.Millisecond

// AwaitRevision waits until all entry VMs work by the revision.
func (e *Environment) AwaitRevision(ctx context.Context, number uint64) error {
	for _, id := range e.running() {
		for e.VM(id).Revision() < number {
			if err := e.pause(ctx); err != nil {
				return err
			}
		}
	}
	return nil
}

// VM returns a running entry VM, or nil.
func (e *Environment) VM(id vm.ID) *entryd.Daemon {
	e.mu.RLock()
	defer e.mu.RUnlock()
	return e.vms[id]
}

// First returns the running entry VM with the least id, or an empty id.
func (e *Environment) First() vm.ID {
	ids := e.running()
	if len(ids) == 0 {
		return ""
	}
	return ids[0]
}

// Assign chooses a ready entry VM for a request, as the platform's balancer
// does. The caller calls arrived once, when the VM has begun to answer or the
// request has failed. The VM is nil where none is ready.
func (e *Environment) Assign(turn int) (d *entryd.Daemon, arrived func()) {
	ids := e.running()
	for i := range ids {
		id := ids[(turn+i)%len(ids)]
		arrived := e.balancer.begin(id)
		if d := e.VM(id); d != nil && d.IsReady() {
			return d, arrived
		}
		arrived()
	}
	return nil, func() {}
}

func (e *Environment) running() []vm.ID {
	e.mu.RLock()
	defer e.mu.RUnlock()
	return slices.Sorted(maps.Keys(e.vms))
}

// Current returns the version of a model that the first document has in use.
func (e *Environment) Current(name string) string {
	for _, m := range e.doc.Models {
		if string(m.Name) == name {
			return string(m.Current)
		}
	}
	return ""
}

// Published returns the number of the newest revision published here.
func (e *Environment) Published() uint64 {
	return e.published
}

func (e *Environment) add(id vm.ID, d *entryd.Daemon) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.vms[id] = d
}

// take removes an entry VM and returns it.
func (e *Environment) take(id vm.ID) *entryd.Daemon {
	e.mu.Lock()
	defer e.mu.Unlock()
	d := e.vms[id]
	delete(e.vms, id)
	return d
}

// StartControl starts a poplarshore-control on an entry VM. It ends with the
// environment.
func (e *Environment) StartControl(v VM, set func(*settings.Control)) error {
	s := settings.DefaultControl()
	entry := e.settings(v)
	s.VM, s.Platform, s.Upstreams = entry.VM, entry.Platform, entry.Upstreams
	s.Operators.Address = "127.0.0.1:0"
	if set != nil {
		set(s)
	}
	d, err := controld.New(s, e.opts.Log, clockwork.NewRealClock())
	if err != nil {
		return err
	}
	e.controls = append(e.controls, d)
	return d.Start(e.ctx)
}

// StopControls stops all control processes as planned.
func (e *Environment) StopControls() {
	for _, d := range e.controls {
		d.Stop()
	}
	e.controls = nil
}

// StopVM stops an entry VM as planned and returns the requests cut off.
func (e *Environment) StopVM(id vm.ID) int {
	d := e.VM(id)
	d.BeginStop()
	cut := d.Stop(context.Background(), e.balancer.drained(id))
	e.take(id)
	e.Platform.RemoveMember(string(id))
	return cut
}

// KillVM ends an entry VM at once, as the loss of the machine does.
func (e *Environment) KillVM(id vm.ID) {
	e.take(id).Kill()
}

// Close stops everything.
func (e *Environment) Close() {
	for _, id := range e.running() {
		e.KillVM(id)
	}
	e.StopControls()
	e.cancel()
	for _, s := range e.Engines {
		_ = s.Close()
	}
	for _, s := range e.Services {
		_ = s.Close()
	}
	if e.OldRouter != nil {
		_ = e.OldRouter.Close()
	}
	if e.Platform != nil {
		_ = e.Platform.Close()
	}
	_ = os.RemoveAll(e.dir)
}

func freePort() (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, ErrStart.Wrap(err, "listen on loopback")
	}
	return l, nil
}
