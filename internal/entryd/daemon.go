// Package entryd implements the daemon of an entry VM, poplarshored. It connects the
// server for callers, the protocol between entry VMs and the operator interface with
// the components that they share, and starts and stops them.
//
// Create a Daemon with New and run it with Start. Stop ends it gracefully. NewCommand
// returns the command that does all this.
package entryd

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/poplarshore/poplarshore/coord/revision"
	"github.com/poplarshore/poplarshore/internal/config"
	"github.com/poplarshore/poplarshore/internal/departures"
	"github.com/poplarshore/poplarshore/internal/duty"
	"github.com/poplarshore/poplarshore/internal/engineclient"
	"github.com/poplarshore/poplarshore/internal/entry"
	"github.com/poplarshore/poplarshore/internal/limits"
	"github.com/poplarshore/poplarshore/internal/listen"
	"github.com/poplarshore/poplarshore/internal/membudget"
	"github.com/poplarshore/poplarshore/internal/metrics"
	"github.com/poplarshore/poplarshore/internal/operator"
	"github.com/poplarshore/poplarshore/internal/peer"
	"github.com/poplarshore/poplarshore/internal/placement"
	"github.com/poplarshore/poplarshore/internal/ratings"
	"github.com/poplarshore/poplarshore/internal/rows"
	"github.com/poplarshore/poplarshore/internal/transport"
	"github.com/poplarshore/poplarshore/internal/versions"
	"github.com/poplarshore/poplarshore/limit"
	"github.com/poplarshore/poplarshore/retry"
	"github.com/poplarshore/poplarshore/settings"
	"github.com/poplarshore/poplarshore/vm"
)

// Daemon is the daemon of one entry VM. Create it with New.
type Daemon struct {
	settings    *settings.Entry
	log         *slog.Logger
	clock       clockwork.Clock
	registry    *metrics.Registry
	self        vm.VM
	incarnation vm.Incarnation
	rows        rows.Keys
	secrets     secrets

	platform platformClients
	// pools holds the connections to upstreams, outbound those to the platform's
	// services and to peers.
	pools    *transport.Pools
	outbound *transport.Pool
	engines  *engineclient.Client
	// memory bounds the bodies and parts of responses that are kept.
	memory      *membudget.Budget
	addressBook *peer.Book
	peers       *peer.Client
	node        *revision.Node
	syncer      *revision.Syncer
	publisher   *revision.Publisher
	follower    *config.Follower
	versions    *versions.Versions
	placement   *placement.Placement
	departures  *departures.Departures
	budgets     *retry.Budgets
	limiter     *limit.Limiter
	limits      *limits.Limits
	ratings     *ratings.Ratings
	billing     *billingComponents
	entry       *entry.Server

	readyGauge prometheus.Gauge

	runner         *duty.Runner
	callerServer   *listen.Server
	operatorServer *listen.Server
	peerServer     *listen.Server
	stopping       chan struct{} // closed by BeginStop
	// aborting ends when requests of operators and of other VMs are aborted.
	aborting      context.Context
	abortRequests context.CancelFunc
	// requestCount is the number of request IDs issued.
	requestCount atomic.Uint64
	stopOnce     sync.Once
}

// New returns a daemon with the settings; nothing runs before Start. Errors: secret
// or certificate files that can't be read, and invalid settings of a component.
func New(s *settings.Entry, log *slog.Logger, clock clockwork.Clock) (*Daemon, error) {
	d := &Daemon{
		settings: s, log: log, clock: clock, registry: newRegistry(),
		self:        vm.VM{ID: s.VM.ID, Domain: s.VM.Domain, Region: s.VM.Region},
		incarnation: vm.Incarnation(newID()),
		rows:        rows.Keys{Prefix: s.Platform.Prefix},
		addressBook: peer.NewBook(s.VM.ID), stopping: make(chan struct{}), memory: membudget.New(membudget.PartsOf(s.MemoryMB).Kept),
	}
	d.aborting, d.abortRequests = context.WithCancel(context.Background())
	for _, build := range []func() error{
		d.buildSecrets, d.buildTransport, d.buildPlatform, d.buildConfiguration, d.buildPolicies, d.buildBilling, d.buildEntry,
	} {
		if err := build(); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// Start opens the listeners and starts the background workers, which run until Stop,
// Kill or the end of ctx. Errors: those of listen.Open; no listener is open then.
func (d *Daemon) Start(ctx context.Context) error {
	if err := d.openListeners(); err != nil {
		d.closeListeners()
		return err
	}
	d.runner = duty.NewRunner(ctx, d.log)
	d.startWorkers()
	d.log.Info("started", "vm", d.self.ID, "incarnation", d.incarnation, "callers", d.callerServer.Address(),
		"operators", d.operatorServer.Address(), "peers", d.peerServer.Address())
	return nil
}

// openListeners opens the listeners for operators, peers and callers. After an error
// some of them may be open, but not that for callers, whose requests would be cut.
func (d *Daemon) openListeners() error {
	r := d.settings.Requests
	bounds := listen.Bounds{
		MaxHeaderBytes: int(r.MaxHeaderBytes), HeaderTimeout: r.HeaderTimeoutMS.Duration(), IdleTimeout: r.KeepAliveMS.Duration(),
	}
	var err error
	if d.operatorServer, err = listen.Open(d.settings.Operators, d.withAbort(d.operatorHandler()), bounds, d.log); err != nil {
		return err
	}
	if d.peerServer, err = listen.Open(d.settings.Peers, d.withAbort(d.peerHandler()), bounds, d.log); err != nil {
		return err
	}
	bounds.RefuseIdle = true
	d.callerServer, err = listen.Open(d.settings.Callers, d.entry, bounds, d.log)
	return err
}

// closeListeners closes the open listeners and all their connections.
func (d *Daemon) closeListeners() {
	for _, s := range []*listen.Server{d.callerServer, d.operatorServer, d.peerServer} {
		if s != nil {
			_ = s.Close()
		}
	}
}

func (d *Daemon) startWorkers() {
	s := d.settings
	d.runner.Start("spread", d.syncer.Run)
	d.runner.Start("vm list", d.pollVMList)
	puller := &placement.Puller{
		Placement: d.placement, Engines: d.engines, Addresses: s.Upstreams,
		Index: d.follower.Index, Period: s.Timeouts.LoadPeriodMS.Duration(),
	}
	d.runner.Start("load reports", puller.Run)
	d.departures.Start(d.runner)
	reporter := &limits.Reporter{Limiter: d.limiter, Peers: d.peers, Clock: d.clock, MaxDelay: maxLimitReportDelay}
	d.runner.Every("limit reports", d.clock, limitReportPeriod, reporter.SendReports)
	d.runner.Every("retry budgets", d.clock, budgetSweepPeriod, func(context.Context) { d.budgets.Sweep(d.clock.Now()) })
	d.runner.Every("gauges", d.clock, gaugePeriod, func(context.Context) { d.updateGauges() })
	exchange := &versions.Exchange{
		Versions: d.versions, Table: d.platform.table, Rows: d.rows,
		MemberCount: func() int { return len(d.addressBook.All()) },
		Period:      s.Timeouts.ReportsPeriodMS.Duration(), Timeout: s.Timeouts.StoreMS.Duration(),
	}
	d.runner.Start("roll-out reports", exchange.Run)
	for range d.ratings.Workers() {
		d.runner.Start("ratings", d.ratings.Work)
	}
	d.entry.StartWorkers(d.runner)
	d.startBilling()
}

const (
	// limitReportPeriod is the time between two demand reports to the other VMs.
	limitReportPeriod = time.Second
	// maxLimitReportDelay is the timeout for sending a demand report.
	maxLimitReportDelay = time.Second
	// gaugePeriod is the time between two updates of sampled metrics.
	gaugePeriod = time.Second
	// budgetSweepPeriod is the time between two removals of unused retry budgets.
	budgetSweepPeriod = time.Minute
)

// maxVMListReadsPerSecond bounds the rate at which all VMs together read the list of
// VMs.
const maxVMListReadsPerSecond = 33

// pollVMList reads the list of VMs periodically until ctx ends. Each read returns all
// VMs, so the interval grows with their number.
func (d *Daemon) pollVMList(ctx context.Context) {
	for {
		d.refreshVMList(ctx)
		members := time.Duration(len(d.addressBook.All()))
		interval := max(d.settings.Timeouts.VMListPeriodMS.Duration(), members*time.Second/maxVMListReadsPerSecond)
		select {
		case <-ctx.Done():
			return
		case <-d.clock.After(interval):
		}
	}
}

// refreshVMList replaces the known VMs by the platform's list. If the list can't be
// read, the known VMs remain.
func (d *Daemon) refreshVMList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, d.settings.Timeouts.StoreMS.Duration())
	defer cancel()
	members, err := d.platform.vmList.List(ctx)
	if err != nil {
		return
	}
	addresses := make(map[vm.ID]string, len(members))
	for _, m := range members {
		addresses[vm.ID(m.ID)] = m.Address
	}
	d.addressBook.Set(addresses)
	d.limiter.SetMembers(d.addressBook.All())
	d.node.ForgetNonMembers()
}

// Peers returns the other live entry VMs that this one knows.
func (d *Daemon) Peers() []revision.NodeID { return d.addressBook.Others() }

// CallersAddress returns the host:port at which callers connect.
func (d *Daemon) CallersAddress() string { return d.callerServer.Address() }

// OperatorsAddress returns the host:port at which operators connect.
func (d *Daemon) OperatorsAddress() string { return d.operatorServer.Address() }

// PeersAddress returns the host:port at which other entry VMs connect.
func (d *Daemon) PeersAddress() string { return d.peerServer.Address() }

func (d *Daemon) operatorHandler() http.Handler {
	return operator.New(operator.Options{
		Token: d.secrets.operator, Node: d.node, Publisher: d.publisher, Ready: d.readiness,
		Status: func() any { return d.Status() }, Registry: d.registry, Clock: d.clock, History: d.history, Totals: d.totals,
		Promotion: operator.Promotion{
			Signs:    d.settings.Promotion.Role == settings.RoleTrial,
			Verifies: d.settings.Promotion.Role == settings.RoleProduction,
			Key:      d.secrets.promotion,
		},
	})
}

// history returns the most recent revisions, oldest first. It is empty if none has
// been published.
func (d *Daemon) history(ctx context.Context) ([]revision.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, d.settings.Timeouts.StoreMS.Duration())
	defer cancel()
	head, err := revision.ReadHead(ctx, d.platform.table, d.rows.Configuration())
	if err != nil || head.Number == 0 {
		return nil, err
	}
	return append(head.Recent, head.Revision), nil
}

// peerHandler returns the handler of the protocol between entry VMs.
func (d *Daemon) peerHandler() http.Handler {
	s := peer.NewServer(d.secrets.peer, d.node, d.syncer, d.limiter, d.clock)
	s.HandleLedger(d.billing.holder)
	s.HandleRoster(d.departures.Gossip())
	return s
}
