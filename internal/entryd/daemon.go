// Package entryd joins the parts of poplarshored: the entry towards callers,
// the exchange with the other entry VMs and the operators' interface.
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

// Daemon is one poplarshored.
type Daemon struct {
	settings *settings.Entry
	log      *slog.Logger
	clock    clockwork.Clock
	registry *metrics.Registry
	self     vm.VM
	life     vm.Incarnation
	rows     rows.Keys
	secrets  secrets

	platform platformPorts
	pools    *transport.Pools
	// outbound connects to the platform and to peers.
	outbound   *transport.Pool
	engines    *engineclient.Client
	book       *peer.Book
	peers      *peer.Client
	node       *revision.Node
	syncer     *revision.Syncer
	publisher  *revision.Publisher
	follower   *config.Follower
	versions   *versions.Versions
	placement  *placement.Placement
	departures *departures.Departures
	budgets    *retry.Budgets
	limiter    *limit.Limiter
	limits     *limits.Limits
	ratings    *ratings.Ratings
	billing    *billingParts
	entry      *entry.Server

	readyGauge prometheus.Gauge

	runner    *duty.Runner
	callers   *listen.Server
	operators *listen.Server
	peerPort  *listen.Server
	stopping  chan struct{}
	// requests counts the request ids issued.
	requests  atomic.Uint64
	beginStop sync.Once
}

// New joins the parts; nothing runs before Start.
func New(s *settings.Entry, log *slog.Logger, clock clockwork.Clock) (*Daemon, error) {
	d := &Daemon{
		settings: s, log: log, clock: clock, registry: newRegistry(),
		self: vm.VM{ID: s.VM.ID, Domain: s.VM.Domain, Region: s.VM.Region},
		life: vm.Incarnation(newID()),
		rows: rows.Keys{Prefix: s.Platform.Prefix},
		book: peer.NewBook(s.VM.ID), stopping: make(chan struct{}),
	}
	for _, build := range []func() error{
		d.buildSecrets, d.buildTransport, d.buildPlatform, d.buildConfiguration, d.buildDecisions, d.buildBilling, d.buildEntry,
	} {
		if err := build(); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// Start opens the listeners and starts the duties.
func (d *Daemon) Start(ctx context.Context) error {
	if err := d.open(); err != nil {
		d.close()
		return err
	}
	d.runner = duty.NewRunner(ctx, d.log)
	d.startDuties()
	d.log.Info("started", "vm", d.self.ID, "incarnation", d.life, "callers", d.callers.Address(),
		"operators", d.operators.Address(), "peers", d.peerPort.Address())
	return nil
}

func (d *Daemon) open() error {
	r := d.settings.Requests
	bounds := listen.Bounds{
		MaxHeaderBytes: int(r.MaxHeaderBytes), HeaderTimeout: r.HeaderTimeoutMS.Duration(), KeepAlive: r.KeepAliveMS.Duration(),
	}
	var err error
	if d.callers, err = listen.Open(d.settings.Callers, d.entry, bounds, d.log); err != nil {
		return err
	}
	if d.operators, err = listen.Open(d.settings.Operators, d.operatorServer(), bounds, d.log); err != nil {
		return err
	}
	d.peerPort, err = listen.Open(d.settings.Peers, d.peerServer(), bounds, d.log)
	return err
}

func (d *Daemon) close() {
	for _, s := range []*listen.Server{d.callers, d.operators, d.peerPort} {
		if s != nil {
			_ = s.Close()
		}
	}
}

func (d *Daemon) startDuties() {
	s := d.settings
	d.runner.Start("spread", d.syncer.Run)
	d.runner.Start("vm list", d.followVMList)
	puller := &placement.Puller{
		Placement: d.placement, Engines: d.engines, Addresses: s.Upstreams,
		Index: d.follower.Index, Period: s.Timeouts.LoadPeriodMS.Duration(),
	}
	d.runner.Start("load reports", puller.Run)
	d.departures.Start(d.runner)
	reporter := &limits.Reporter{Limiter: d.limiter, Peers: d.peers, Clock: d.clock, MaxDelay: limitReportDelay}
	d.runner.Every("limit reports", d.clock, limitReportPeriod, reporter.SendReports)
	d.runner.Every("retry budgets", d.clock, sweepPeriod, func(context.Context) { d.budgets.Sweep(d.clock.Now()) })
	d.runner.Every("gauges", d.clock, gaugePeriod, func(context.Context) { d.gauge() })
	exchange := &versions.Exchange{
		Versions: d.versions, Table: d.platform.table, Rows: d.rows,
		MemberCount: func() int { return len(d.book.All()) },
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
	limitReportPeriod = time.Second
	limitReportDelay  = time.Second
	gaugePeriod       = time.Second
	sweepPeriod       = time.Minute
)

// listReadsPerSecond bounds the reads of the list of VMs by all VMs together.
const listReadsPerSecond = 33

// followVMList reads the list of VMs again and again, more seldom the more VMs
// there are, as each read brings all of them.
func (d *Daemon) followVMList(ctx context.Context) {
	for {
		d.readVMList(ctx)
		members := time.Duration(len(d.book.All()))
		pause := max(d.settings.Timeouts.VMListPeriodMS.Duration(), members*time.Second/listReadsPerSecond)
		select {
		case <-ctx.Done():
			return
		case <-d.clock.After(pause):
		}
	}
}

// readVMList takes over the platform's list of live VMs.
func (d *Daemon) readVMList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, d.settings.Timeouts.StoreMS.Duration())
	defer cancel()
	members, err := d.platform.list.List(ctx)
	if err != nil {
		return
	}
	addresses := make(map[vm.ID]string, len(members))
	for _, m := range members {
		addresses[vm.ID(m.ID)] = m.Address
	}
	d.book.Set(addresses)
	d.limiter.SetMembers(d.book.All())
	d.node.ForgetNonMembers()
}

// Peers returns the other entry VMs that this one knows.
func (d *Daemon) Peers() []revision.NodeID { return d.book.Others() }

// CallersAddress returns the address that callers connect to.
func (d *Daemon) CallersAddress() string { return d.callers.Address() }

// OperatorsAddress returns the address that operators connect to.
func (d *Daemon) OperatorsAddress() string { return d.operators.Address() }

// PeersAddress returns the address that other entry VMs connect to.
func (d *Daemon) PeersAddress() string { return d.peerPort.Address() }

func (d *Daemon) operatorServer() http.Handler {
	return operator.New(operator.Options{
		Token: d.secrets.operator, Node: d.node, Publisher: d.publisher, Ready: d.ready,
		Status: func() any { return d.Status() }, Registry: d.registry, Clock: d.clock, History: d.history, Totals: d.totals,
		Promotion: operator.Promotion{
			Signs:    d.settings.Promotion.Role == settings.RoleTrial,
			Verifies: d.settings.Promotion.Role == settings.RoleProduction,
			Key:      d.secrets.promotion,
		},
	})
}

// history returns the newest revisions, oldest first.
func (d *Daemon) history(ctx context.Context) ([]revision.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, d.settings.Timeouts.StoreMS.Duration())
	defer cancel()
	head, err := revision.ReadHead(ctx, d.platform.table, d.rows.Configuration())
	if err != nil || head.Number == 0 {
		return nil, err
	}
	return append(head.Recent, head.Revision), nil
}

func (d *Daemon) peerServer() http.Handler {
	s := peer.NewServer(d.secrets.peer, d.node, d.syncer, d.limiter, d.clock)
	s.HandleLedger(d.billing.holder)
	s.HandleRoster(d.departures.Gossip())
	return s
}
