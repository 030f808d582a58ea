// Package controld joins the parts of poplarshore-control: the jobs that one
// process at a time holds by a lease, while the others stand by.
//
// A process contends for a job only if its VM is among the few that a
// rendezvous hash of the job and the platform's list of VMs picks, so the reads
// of lease rows stay flat in the number of VMs. Any VM may be picked.
package controld

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/poplarshore/poplarshore/coord/lease"
	"github.com/poplarshore/poplarshore/coord/store"
	"github.com/poplarshore/poplarshore/internal/billing"
	"github.com/poplarshore/poplarshore/internal/duty"
	"github.com/poplarshore/poplarshore/internal/listen"
	"github.com/poplarshore/poplarshore/internal/metrics"
	"github.com/poplarshore/poplarshore/internal/rows"
	"github.com/poplarshore/poplarshore/internal/transport"
	"github.com/poplarshore/poplarshore/platform"
	"github.com/poplarshore/poplarshore/platform/httplist"
	"github.com/poplarshore/poplarshore/platform/httpstore"
	"github.com/poplarshore/poplarshore/settings"
)

// contenders is the number of VMs that contend for one job.
const contenders = 3

// listPeriod is the time between reads of the list of VMs.
const listPeriod = 10 * time.Second

// Daemon is one poplarshore-control.
type Daemon struct {
	settings *settings.Control
	log      *slog.Logger
	clock    clockwork.Clock
	registry *metrics.Registry
	rows     rows.Keys
	table    store.Table
	objects  store.Objects
	list     platform.VMList
	pools    *transport.Pools
	leases   *lease.Manager
	metrics  *counters
	ledger   *billing.Metrics

	runner    *duty.Runner
	operators *listen.Server

	mu      sync.Mutex
	running map[string]*contention
}

// contention is this process's try at one job.
type contention struct {
	cancel context.CancelFunc
	done   chan struct{}
}

// New joins the parts; nothing runs before Start.
func New(s *settings.Control, log *slog.Logger, clock clockwork.Clock) (*Daemon, error) {
	config, err := listen.ClientTLS(s.UpstreamCAFile, settings.TLS{})
	if err != nil {
		return nil, err
	}
	via := transport.NewPool(transport.Options{TLS: config}).Idempotent()
	d := &Daemon{
		settings: s, log: log, clock: clock, registry: metrics.NewRegistry(),
		rows:    rows.Keys{Prefix: s.Platform.Prefix},
		table:   httpstore.NewTable(httpstore.Options{BaseURL: s.Platform.Table, Transport: via}),
		objects: httpstore.NewObjects(httpstore.Options{BaseURL: s.Platform.Objects, Transport: via}),
		list:    httplist.New(httplist.Options{BaseURL: s.Platform.VMList, Transport: via}),
		pools:   transport.NewPools(transport.Options{TLS: config}),
		running: make(map[string]*contention),
	}
	d.metrics = newCounters(d.registry)
	d.ledger = billing.NewMetrics(d.registry)
	d.leases, err = lease.New(d.table, string(s.VM.ID), lease.Options{
		TTL: s.Jobs.LeaseTTLMS.Duration(), Prefix: d.rows.Leases(), Clock: clock, Observer: d.metrics,
	})
	return d, err
}

// Metrics returns the help of each metric of this project, by name.
func (d *Daemon) Metrics() map[string]string {
	return d.registry.Descriptions("poplarshore_")
}

// Start opens the listener and begins to contend for jobs.
func (d *Daemon) Start(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.Handle("GET /metrics", promhttp.HandlerFor(d.registry, promhttp.HandlerOpts{}))
	var err error
	if d.operators, err = listen.Open(d.settings.Operators, mux, listen.Bounds{HeaderTimeout: 5 * time.Second}, d.log); err != nil {
		return err
	}
	d.runner = duty.NewRunner(ctx, d.log)
	d.runner.Every("jobs", d.clock, listPeriod, d.contend)
	d.log.Info("started", "vm", d.settings.VM.ID, "operators", d.operators.Address())
	return nil
}

// Stop gives the jobs back and ends the process's work.
func (d *Daemon) Stop() {
	d.log.Info("stopping")
	if d.runner != nil {
		d.runner.Stop()
	}
	d.mu.Lock()
	running := d.running
	d.running = make(map[string]*contention)
	d.mu.Unlock()
	for _, c := range running {
		c.cancel()
		<-c.done
	}
	if d.operators != nil {
		_ = d.operators.Close()
	}
	d.pools.Close()
	d.log.Info("stopped")
}

// contend begins and ends contentions by the present list of VMs. Without the
// list the present ones go on.
func (d *Daemon) contend(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, d.settings.Jobs.StoreMS.Duration())
	defer cancel()
	members, err := d.list.List(ctx)
	if err != nil {
		d.metrics.listFailed.Inc()
		return
	}
	ids := make([]string, len(members))
	for i, m := range members {
		ids[i] = m.ID
	}
	wanted := make(map[string]lease.Func)
	for name, work := range d.jobs(members) {
		if lease.IsCandidate(name, string(d.settings.VM.ID), ids, contenders) {
			wanted[name] = work
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, c := range d.running {
		if wanted[name] == nil {
			c.cancel()
			delete(d.running, name)
		}
	}
	for name, work := range wanted {
		if d.running[name] == nil {
			d.running[name] = d.begin(name, work)
		}
	}
}

// begin contends for a job until it is cancelled.
func (d *Daemon) begin(name string, work lease.Func) *contention {
	ctx, cancel := context.WithCancel(context.Background())
	c := &contention{cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(c.done)
		for ctx.Err() == nil {
			err := d.leases.Run(ctx, name, func(ctx context.Context, l *lease.Lease) error {
				d.log.Info("job held", "job", name, "fence", l.Fence())
				defer d.log.Info("job given up", "job", name, "fence", l.Fence())
				return work(ctx, l)
			})
			if err != nil {
				d.log.Error("job failed", "job", name, "error", err)
				d.pause(ctx)
			}
		}
	}()
	return c
}

func (d *Daemon) pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-d.clock.After(d.settings.Jobs.LeaseTTLMS.Duration()):
	}
}

// every calls f at once and then each period while the lease is held.
func (d *Daemon) every(ctx context.Context, l *lease.Lease, period time.Duration, f func(ctx context.Context)) error {
	for ctx.Err() == nil && l.Check() == nil {
		f(ctx)
		select {
		case <-ctx.Done():
		case <-d.clock.After(period):
		}
	}
	return nil
}
