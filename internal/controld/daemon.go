// Package controld implements the control daemon, poplarshore-control. It runs the
// jobs that only one process of an environment may run at a time: roll-outs, ledger
// settlement, the sweep of expired claims and, per failure domain, orders to engines.
// Each job is protected by a lease; other processes are on standby for it.
//
// A process contends for a job only if its VM is one of the few candidates that
// rendezvous hashing selects from the platform's list of VMs. The number of reads of
// lease rows therefore doesn't grow with the number of VMs. Every VM can become a
// candidate.
//
// Create a Daemon with New and run it with Start. Stop ends it. NewCommand returns the
// command that does all this.
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

// contendersPerJob is the number of VMs that contend for one job.
const contendersPerJob = 3

// vmListPeriod is the time between two reads of the list of VMs.
const vmListPeriod = 10 * time.Second

// maxLoggedEntryBytes bounds the text of an entry of the list of VMs in the log.
const maxLoggedEntryBytes = 200

// Daemon is one control process. Create it with New.
type Daemon struct {
	settings      *settings.Control
	log           *slog.Logger
	clock         clockwork.Clock
	registry      *metrics.Registry
	rows          rows.Keys
	table         store.Table
	objects       store.Objects
	vmList        platform.VMList
	pools         *transport.Pools
	leases        *lease.Manager
	metrics       *jobMetrics
	ledgerMetrics *billing.Metrics
	oddRows       *oddRows

	runner         *duty.Runner
	operatorServer *listen.Server

	mu         sync.Mutex
	contenders map[string]*contender // by job
}

// contender is the goroutine that contends for one job and runs it while its lease is
// held.
type contender struct {
	cancel context.CancelFunc
	done   chan struct{} // closed when the goroutine has ended
}

// New returns a daemon with the settings; nothing runs before Start. Errors:
// listen.ErrCertificate for certificate files that can't be used, and those of
// lease.New.
func New(s *settings.Control, log *slog.Logger, clock clockwork.Clock) (*Daemon, error) {
	config, err := listen.ClientTLS(s.UpstreamCAFile, settings.TLS{})
	if err != nil {
		return nil, err
	}
	var d *Daemon
	skipped := func(entry string, err error) {
		d.oddRows.record("list of VMs: "+entry[:min(len(entry), maxLoggedEntryBytes)], "", err)
	}
	services := transport.NewPool(transport.Options{TLS: config}).ByMethod()
	d = &Daemon{
		settings: s, log: log, clock: clock, registry: metrics.NewRegistry(),
		rows:       rows.Keys{Prefix: s.Platform.Prefix},
		table:      httpstore.NewTable(httpstore.Options{BaseURL: s.Platform.Table, Transport: services}),
		objects:    httpstore.NewObjects(httpstore.Options{BaseURL: s.Platform.Objects, Transport: services}),
		vmList:     httplist.New(httplist.Options{BaseURL: s.Platform.VMList, Transport: services, Skipped: skipped}),
		pools:      transport.NewPools(transport.Options{TLS: config}),
		contenders: make(map[string]*contender),
	}
	d.metrics = newJobMetrics(d.registry)
	d.oddRows = newOddRows(log, d.metrics.undecodableRows)
	d.ledgerMetrics = billing.NewMetrics(d.registry)
	d.leases, err = lease.New(d.table, string(s.VM.ID), lease.Options{
		TTL: s.Jobs.LeaseTTLMS.Duration(), Prefix: d.rows.Leases(), Clock: clock, Observer: d.metrics,
	})
	return d, err
}

// Metrics returns the help texts of the daemon's metrics by name.
func (d *Daemon) Metrics() map[string]string {
	return d.registry.Descriptions("poplarshore_")
}

// Start opens the listener for health checks and metrics and starts to contend for
// jobs. When ctx ends, the list of VMs is no longer read, but jobs continue until Stop.
// Errors: those of listen.Open.
func (d *Daemon) Start(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.Handle("GET /metrics", promhttp.HandlerFor(d.registry, promhttp.HandlerOpts{}))
	var err error
	if d.operatorServer, err = listen.Open(d.settings.Operators, mux, listen.Bounds{HeaderTimeout: 5 * time.Second}, d.log); err != nil {
		return err
	}
	d.runner = duty.NewRunner(ctx, d.log)
	d.runner.Every("jobs", d.clock, vmListPeriod, d.updateContenders)
	d.log.Info("started", "vm", d.settings.VM.ID, "operators", d.operatorServer.Address())
	return nil
}

// Stop cancels all jobs at once, waits until their leases are released and closes the
// listener.
func (d *Daemon) Stop() {
	d.log.Info("stopping")
	if d.runner != nil {
		d.runner.Stop()
	}
	d.mu.Lock()
	running := d.contenders
	d.contenders = make(map[string]*contender)
	d.mu.Unlock()
	for _, c := range running {
		c.cancel()
	}
	for _, c := range running {
		<-c.done
	}
	if d.operatorServer != nil {
		_ = d.operatorServer.Close()
	}
	d.pools.Close()
	d.log.Info("stopped")
}

// updateContenders starts and cancels contenders according to the current list of VMs.
// If the list can't be read, the present contenders continue.
func (d *Daemon) updateContenders(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, d.settings.Jobs.StoreMS.Duration())
	defer cancel()
	members, err := d.vmList.List(ctx)
	if err != nil {
		d.metrics.vmListFailures.Inc()
		return
	}
	ids := make([]string, len(members))
	for i, m := range members {
		ids[i] = m.ID
	}
	wanted := make(map[string]lease.Func)
	for name, work := range d.jobs(members) {
		if lease.IsCandidate(name, string(d.settings.VM.ID), ids, contendersPerJob) {
			wanted[name] = work
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, c := range d.contenders {
		if wanted[name] == nil {
			c.cancel()
			delete(d.contenders, name)
		}
	}
	for name, work := range wanted {
		if d.contenders[name] == nil {
			d.contenders[name] = d.startContender(name, work)
		}
	}
}

// startContender contends for a job in a new goroutine until the contender is
// cancelled.
func (d *Daemon) startContender(name string, work lease.Func) *contender {
	ctx, cancel := context.WithCancel(context.Background())
	c := &contender{cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(c.done)
		for ctx.Err() == nil {
			err := d.leases.Run(ctx, name, func(ctx context.Context, l *lease.Lease) error {
				d.log.Info("job acquired", "job", name, "fence", l.Fence())
				defer d.log.Info("job ended, releasing its lease", "job", name, "fence", l.Fence())
				return work(ctx, l)
			})
			if err != nil {
				d.log.Error("job failed; contending again after the lease TTL", "job", name, "error", err)
				d.waitLeaseTTL(ctx)
			}
		}
	}()
	return c
}

// waitLeaseTTL waits for the TTL of a lease or until ctx ends.
func (d *Daemon) waitLeaseTTL(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-d.clock.After(d.settings.Jobs.LeaseTTLMS.Duration()):
	}
}

// repeatWhileHeld calls f at once and then again whenever period has passed after its
// return, until the lease or ctx ends.
func (d *Daemon) repeatWhileHeld(ctx context.Context, l *lease.Lease, period time.Duration, f func(ctx context.Context)) error {
	for ctx.Err() == nil && l.Check() == nil {
		f(ctx)
		select {
		case <-ctx.Done():
		case <-d.clock.After(period):
		}
	}
	return nil
}
