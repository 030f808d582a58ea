// Package environment runs a complete environment in one process on loopback: the platform, the upstreams that a
// configuration document declares, entry VMs and control processes. It is for development and tests only.
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

// ErrStart is the error type of failures to start a part of an environment.
var ErrStart = namespace.NewType("start")

// Fixed secrets, the same in all parts of all environments: the operators' token and the key of session tokens.
const (
	// OperatorToken is the bearer token of the operator ports.
	OperatorToken = "operator-token-of-the-stand-in"
	sessionSecret = "session-secret-of-the-stand-in-32-bytes"
)

// Options configure an environment.
type Options struct {
	// Document is the text of the first configuration revision. It also determines the upstreams.
	Document []byte
	// ConfigureEngine, if set, modifies each engine's options before its start. They name the versions that the
	// document declares for the engine. Nil keeps the defaults.
	ConfigureEngine func(u upstream.Upstream, o *engine.Options)
	// Platform configures the platform's stand-in.
	Platform standinplatform.Options
	// VMs are the entry VMs that Start starts. StartVM adds more.
	VMs []VM
	// Log receives the logs of the daemons. Nil discards them.
	Log *slog.Logger
}

// VM configures an entry VM, or the VM on which a control process runs.
type VM struct {
	ID vm.ID
	// Domain is the failure domain, one that the document declares.
	Domain string
	// Region is the region in the platform's list of VMs. The VM's own settings take theirs from the document.
	Region string
	// CallersAddress and OperatorsAddress are the listeners' host:port. Empty means a free port on 127.0.0.1.
	CallersAddress   string
	OperatorsAddress string
	// ConfigureSettings, if set, modifies the entry's settings before the start. Nil keeps the defaults.
	ConfigureSettings func(*settings.Entry)
}

// Environment is a running environment. Start creates it.
type Environment struct {
	// Platform, Engines, Services and OldRouter are the stand-ins. OldRouter is nil if the document declares none.
	Platform  *standinplatform.Server
	Engines   map[upstream.ID]*engine.Server
	Services  map[upstream.ID]*service.Server
	OldRouter *oldrouter.Server
	// Addresses holds the base URL of each upstream.
	Addresses settings.Addresses

	opts       Options
	doc        *document.Document
	secretsDir string
	ctx        context.Context
	cancel     context.CancelFunc

	balancer balancer

	mu       sync.RWMutex
	vms      map[vm.ID]*entryd.Daemon
	controls []*controld.Daemon
	// published is the number of the newest revision that Publish created.
	published uint64
}

// Start starts an environment and waits until its entry VMs are ready and know one another. The environment runs
// until Close is called; ctx must not end earlier. On error everything already started is stopped.
// Errors: those of document.Parse, ErrStart, and those of the daemons.
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
	return e.awaitFullRosters()
}

// awaitFullRosters waits until the roster of each entry VM contains all of them.
func (e *Environment) awaitFullRosters() error {
	ids := e.runningVMs()
	for _, id := range ids {
		for e.VM(id).MemberCount() < len(ids) {
			if err := e.waitPollInterval(e.ctx); err != nil {
				return err
			}
		}
	}
	return nil
}

// waitPollInterval waits for one pollInterval. It returns the cause if ctx ends first.
func (e *Environment) waitPollInterval(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-time.After(pollInterval):
		return nil
	}
}

// writeSecrets writes the secrets to files in a temporary directory. The peer token is random, because a VM of
// another environment may listen on the port that a killed VM of this one used.
func (e *Environment) writeSecrets() error {
	dir, err := os.MkdirTemp("", "poplarshore-")
	if err != nil {
		return ErrStart.Wrap(err, "create the directory for secrets")
	}
	e.secretsDir = dir
	for name, secret := range map[string]string{"peer": rand.Text(), "operator": OperatorToken, "session": sessionSecret} {
		if err := os.WriteFile(e.SecretFile(name), []byte(secret), 0o600); err != nil {
			return ErrStart.Wrap(err, "write secret %q", name)
		}
	}
	return nil
}

// SecretFile returns the path of the file with the secret "peer", "operator" or "session".
func (e *Environment) SecretFile(name string) string {
	return filepath.Join(e.secretsDir, name)
}

// startStandIns starts the platform, then the upstreams, last the older router, which needs the others' addresses.
func (e *Environment) startStandIns() error {
	listener, err := listenLoopback()
	if err != nil {
		return err
	}
	e.Platform = standinplatform.Start(listener, e.opts.Platform)
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

// startUpstream starts the stand-in of a plain service, or of an engine. An engine queues up to four times its
// capacity in waiting requests.
func (e *Environment) startUpstream(u upstream.Upstream) error {
	listener, err := listenLoopback()
	if err != nil {
		return err
	}
	if u.Kind == upstream.Service {
		e.Services[u.ID] = service.Start(listener, service.Options{})
		e.Addresses[u.ID] = e.Services[u.ID].URL()
		return nil
	}
	options := engine.Options{
		Fencing: u.Fencing, Capacity: max(u.Capacity, 1), MaxWaiting: 4 * max(u.Capacity, 1),
		PrefixBlocks: 4096, MinTokens: 8, MaxTokens: 32, StreamRetention: 30 * time.Second,
	}
	for _, ref := range u.Versions {
		options.Versions = append(options.Versions, engine.VersionRef{Model: string(ref.Model), Version: string(ref.Version)})
	}
	if e.opts.ConfigureEngine != nil {
		e.opts.ConfigureEngine(u, &options)
	}
	e.Engines[u.ID] = engine.Start(listener, options)
	e.Addresses[u.ID] = e.Engines[u.ID].URL()
	return nil
}

// startOldRouter starts the stand-in of the older router, if the document declares one. It serves the current
// versions of the first document and all plain services.
func (e *Environment) startOldRouter() error {
	id := e.doc.Takeover.OldRouter
	if id == "" {
		return nil
	}
	listener, err := listenLoopback()
	if err != nil {
		return err
	}
	options := oldrouter.Options{
		Models: make(map[string]string), Services: make(map[string]string), EnginesByModel: make(map[string][]string),
	}
	index := document.NewIndex(0, e.doc)
	for _, m := range e.doc.Models {
		ref := model.Ref{Model: m.Name, Version: m.Current}
		options.Models[string(m.Name)] = ref.String()
		for _, u := range index.Engines(ref) {
			options.EnginesByModel[string(m.Name)] = append(options.EnginesByModel[string(m.Name)], e.Addresses[u.ID])
		}
	}
	for _, u := range e.doc.Upstreams {
		if u.Kind == upstream.Service {
			options.Services[u.Service] = e.Addresses[u.ID]
		}
	}
	e.OldRouter = oldrouter.Start(listener, options)
	e.Addresses[id] = e.OldRouter.URL()
	return nil
}

// Publish publishes text as the next revision of the configuration. It doesn't wait until the VMs have installed
// it; see AwaitRevision.
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

// StartVM starts an entry VM, adds it to the platform's list of VMs and waits until it is ready.
func (e *Environment) StartVM(v VM) (*entryd.Daemon, error) {
	d, err := entryd.New(e.entrySettings(v), e.opts.Log, clockwork.NewRealClock())
	if err != nil {
		return nil, err
	}
	if err := d.Start(e.ctx); err != nil {
		return nil, err
	}
	e.addVM(v.ID, d)
	e.Platform.SetMember(platform.Member{
		ID: string(v.ID), Address: d.PeersAddress(), Region: v.Region, Domain: v.Domain, State: platform.MemberLive,
	})
	return d, d.AwaitReady(e.ctx)
}

// entrySettings returns the settings of an entry VM: the defaults with the environment's addresses and secrets,
// short periods, and the changes that v.ConfigureSettings makes.
func (e *Environment) entrySettings(v VM) *settings.Entry {
	s := settings.DefaultEntry()
	s.VM = settings.VM{ID: v.ID}
	for _, d := range e.doc.Domains {
		if string(d.ID) == v.Domain {
			s.VM.Domain, s.VM.Region = d.ID, d.Region
		}
	}
	s.Callers.Address, s.Operators.Address, s.Peers.Address = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	if v.CallersAddress != "" {
		s.Callers.Address = v.CallersAddress
	}
	if v.OperatorsAddress != "" {
		s.Operators.Address = v.OperatorsAddress
	}
	url := e.Platform.URL()
	s.Platform.Table, s.Platform.Objects, s.Platform.VMList, s.Platform.Rater = url, url, url, url
	s.Upstreams = e.Addresses
	s.PeerTokenFile, s.OperatorTokenFile = e.SecretFile("peer"), e.SecretFile("operator")
	s.SessionKeyFiles = make(map[string]string)
	for _, name := range e.doc.Session.Keys {
		s.SessionKeyFiles[name] = e.SecretFile("session")
	}
	s.Stop.BalancerGraceMS = balancerGraceMS
	s.Timeouts.VMListPeriodMS = vmListPeriodMS
	if v.ConfigureSettings != nil {
		v.ConfigureSettings(s)
	}
	return s
}

// balancerGraceMS is the maximum time for the balancer to notice a planned stop, in ms. StopVM ends the grace
// period as soon as no request is in transit to the VM.
const balancerGraceMS = 60_000

// vmListPeriodMS is the time between a VM's reads of the list of VMs, in ms.
const vmListPeriodMS = 100

// pollInterval is the time between two checks of a VM's revision or roster.
const pollInterval = 10 * time.Millisecond

// AwaitRevision waits until the revision or a later one is in force on all entry VMs. It returns the cause if ctx
// ends first.
func (e *Environment) AwaitRevision(ctx context.Context, number uint64) error {
	for _, id := range e.runningVMs() {
		for e.VM(id).RevisionNumber() < number {
			if err := e.waitPollInterval(ctx); err != nil {
				return err
			}
		}
	}
	return nil
}

// VM returns the running entry VM with the id, or nil.
func (e *Environment) VM(id vm.ID) *entryd.Daemon {
	e.mu.RLock()
	defer e.mu.RUnlock()
	return e.vms[id]
}

// FirstVM returns the smallest id of the running entry VMs, or an empty id if there are none.
func (e *Environment) FirstVM() vm.ID {
	ids := e.runningVMs()
	if len(ids) == 0 {
		return ""
	}
	return ids[0]
}

// SelectVM selects an entry VM for a request, as the platform's balancer does: the first ready one in the order of
// ids, from offset (modulo their number). The caller must call arrived once, when the VM has started to answer or
// the request has failed; a planned stop waits for it. If none is ready, d is nil and arrived has no effect.
func (e *Environment) SelectVM(offset int) (d *entryd.Daemon, arrived func()) {
	ids := e.runningVMs()
	for i := range ids {
		id := ids[(offset+i)%len(ids)]
		arrived := e.balancer.beginRequest(id)
		if d := e.VM(id); d != nil && d.IsReady() {
			return d, arrived
		}
		arrived()
	}
	return nil, func() {}
}

// runningVMs returns the ids of the running entry VMs in ascending order.
func (e *Environment) runningVMs() []vm.ID {
	e.mu.RLock()
	defer e.mu.RUnlock()
	return slices.Sorted(maps.Keys(e.vms))
}

// CurrentVersion returns the current version of a model in the first document, or "" if that doesn't declare it.
func (e *Environment) CurrentVersion(name string) string {
	for _, m := range e.doc.Models {
		if string(m.Name) == name {
			return string(m.Current)
		}
	}
	return ""
}

// PublishedRevision returns the number of the newest revision that Publish created.
func (e *Environment) PublishedRevision() uint64 {
	return e.published
}

func (e *Environment) addVM(id vm.ID, d *entryd.Daemon) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.vms[id] = d
}

// removeVM removes an entry VM from the running ones and returns it. It doesn't stop it.
func (e *Environment) removeVM(id vm.ID) *entryd.Daemon {
	e.mu.Lock()
	defer e.mu.Unlock()
	d := e.vms[id]
	delete(e.vms, id)
	return d
}

// StartControl starts a control process (poplarshore-control) with the identity of an entry VM. configure, if not
// nil, modifies its settings before the start. The process runs until StopControls or Close is called.
func (e *Environment) StartControl(v VM, configure func(*settings.Control)) error {
	s := settings.DefaultControl()
	entry := e.entrySettings(v)
	s.VM, s.Platform, s.Upstreams = entry.VM, entry.Platform, entry.Upstreams
	s.Operators.Address = "127.0.0.1:0"
	if configure != nil {
		configure(s)
	}
	d, err := controld.New(s, e.opts.Log, clockwork.NewRealClock())
	if err != nil {
		return err
	}
	e.controls = append(e.controls, d)
	return d.Start(e.ctx)
}

// StopControls stops all control processes gracefully.
func (e *Environment) StopControls() {
	for _, d := range e.controls {
		d.Stop()
	}
	e.controls = nil
}

// StopVM stops an entry VM gracefully, removes it from the platform's list of VMs and returns the number of
// requests that the stop interrupted. The VM must be running.
func (e *Environment) StopVM(id vm.ID) int {
	d := e.VM(id)
	d.BeginStop()
	interrupted := d.Stop(context.Background(), e.balancer.drained(id))
	e.removeVM(id)
	e.Platform.RemoveMember(string(id))
	return interrupted
}

// KillVM ends an entry VM at once, like the loss of its machine. The VM stays in the platform's list of VMs. The
// VM must be running.
func (e *Environment) KillVM(id vm.ID) {
	e.removeVM(id).Kill()
}

// Close stops all parts of the environment and removes the files of its secrets.
func (e *Environment) Close() {
	for _, id := range e.runningVMs() {
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
	_ = os.RemoveAll(e.secretsDir)
}

// listenLoopback listens on a free port of 127.0.0.1.
func listenLoopback() (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, ErrStart.Wrap(err, "listen on 127.0.0.1")
	}
	return l, nil
}
