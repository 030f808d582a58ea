// Package environment runs a complete environment in one process on loopback: the platform, the upstreams that a
// configuration document declares, entry VMs and control processes. It is for development and tests only.
package environment

import (
	"context"
	"crypto/rand"
	"io"
	"log/slog"
	"os"
	"path/filepath"
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
