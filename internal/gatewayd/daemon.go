package gatewayd

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/netip"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/joomcode/errorx"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/internal/boundlog"
	"github.com/poplarshore/poplarshore/internal/command"
	"github.com/poplarshore/poplarshore/internal/duty"
	"github.com/poplarshore/poplarshore/internal/engines"
	"github.com/poplarshore/poplarshore/internal/hints"
	"github.com/poplarshore/poplarshore/internal/listen"
	"github.com/poplarshore/poplarshore/internal/members"
	"github.com/poplarshore/poplarshore/internal/metrics"
	"github.com/poplarshore/poplarshore/internal/peerfeed"
	"github.com/poplarshore/poplarshore/internal/relay"
	"github.com/poplarshore/poplarshore/internal/shifts"
	"github.com/poplarshore/poplarshore/internal/upconn"
	"github.com/poplarshore/poplarshore/internal/watch"
	"github.com/poplarshore/poplarshore/platform/rowstore"
	"github.com/poplarshore/poplarshore/platform/wire"
	"github.com/poplarshore/poplarshore/refusal"
	"github.com/poplarshore/poplarshore/retry"
	"github.com/poplarshore/poplarshore/rollout/shift"
	"github.com/poplarshore/poplarshore/settings"
)

var namespace = errorx.NewNamespace("gatewayd")

// ErrCut reports a stop that cut off requests.
var ErrCut = namespace.NewType("cut")

// phase is how far the life of the daemon is.
type phase int32

const (
	serving phase = iota
	// leaving daemons are not ready, but take what still comes.
	leaving
	// refusing daemons only end what they have.
	refusing
	// cutting daemons break off what is left.
	cutting
)

// Daemon is the gateway of one VM.
type Daemon struct {
	settings *settings.Gateway
	log      *slog.Logger
	lines    *boundlog.Writer
	out      io.Writer
	clock    clockwork.Clock
	registry *metrics.Registry

	store     *rowstore.Client
	operators *operatorRows
	directory *engines.Directory
	shifts    *shifts.Manager
	pool      *upconn.Pool
	vms       *members.List
	feed      *peerfeed.Feed
	hints     *hints.Exchange
	// hintCounts counts hints by what became of them.
	hintCounts *prometheus.CounterVec
	purse      *retry.WindowBudgets
	relay      *relay.Server
	phase      atomic.Int32

	runner    *duty.Runner
	logRunner *duty.Runner
	callers   *listen.Server
	health    *listen.Server
	metrics   *listen.Server
	peers     *listen.Server
}

const (
	// memoryShare is the part of the VM's memory at which the collector works harder.
	memoryShare = 0.6
	bytesPerMB  = 1 << 20
	// lapsedReturn is how long after the store's return a lapsed entry may come back.
	lapsedReturn = 2 * time.Second
)

// New returns a daemon that does nothing yet. Logs go to out.
func New(s *settings.Gateway, out io.Writer, clock clockwork.Clock) *Daemon {
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryMB*bytesPerMB) * memoryShare))
	}
	d := &Daemon{settings: s, out: out, clock: clock, registry: metrics.NewRegistry()}
	d.lines = boundlog.New(d.registry)
	d.log = slog.New(d.lines.Handler(command.Logger(d.lines, s.Log).Handler())).With("vm", s.VM.ID)
	d.store = rowstore.New(rowstore.Options{
		Address: s.Store.Address, CallTimeout: s.Store.CallMS.Duration(), Registry: d.registry,
	})
	d.vms = members.NewList(s.VM.ID, ownTable, d.log)
	options := peerfeed.DefaultOptions()
	regionOf := func(id domain.ID) domain.Region { return s.Regions[id] }
	options.VM, options.Region, options.RegionOf = s.VM.ID, s.VM.Region, regionOf
	options.Seeds, options.Self = s.Seeds, s.Peers.Address
	d.feed = peerfeed.New(options, d.store, d.vms, clock, d.log, d.registry)
	d.pool = upconn.NewPool(upconn.DefaultOptions())
	d.directory = engines.New(engines.Options{
		Region: s.VM.Region, Domain: s.VM.Domain,
		RegionOf:            regionOf,
		ReregistrationGrace: lapsedReturn,
		Placement:           engines.DefaultPlacement(),
		OnRemove:            d.pool.CloseIdle,
	}, clock, d.log)
	d.shifts = shifts.New(shifts.Options{
		VM: s.VM.ID, Table: ownTable, VMCount: func() int { return len(d.vms.Others()) + 1 },
		Plan: shift.PlanWithin(s.Exposure), SharedClock: d.store, Writer: d.store,
		Announce: wire.AnnounceRollout, Clock: clock, Log: d.log,
	})
	d.hintCounts = hints.NewCounter(d.registry)
	d.registry.MustRegister(&stateCollector{daemon: d})
	d.operators = &operatorRows{log: d.log, shifts: d.shifts}
	d.relay = d.newRelay()
	return d
}

// known tells whether all that a request needs was read once.
func (d *Daemon) known() bool {
	return d.operators.listed.Load() && d.operators.Table() != nil && d.directory.Listed() && d.shifts.Listed()
}

// refusal returns why no new work is taken, or nil.
func (d *Daemon) refusal() *refusal.Refusal {
	if phase(d.phase.Load()) >= refusing {
		return refusal.New(refusal.Draining)
	}
	if !d.known() {
		return refusal.New(refusal.ConfigurationStale)
	}
	return nil
}

// Ready tells whether the balancer should send callers here.
func (d *Daemon) Ready() bool {
	return phase(d.phase.Load()) == serving && d.known()
}

const (
	maxHeaderBytes = 64 << 10
	headerTimeout  = 10 * time.Second
	// callerIdle is longer than callers keep unused connections.
	callerIdle = 60 * time.Second

	// entrySettle and ownSettle are how long changes of entries and of the VMs'
	// own rows are gathered.
	entrySettle = 500 * time.Millisecond
	ownSettle   = 100 * time.Millisecond

	tickEvery   = 100 * time.Millisecond
	settleEvery = 200 * time.Millisecond
	sweepEvery  = 2 * time.Second

	// endMargin is how long before the kill what still runs is broken off.
	endMargin = 700 * time.Millisecond
)

// Start opens the listeners and starts the duties.
func (d *Daemon) Start(ctx context.Context) error {
	d.logRunner = duty.NewRunner(context.WithoutCancel(ctx), d.log)
	d.logRunner.Start("log", func(ctx context.Context) { d.lines.Run(ctx, d.out) })
	d.log.Info("starting", "domain", d.settings.VM.Domain, "region", d.settings.VM.Region,
		"callers", d.settings.Callers.Address, "store", d.settings.Store.Address)
	if err := d.listen(); err != nil {
		d.log.Error("can't listen", "error", err)
		d.logRunner.Stop()
		return err
	}
	d.runner = duty.NewRunner(ctx, d.log)
	d.follow(wire.OperatorTable, d.operators, 0)
	d.follow(wire.UpstreamTable, &upstreamRows{log: d.log, directory: d.directory}, entrySettle)
	d.follow(ownTable, &ownRows{shifts: d.shifts, vms: d.vms}, ownSettle)
	d.runner.Start("announce", d.announce)
	d.runner.Start("hints out", d.hints.Send)
	d.runner.Start("hints in", d.hints.Receive)
	d.runner.Every("roll-outs", d.clock, tickEvery, d.shifts.Tick)
	d.runner.Every("purse", d.clock, sweepEvery, d.sharePurse)
	d.runner.Every("entries", d.clock, settleEvery, func(context.Context) { d.directory.ExpireLapsed() })
	d.runner.Every("connections", d.clock, sweepEvery, func(context.Context) { d.pool.Sweep(time.Now()) })
	return nil
}

func (d *Daemon) follow(table string, sink watch.Sink, settle time.Duration) {
	options := watch.DefaultOptions()
	options.BatchDelay = settle
	w := watch.New(d.feed, table, sink, d.clock, d.log, options)
	d.runner.Start("watch "+table, w.Run)
}

func (d *Daemon) listen() error {
	var err error
	if d.hints, err = hints.Open(d.settings.Hints, d.vms, d.takeHint, d.log, d.hintCounts); err != nil {
		return err
	}
	bounds := listen.Bounds{MaxHeaderBytes: maxHeaderBytes, HeaderTimeout: headerTimeout, KeepAlive: callerIdle}
	peers, mux := http.NewServeMux(), http.NewServeMux()
	peers.Handle(peerfeed.Path, d.feed)
	mux.Handle("GET /metrics", promhttp.HandlerFor(d.registry, promhttp.HandlerOpts{}))
	d.registry.MustRegister(collectors.NewGoCollector())
	for _, l := range []struct {
		server  **listen.Server
		at      settings.Listener
		handler http.Handler
	}{
		{&d.callers, d.settings.Callers, d.relay},
		{&d.health, d.settings.Health, http.HandlerFunc(d.serveHealth)},
		{&d.metrics, d.settings.Metrics, mux},
		{&d.peers, d.settings.Peers, peers},
	} {
		server, err := listen.Open(l.at, l.handler, bounds, d.log)
		if err != nil {
			return err
		}
		*l.server = server
	}
	return nil
}

// announce tells the other VMs where this one takes what they tell it.
func (d *Daemon) announce(ctx context.Context) {
	feed, err := netip.ParseAddrPort(d.peers.Address())
	if err != nil {
		d.log.Error("VM can't be announced", "error", err)
		return
	}
	d.vms.Announce(ctx, members.Member{
		Domain: d.settings.VM.Domain, Hints: d.hints.Address(), Feed: feed,
	}, d.store)
}

func (d *Daemon) takeHint(h hints.Hint) {
	d.directory.AddRemoteWork(h.Upstream, time.Duration(h.WorkMS)*time.Millisecond)
}

func (d *Daemon) serveHealth(w http.ResponseWriter, _ *http.Request) {
	if !d.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Stop ends the daemon: not ready at once, no new work after a while, and what
// is still running at the end of the grace is broken off.
func (d *Daemon) Stop(ctx context.Context) {
	began := d.clock.Now()
	d.phase.Store(int32(leaving))
	grace := d.settings.Stop.GraceS.Duration()
	d.log.Info("leaving", "grace_ms", grace.Milliseconds())
	d.wait(ctx, d.settings.Stop.TakeS.Duration())
	d.phase.Store(int32(refusing))
	left := grace - endMargin - d.clock.Since(began)
	ending, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	err := d.callers.Shutdown(ending)
	d.phase.Store(int32(cutting))
	if err != nil {
		d.log.Warn("requests broken off", "error", err)
	}
	d.close()
	d.log.Info("stopped", "took_ms", d.clock.Since(began).Milliseconds())
	d.logRunner.Stop()
}

func (d *Daemon) wait(ctx context.Context, limit time.Duration) {
	select {
	case <-ctx.Done():
	case <-d.clock.After(limit):
	}
}

// close ends all listeners, duties and connections.
func (d *Daemon) close() {
	d.callers.Close()
	d.health.Close()
	d.metrics.Close()
	d.peers.Close()
	d.runner.Stop()
	d.pool.Close()
}

// CallersAddress returns the address on which callers are served.
func (d *Daemon) CallersAddress() string { return d.callers.Address() }

// Metrics returns the help of each metric.
func (d *Daemon) Metrics() map[string]string { return d.registry.Descriptions("poplarshore_") }

// Kill ends the daemon at once, as the loss of its VM does.
func (d *Daemon) Kill() {
	d.close()
	d.logRunner.Stop()
}
