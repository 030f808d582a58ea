package gatewayd

import (
	"context"
	"io"
	"log/slog"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/internal/boundlog"
	"github.com/poplarshore/poplarshore/internal/command"
	"github.com/poplarshore/poplarshore/internal/duty"
	"github.com/poplarshore/poplarshore/internal/engines"
	"github.com/poplarshore/poplarshore/internal/hints"
	"github.com/poplarshore/poplarshore/internal/listen"
	"github.com/poplarshore/poplarshore/internal/members"
	"github.com/poplarshore/poplarshore/internal/membudget"
	"github.com/poplarshore/poplarshore/internal/metrics"
	"github.com/poplarshore/poplarshore/internal/peerfeed"
	"github.com/poplarshore/poplarshore/internal/quarantines"
	"github.com/poplarshore/poplarshore/internal/reach"
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
	"github.com/poplarshore/poplarshore/upstream"
)

// phase is the stage of the daemon's life cycle. Phases only advance, in the order
// of the constants.
type phase int32

const (
	// serving: the daemon is ready once it has read its tables.
	serving phase = iota
	// draining: the daemon is not ready but still accepts requests, because the
	// balancer may send some until it notices.
	draining
	// rejecting: new requests are refused and running ones complete.
	rejecting
	// aborting: the requests that still run are aborted.
	aborting
)

// Daemon is the gateway of one VM.
type Daemon struct {
	settings  *settings.Gateway
	log       *slog.Logger
	logWriter *boundlog.Writer
	logOutput io.Writer
	clock     clockwork.Clock
	registry  *metrics.Registry

	store        *rowstore.Client
	operatorSink *operatorSink
	upstreamSink *upstreamSink
	directory    *engines.Directory
	shifts       *shifts.Manager
	quarantines  *quarantines.Guard
	pool         *upconn.Pool
	// peerPool holds the connections to VMs that relay requests, and reach follows whether
	// this VM reaches upstreams itself.
	peerPool *upconn.Pool
	reach    *reach.Tracker
	vms      *members.List
	// vmAddresses are the addresses of VMs, which no upstream has.
	vmAddresses atomic.Pointer[vmAddresses]
	collector   *members.Collector
	peerFeed    *peerfeed.Feed
	hints       *hints.Exchange
	// hintCounts counts hints by outcome.
	hintCounts *prometheus.CounterVec
	// shareCounts counts shared reports by outcome.
	shareCounts  *prometheus.CounterVec
	retryBudgets *retry.WindowBudgets
	// fleetSize is the number of VMs between which limits are divided, and retryShare this VM's share in the
	// additional attempts of all VMs.
	fleetSize  *retry.FleetSize
	retryShare *retry.FleetShare
	relay      *relay.Server
	// memory bounds what is kept of responses and request bodies.
	memory *membudget.Budget
	// tables are the watches of the store's tables.
	tables []*watch.Watch
	phase  atomic.Int32

	runner        *duty.Runner
	logRunner     *duty.Runner
	callerServer  *listen.Server
	healthServer  *listen.Server
	metricsServer *listen.Server
	peerServer    *listen.Server
	relayServer   *listen.Server
}

const (
	// reregistrationGrace is how long lapsed upstream entries are kept after the
	// store is available again.
	reregistrationGrace = 2 * time.Second
)

// Option changes a daemon before it starts.
type Option func(*options)

// options are what settings don't determine.
type options struct {
	upstreamDial upconn.Dial
	peerDial     peerfeed.DialFunc
	retryShare   *retry.FleetShare
}

// WithUpstreamDial opens the connections to upstreams by dial.
func WithUpstreamDial(dial upconn.Dial) Option {
	return func(o *options) { o.upstreamDial = dial }
}

// WithPeerDial opens the connections over which this VM reads other VMs' copies of the tables by dial.
func WithPeerDial(dial peerfeed.DialFunc) Option {
	return func(o *options) { o.peerDial = dial }
}

// WithRetryShare sets the share of the VM in the additional attempts of all VMs. By default the VM begins with one that is
// little, as what the process before it took is not known.
func WithRetryShare(share *retry.FleetShare) Option {
	return func(o *options) { o.retryShare = share }
}

// New returns a daemon that has not been started. Its log is written to out from
// Start on.
func New(s *settings.Gateway, out io.Writer, clock clockwork.Clock, opts ...Option) *Daemon {
	var o options
	for _, apply := range opts {
		apply(&o)
	}
	membudget.SetRuntimeLimit(s.MemoryMB)
	d := &Daemon{settings: s, logOutput: out, clock: clock, registry: metrics.NewRegistry()}
	d.logWriter = boundlog.New(d.registry)
	d.log = slog.New(d.logWriter.Handler(command.Logger(d.logWriter, s.Log).Handler())).With("vm", s.VM.ID)
	d.memory = membudget.New(membudget.PartsOf(s.MemoryMB).Kept)
	d.store = rowstore.New(rowstore.Options{
		Address: s.Store.Address, CallTimeout: s.Store.CallMS.Duration(), Registry: d.registry,
	})
	d.vms = members.NewList(s.VM.ID, vmTable, d.log)
	d.fleetSize = retry.NewFleetSize(s.Retries.SpanS.Duration(), clock.Now())
	if d.retryShare = o.retryShare; d.retryShare == nil {
		d.retryShare = retry.NewFleetShare(d.fleetSize, s.Retries.SpanS.Duration(), clock.Now())
	}
	d.collector = members.NewCollector(vmTable, d.store, clock, d.log)
	d.peerFeed = d.newPeerFeed(o.peerDial)
	poolOptions := upconn.DefaultOptions()
	poolOptions.Dial = o.upstreamDial
	d.pool = upconn.NewPool(poolOptions)
	d.directory = d.newDirectory()
	d.peerPool = upconn.NewPool(d.peerPoolOptions())
	d.reach = d.newReach()
	d.shifts = shifts.New(shifts.Options{
		VM: s.VM.ID, Table: vmTable, VMCount: func() int { return len(d.vms.Others()) + 1 },
		Plan:        shift.PlanWithin(shift.Exposure{Share: s.Exposure, Slack: s.ExposureSlack}),
		SharedClock: d.store, Writer: d.store,
		Announce: wire.EncodeRolloutStatus, Clock: clock, Log: d.log,
	})
	d.quarantines = d.newQuarantines()
	d.hintCounts = hints.NewCounter(d.registry)
	d.shareCounts = newShareCounter(d.registry)
	d.registry.MustRegister(&stateCollector{daemon: d}, collectors.NewGoCollector())
	d.operatorSink = newOperatorSink(d)
	d.upstreamSink = newUpstreamSink(d)
	d.tables = d.newTables()
	d.relay = d.newRelay()
	return d
}

// newPeerFeed returns the reader of the store's tables, directly or through other VMs, to which it opens connections by dial.
func (d *Daemon) newPeerFeed(dial peerfeed.DialFunc) *peerfeed.Feed {
	s := d.settings
	feedOptions := peerfeed.OptionsWithin(s.Changes.Bound())
	feedOptions.VM, feedOptions.Region, feedOptions.RegionOf = s.VM.ID, s.VM.Region, d.regionOf
	feedOptions.StoreClock, feedOptions.Dial = d.store, dial
	feedOptions.Seeds, feedOptions.Self = s.Seeds, s.Peers.Address
	return peerfeed.New(feedOptions, d.store, d.vms, d.clock, d.log, d.registry)
}

// newDirectory returns the directory of upstreams, which announces to other VMs what it learns of
// them.
func (d *Daemon) newDirectory() *engines.Directory {
	s := d.settings
	return engines.New(engines.Options{
		Region: s.VM.Region, Domain: s.VM.Domain,
		RegionOf:            d.regionOf,
		ReregistrationGrace: reregistrationGrace,
		Placement:           engines.DefaultPlacement(),
		AnswerEnd:           s.LoadControl.AnswerEnd,
		ShareReports:        sharesReports(s),
		OnRemove:            d.pool.CloseIdle,
		IsVM:                d.isVMAddress,
		SharedClock:         d.store,
		Rank:                d.rank,
		VMsKnown:            d.vms.Listed, SlowStart: s.LoadControl.SlowStart,
		ColdBound: engines.ColdBound{Overrun: s.Cold.Overrun, Slack: s.Cold.Slack},
		OnCold:    d.announceCold,
		OnLimit: func(u upstream.Upstream, perSecond float64) {
			d.hints.Announce(hints.Hint{Upstream: u.ID, Limit: &perSecond, Region: d.regionOf(u.Domain)})
		},
		OnFragile: func(u upstream.Upstream, fragile bool) {
			d.hints.Announce(hints.Hint{Upstream: u.ID, Fragile: &fragile, Region: d.regionOf(u.Domain)})
		},
		OnRejected: func(u upstream.Upstream) {
			d.hints.Announce(hints.Hint{Upstream: u.ID, Full: true, Region: d.regionOf(u.Domain)})
		},
		Registry: d.registry,
	}, d.clock, d.log)
}

// regionOf returns the region of a failure domain.
func (d *Daemon) regionOf(id domain.ID) domain.Region { return d.settings.Regions[id] }

// synced reports whether everything needed to serve requests has been read at
// least once: the operators' table with a configuration, the upstreams and the
// roll-outs.
func (d *Daemon) synced() bool {
	return d.operatorSink.listed.Load() && d.operatorSink.Table() != nil && d.directory.Listed() && d.shifts.Listed()
}

// admissionRefusal returns the reason why new requests are refused, or nil.
func (d *Daemon) admissionRefusal() *refusal.Refusal {
	if phase(d.phase.Load()) >= rejecting {
		return refusal.New(refusal.Draining)
	}
	if !d.synced() {
		return refusal.New(refusal.ConfigurationStale)
	}
	return nil
}

// Ready reports whether the balancer should send requests to this VM.
func (d *Daemon) Ready() bool {
	return phase(d.phase.Load()) == serving && d.synced()
}

const (
	// maxHeaderBytes and headerTimeout limit the header of a request on all
	// listeners.
	maxHeaderBytes = 64 << 10
	headerTimeout  = 10 * time.Second
	// callerIdleTimeout is how long unused connections are kept, or for as long as the configuration lets
	// callers keep them if that is longer, so that the callers close them first.
	callerIdleTimeout = 60 * time.Second

	// Pauses after changes, so that further changes arrive in one batch: vmBatchDelay for
	// VMs' rows, and for upstream entries upstreamBatchFraction of the bound for changes.
	upstreamBatchFraction = 0.17
	vmBatchDelay          = 100 * time.Millisecond

	// Intervals of background tasks: steps of roll-outs, writes of quarantines, expiry of lapsed upstream
	// entries, search for connections that upstreams ended, and cleanup of retry budgets and unused connections.
	rolloutInterval       = 100 * time.Millisecond
	endedConnInterval     = 100 * time.Millisecond
	quarantineRowInterval = 100 * time.Millisecond
	lapsedEntryInterval   = 200 * time.Millisecond
	sweepInterval         = 2 * time.Second

	// abortMargin is the time between aborting the remaining requests and the end
	// of the grace period, when the process is killed.
	abortMargin = 700 * time.Millisecond
	// answerTimeout is how long aborted requests may take to write what is known of them, flushTimeout
	// how long that may take to be sent, and logTimeout how long requests whose connections were
	// closed then may take to be logged. Together they are less than abortMargin.
	answerTimeout = 300 * time.Millisecond
	flushTimeout  = 150 * time.Millisecond
	logTimeout    = 100 * time.Millisecond
)

// Start opens the listeners and starts the background tasks, which run until Stop
// or Kill. It returns an error if an address cannot be listened on.
func (d *Daemon) Start(ctx context.Context) error {
	d.logRunner = duty.NewRunner(context.WithoutCancel(ctx), d.log)
	d.logRunner.Start("log", func(ctx context.Context) { d.logWriter.Run(ctx, d.logOutput) })
	d.log.Info("starting", "domain", d.settings.VM.Domain, "region", d.settings.VM.Region,
		"callers", d.settings.Callers.Address, "store", d.settings.Store.Address)
	if err := d.openListeners(); err != nil {
		d.log.Error("failed to open listeners", "error", err)
		d.logRunner.Stop()
		return err
	}
	d.refreshVMAddresses()
	d.runner = duty.NewRunner(ctx, d.log)
	for _, table := range d.tables {
		d.runner.Start("watch "+table.Table(), table.Run)
	}
	d.runner.Start("announce", d.announceVM)
	d.runner.Start("collect VMs", d.collector.Run)
	d.runner.Start("hints out", d.hints.Send)
	d.runner.Start("hints in", d.hints.Receive)
	if sharesReports(d.settings) {
		d.runner.Start("share reports", d.shareReports)
	}
	d.runner.Every("roll-outs", d.clock, rolloutInterval, d.shifts.Tick)
	d.runner.Start("quarantine evidence", d.quarantines.Run)
	d.runner.Every("quarantine row", d.clock, quarantineRowInterval, d.quarantines.Sync)
	d.runner.Every("quarantine sweep", d.clock, sweepInterval, d.quarantines.Sweep)
	d.runner.Every("retry budgets", d.clock, sweepInterval, d.sweepRetryBudgets)
	d.runner.Every("entries", d.clock, lapsedEntryInterval, func(context.Context) { d.directory.ExpireLapsed() })
	d.runner.Every("connections", d.clock, sweepInterval, func(context.Context) {
		d.pool.Sweep(time.Now())
		d.peerPool.Sweep(time.Now())
	})
	d.runner.Every("ended connections", d.clock, endedConnInterval, d.findEndedConnections)
	d.runner.Every("reach", d.clock, reach.ProbeInterval, d.reach.Step)
	return nil
}

// announceVM publishes this VM's addresses for hints and for its peer feed to the
// other VMs. It returns when ctx ends.
func (d *Daemon) announceVM(ctx context.Context) {
	feed, err := netip.ParseAddrPort(d.peerServer.Address())
	if err != nil {
		d.log.Error("VM is not announced to the other VMs: invalid address of its peers listener", "error", err)
		return
	}
	members.NewAnnouncer(members.AnnouncerOptions{
		List: d.vms, Member: members.Member{
			Domain: d.settings.VM.Domain, Hints: d.hints.Address(), Feed: feed, Relay: d.announcedRelay(feed.Addr()),
			Callers:        d.announcedCallers(),
			PassesEvidence: true, KeepsRegions: true, KeepsConfigs: true,
		},
		Seeds: d.settings.Seeds, Self: d.settings.Peers.Address, Collector: d.collector,
		Writer: d.store, Clock: d.clock, Log: d.log,
	}).Run(ctx)
}

// applyHint applies what another VM announced: work that it sent to an upstream, an
// upstream that is silent, limited, fragile, full or cold, what upstreams reported, or evidence
// on requests that crash upstreams.
func (d *Daemon) applyHint(h hints.Hint) {
	switch {
	case h.Reports != nil:
		d.receiveReports(h.Reports)
	case h.Quarantine != nil:
		d.quarantines.Receive(*h.Quarantine)
	case h.Silent:
		d.directory.MarkSilent(h.Upstream)
	case h.Limit != nil:
		d.directory.SetRequestLimit(h.Upstream, *h.Limit)
	case h.Fragile != nil:
		d.directory.SetFragile(h.Upstream, *h.Fragile)
	case h.Cold != nil:
		d.directory.MarkCold(h.Upstream, time.Duration(*h.Cold)*time.Millisecond)
	case h.Full:
		d.directory.MarkRejected(h.Upstream)
	default:
		d.directory.AddRemoteWork(h.Upstream, h.Work())
	}
}

// Metrics returns the help text of each metric, by name.
func (d *Daemon) Metrics() map[string]string { return d.registry.Descriptions("poplarshore_") }
